package parser

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrFaulty is matched by every *Faults.
var ErrFaulty = errors.New("sheet has faults")

// Fault is one fault of a sheet.
type Fault struct {
	// Row is the line in the file, as spreadsheets number rows; 0 is the sheet as
	// a whole.
	Row int `json:"row"`
	// Column is empty when the fault is not of one column.
	Column string `json:"column"`
	Found  string `json:"found"`
	// Allowed says what may stand there instead.
	Allowed string `json:"allowed"`
}

// String returns one line.
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

// Faults is the error for a faulty sheet; it lists every fault.
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

func (f *Faults) add(row int, column, found, allowed string) {
	f.List = append(f.List, Fault{Row: row, Column: column, Found: found, Allowed: allowed})
}

// maxQuoted bounds how much of a cell goes into a fault.
const maxQuoted = 80

func quote(cell string) string {
	if len(cell) > maxQuoted {
		cell = strings.ToValidUTF8(cell[:maxQuoted], "") + "..."
	}
	return fmt.Sprintf("%q", cell)
}
