package parser

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrFaulty means that a sheet has faults; every *Faults matches it.
var ErrFaulty = errors.New("sheet has faults")

// Fault is one violation of the sheet format, and where it is.
type Fault struct {
	// Row is a line of the file, counted from 1, with blank rows and line breaks inside
	// cells: the line on which the faulty row starts, the line of the first byte that
	// is not UTF-8 or, without an end row, the line after the start of the last row. 0
	// means the whole file.
	Row int `json:"row"`
	// Column is empty if the fault does not concern a single column.
	Column string `json:"column"`
	// Found describes or quotes what is in the sheet.
	Found string `json:"found"`
	// Allowed describes what is allowed instead.
	Allowed string `json:"allowed"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	where := "sheet"
	if f.Row > 0 {
		where = fmt.Sprintf("row %d", f.Row)
	}
	if f.Column != "" {
		where += ", column " + f.Column
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", where, f.Found, f.Allowed)
}

// Faults is the error for a sheet with faults; it lists all of them.
type Faults struct{ List []Fault }

// Error returns one line per fault.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the error match ErrFaulty.
func (f *Faults) Unwrap() error { return ErrFaulty }

// add appends a fault. Row 0 means the whole file; an empty column means that the
// fault does not concern a single column.
func (f *Faults) add(row int, column, found, allowed string) {
	f.List = append(f.List, Fault{Row: row, Column: column, Found: found, Allowed: allowed})
}

// maxQuotedBytes bounds how much of a cell is quoted in a fault.
const maxQuotedBytes = 80

func quote(cell string) string {
	if len(cell) > maxQuotedBytes {
		cell = strings.ToValidUTF8(cell[:maxQuotedBytes], "") + "..."
	}
	return fmt.Sprintf("%q", cell)
}
