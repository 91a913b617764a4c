// Package viewer implements "sheet show".
package viewer

import (
	"context"
	"fmt"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/parser"
)

// Options are the arguments of the command.
type Options struct {
	Kind string `arg:"positional" default:"accounts" help:"accounts, targets or operators"`
	CSV  bool   `arg:"--csv" help:"write the whole configuration as a sheet"`
	printer.Flags
}

// Run prints one kind of rows of the current configuration, or all of it as a sheet.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	records, err := recordsOf(o.Kind, configurer.Config{})
	if err != nil {
		return err
	}
	if err := records.Check(o.Flags); err != nil {
		return err
	}
	_, config, err := s.SignIn(ctx, false, "sheet show")
	if err != nil {
		return err
	}
	if o.CSV {
		return parser.Write(s.Streams.Out, config)
	}
	s.Progress("version %d", config.Version())
	if records, err = recordsOf(o.Kind, config); err != nil {
		return err
	}
	return s.Printer().Print(records, o.Flags)
}

func recordsOf(kind string, c configurer.Config) (*printer.Records, error) {
	switch kind {
	case "accounts":
		r := &printer.Records{Fields: []string{"id", "name", "share", "pools", "queueLimit", "keys", "keyHashes"}, Hidden: 1}
		for a := range c.Accounts() {
			r.Add(a.ID, a.Name, a.Share, a.Pools, a.QueueLimit, len(a.KeyHashes), a.KeyHashes)
		}
		return r, nil
	case "targets":
		r := &printer.Records{Fields: []string{"id", "dataCentre", "address", "targetKind", "pools", "slots", "state", "incarnation"}}
		for t := range c.Targets() {
			r.Add(t.ID, t.DataCentre, t.Address, t.Kind, t.Pools, t.Slots, t.State, t.Incarnation)
		}
		return r, nil
	case "operators":
		r := &printer.Records{Fields: []string{"name", "role"}}
		for o := range c.Operators() {
			r.Add(o.Name, o.Role)
		}
		return r, nil
	}
	return nil, failure.Usage(fmt.Sprintf("unknown kind %q", kind), "Use accounts, targets or operators.")
}
