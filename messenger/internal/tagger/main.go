// Command tagger adds CBOR tags with integer keys to the generated message
// types. The key of a field is its position in the schema, so new properties must
// be added at the end of a message, and unused ones must stay.
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

// run adds the tags to the Go file generated from the schema and returns the exit
// code.
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
		return errors.Wrap(err, "read the Go file")
	}
	keys, err := parseKeys(schema)
	if err != nil {
		return err
	}
	tagged, err := tag(string(source), keys)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(sourcePath, []byte(tagged), 0o644), "write the Go file")
}

// objectKeys holds the keys of a JSON object in the order of the document.
type objectKeys []string

// UnmarshalJSON reads the keys and skips the values.
func (k *objectKeys) UnmarshalJSON(b []byte) error {
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
		*k = append(*k, fmt.Sprint(key))
	}
	return nil
}

// parseKeys returns the CBOR key of each property by type and property.
func parseKeys(schema []byte) (map[string]map[string]int, error) {
	type message struct {
		Title      string             `json:"title"`
		Properties objectKeys         `json:"properties"`
		Defs       map[string]message `json:"$defs"`
	}
	var root message
	if err := json.Unmarshal(schema, &root); err != nil {
		return nil, errors.Wrap(err, "parse the schema")
	}
	numberProperties := func(m message) map[string]int {
		keys := make(map[string]int)
		for i, p := range m.Properties {
			keys[p] = i + 1
		}
		return keys
	}
	keys := map[string]map[string]int{root.Title: numberProperties(root)}
	for name, m := range root.Defs {
		keys[name] = numberProperties(m)
	}
	return keys, nil
}

// tag adds CBOR tags to the struct fields of a Go source. The tags omit fields with
// the zero value.
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
			return "", errors.Newf("schema has no property %q of type %q", m[1], name)
		}
		lines[i] = strings.TrimSuffix(l, "`") + fmt.Sprintf(" cbor:\"%d,keyasint,omitempty\"`", key)
	}
	return strings.Join(lines, "\n"), nil
}
