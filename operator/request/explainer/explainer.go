// Package explainer implements "request explain".
package explainer

import (
	"context"

	"monsoondeck.example/operator/fleetclient"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// Options are the arguments of the command.
type Options struct {
	ID string `arg:"positional,required" placeholder:"REQUEST" help:"ID of the request"`
	printer.Flags
}

// Run prints how a request was scheduled, as reported by the daemons that can be
// reached.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	records := fleetclient.NewRecords()
	if err := records.Check(o.Flags); err != nil {
		return err
	}
	if _, err := s.SignInToRead(ctx, "request explain"); err != nil {
		return err
	}
	responses, err := fleetclient.Get[[]fleetclient.History](ctx, s, "requests", o.ID)
	if err != nil {
		return err
	}
	return fleetclient.PrintHistories(s, records, responses, "request "+o.ID, o.Flags)
}
