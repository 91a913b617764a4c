// Package keyadder implements "account addkey".
package keyadder

import (
	"context"

	"monsoondeck.example/operator/account/keymaker"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// Options are the arguments of the command.
type Options struct {
	ID string `arg:"positional,required" placeholder:"ACCOUNT" help:"client account"`
	printer.Flags
}

const action = "account addkey"

// Run adds a new key to an account; its other keys remain valid.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	if err := keymaker.NewRecords().Check(o.Flags); err != nil {
		return err
	}
	store, config, err := s.SignIn(ctx, true, action)
	if err != nil {
		return err
	}
	account, err := keymaker.Account(config, o.ID)
	if err != nil {
		return err
	}
	return keymaker.Commit(ctx, s, store, config, account, action, o.Flags)
}
