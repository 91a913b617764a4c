// Package historian implements "sheet history".
package historian

import (
	"context"

	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// Options are the arguments of the command.
type Options struct {
	Limit int `arg:"--limit" default:"20" help:"number of versions"`
	printer.Flags
}

// Run prints the audit trail, newest first.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	r := &printer.Records{Fields: []string{"version", "time", "author", "action", "result", "rows", "id", "from", "details"}, Hidden: 2}
	if err := r.Check(o.Flags); err != nil {
		return err
	}
	if o.Limit < 1 {
		return failure.Usage("--limit is less than 1", "Give a number of versions.")
	}
	store, _, err := s.SignIn(ctx, false, "sheet history")
	if err != nil {
		return err
	}
	records, err := store.History(ctx, o.Limit)
	if err != nil {
		return err
	}
	for _, record := range records {
		r.Add(record.To, record.Time, record.Author, record.Action, record.Result, record.Rows, record.ID, record.From, record.Details)
	}
	return s.Printer().Print(r, o.Flags)
}
