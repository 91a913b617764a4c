// Package printer prints records as a table, as tab-separated lines or as JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/operator/failure"
)

// Flags are the output flags that all commands have.
type Flags struct {
	JSON string `arg:"--json" placeholder:"FIELD,FIELD" help:"print these fields as JSON"`
}

// Printer prints records to one stream.
type Printer struct {
	Out io.Writer
	// Terminal selects a table with a header instead of tab-separated lines.
	Terminal bool
}

// Records are rows of values with named fields.
type Records struct {
	// Fields are the names of the fields; scripts rely on names and order.
	Fields []string
	// Hidden is the number of fields at the end that are printed only as JSON.
	Hidden int
	// Rows have one value per field.
	Rows [][]any
}

// Add appends a row, with one value per field.
func (r *Records) Add(values ...any) { r.Rows = append(r.Rows, values) }

// Check returns a usage failure if --json names an unknown field. Commands call it
// before they do anything else.
func (r *Records) Check(f Flags) error {
	if f.JSON == "" {
		return nil
	}
	for _, name := range strings.Split(f.JSON, ",") {
		if !slices.Contains(r.Fields, name) {
			return failure.Usage(fmt.Sprintf("unknown field %q in --json", name), "Available fields: "+strings.Join(r.Fields, ",")+".")
		}
	}
	return nil
}

// Print prints the records in the format that the flags and the terminal select.
func (p Printer) Print(r *Records, f Flags) error {
	if err := r.Check(f); err != nil {
		return err
	}
	if f.JSON != "" {
		return p.printJSON(r, strings.Split(f.JSON, ","))
	}
	shown := len(r.Fields) - r.Hidden
	out := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	w := p.Out
	if p.Terminal {
		w = out
		if len(r.Rows) > 0 {
			_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(r.Fields[:shown], "\t"))) // Flush returns the error
		}
	}
	for _, row := range r.Rows {
		cells := make([]string, shown)
		for i := range cells {
			cells[i] = cell(row[i])
		}
		if _, err := fmt.Fprintln(w, strings.Join(cells, "\t")); err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	return errors.Wrap(out.Flush(), "write output")
}

func (p Printer) printJSON(r *Records, fields []string) error {
	list := make([]map[string]any, len(r.Rows))
	for i, row := range r.Rows {
		list[i] = map[string]any{}
		for _, name := range fields {
			list[i][name] = row[slices.Index(r.Fields, name)]
		}
	}
	encoder := json.NewEncoder(p.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(list), "write output")
}

// cell formats one value. It replaces control characters, because those from sheets
// or daemons must not control the terminal or break the columns.
func cell(value any) string {
	text := ""
	switch v := value.(type) {
	case []string:
		text = strings.Join(v, " ")
	case time.Time:
		text = v.Format(time.RFC3339)
	default:
		text = fmt.Sprint(v)
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?'
		}
		return r
	}, text)
}
