// Package checker implements "sheet check".
package checker

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/parser"
)

// Options are the arguments of the command.
type Options struct {
	File string `arg:"positional,required" help:"sheet, or - for standard input"`
	printer.Flags
}

// Run prints every fault of a sheet.
func (o *Options) Run(_ context.Context, s *session.Session) error {
	sheet, err := Read(s, o.File, o.Flags)
	if err != nil {
		return err
	}
	c := sheet.Config()
	s.Progress("no faults: %d accounts, %d targets, %d operators, exported from version %d",
		c.AccountCount(), c.TargetCount(), c.OperatorCount(), sheet.Base())
	return s.Printer().Print(records(nil), o.Flags)
}

func records(faults []parser.Fault) *printer.Records {
	r := &printer.Records{Fields: []string{"row", "column", "found", "allowed"}}
	for _, f := range faults {
		r.Add(f.Row, f.Column, f.Found, f.Allowed)
	}
	return r
}

// Read parses the sheet in a file, or on standard input if name is "-". If it has
// faults, Read prints them and returns a failure.
func Read(s *session.Session, name string, flags printer.Flags) (parser.Sheet, error) {
	if err := records(nil).Check(flags); err != nil {
		return parser.Sheet{}, err
	}
	in := s.Streams.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return parser.Sheet{}, failure.Usage(err.Error(), "Give the path of a sheet.")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	return read(s, in, name, flags)
}

func read(s *session.Session, in io.Reader, name string, flags printer.Flags) (parser.Sheet, error) {
	sheet, err := parser.Parse(in)
	var faults *parser.Faults
	if errors.As(err, &faults) {
		if err := s.Printer().Print(records(faults.List), flags); err != nil {
			return sheet, err
		}
		return sheet, failure.New(failure.CodeFailed, fmt.Sprintf("sheet %s has %d faults, nothing was changed", name, len(faults.List)),
			"Correct them in the spreadsheet and export it again; docs/sheet.md describes the format.")
	}
	return sheet, err
}
