// Command tagger adds CBOR tags with integer keys to the generated message
// types. The key of a field is its position in the schema, so properties are
// added at the end of a message, and removed ones keep their place.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

func main() { os.Exit(run(os.Args[1:], os.Stderr)) }

// run tags the Go file that was generated from the schema.
func run(args []string, stderr io.Writer) int {
	if len(args) != 2 {
		_, _ = fmt.Fprintln(stderr, "usage: tagger schema.json types.go")
		return 2
	}
	if err := tagFile(args[0], args[1]); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

func tagFile(schemaPath, sourcePath string) error {
	schema, err := os.ReadFile(schemaPath)
	if err != nil {
		return errors.Wrap(err, "read the schema")
	}
	source, err := os.ReadFile(sourcePath)
	if err != nil {
		return errors.Wrap(err, "read the types")
	}
	keys, err := parseKeys(schema)
	if err != nil {
		return err
	}
	tagged, err := tag(string(source), keys)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(sourcePath, []byte(tagged), 0o644), "write the types")
}

// ordered holds the keys of a JSON object in their order.
type ordered []string

// UnmarshalJSON reads the keys and skips the values.
func (o *ordered) UnmarshalJSON(b []byte) error {
	d := json.NewDecoder(bytes.NewReader(b))
	if _, err := d.Token(); err != nil {
		return errors.Wrap(err, "read an object")
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return errors.Wrap(err, "read a key")
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return errors.Wrap(err, "read a value")
		}
		*o = append(*o, fmt.Sprint(key))
	}
	return nil
}

// parseKeys returns the number of each property of each type.
func parseKeys(schema []byte) (map[string]map[string]int, error) {
	type message struct {
		Title      string             `json:"title"`
		Properties ordered            `json:"properties"`
		Defs       map[string]message `json:"$defs"`
	}
	var root message
	if err := json.Unmarshal(schema, &root); err != nil {
		return nil, errors.Wrap(err, "parse the schema")
	}
	number := func(m message) map[string]int {
		keys := make(map[string]int)
		for i, p := range m.Properties {
			keys[p] = i + 1
		}
		return keys
	}
	keys := map[string]map[string]int{root.Title: number(root)}
	for name, m := range root.Defs {
		keys[name] = number(m)
	}
	return keys, nil
}

// tag adds the CBOR tags to the struct fields. Fields with the zero value are
// left out on the wire.
func tag(source string, keys map[string]map[string]int) (string, error) {
	typeLine := regexp.MustCompile(`^type (\w+) struct`)
	fieldLine := regexp.MustCompile("`json:\"(\\w+)[^`]*")
	lines := strings.Split(source, "\n")
	name := ""
	for i, l := range lines {
		if m := typeLine.FindStringSubmatch(l); m != nil {
			name = m[1]
			continue
		}
		m := fieldLine.FindStringSubmatch(l)
		if m == nil {
			continue
		}
		key, ok := keys[name][m[1]]
		if !ok {
			return "", errors.Newf("the schema has no property %s of %s", m[1], name)
		}
		lines[i] = strings.TrimSuffix(l, "`") + fmt.Sprintf(" cbor:\"%d,keyasint,omitempty\"`", key)
	}
	return strings.Join(lines, "\n"), nil
}
