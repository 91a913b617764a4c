// Package keyrotator implements "account rotatekey".
package keyrotator

import (
	"context"
	"fmt"
	"strings"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/account/keymaker"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// Options are the arguments of the command.
type Options struct {
	ID     string `arg:"positional,required" placeholder:"ACCOUNT" help:"client account"`
	Remove string `arg:"--remove" placeholder:"PREFIX" help:"remove only the keys whose hash begins with this [default: all old keys]"`
	Yes    bool   `arg:"--yes" help:"do not ask for confirmation"`
	printer.Flags
}

const action = "account rotatekey"

// Run adds a new key to an account and removes old ones in the same change.
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
	if account, err = o.withoutOldKeys(s, account); err != nil {
		return err
	}
	if err := s.Confirm(ctx, "Callers with these keys will be refused.", o.Yes); err != nil {
		return err
	}
	return keymaker.Commit(ctx, s, store, config, account, action, o.Flags)
}

// withoutOldKeys returns the account without the keys that are to be removed.
func (o *Options) withoutOldKeys(s *session.Session, a configurer.Account) (configurer.Account, error) {
	remaining := a
	for _, hash := range a.KeyHashes {
		if strings.HasPrefix(hash, o.Remove) {
			s.Progress("removing the key with hash %s from account %s", hash, a.ID)
			remaining = remaining.WithoutKeyHash(hash)
		}
	}
	if len(remaining.KeyHashes) == len(a.KeyHashes) {
		return a, failure.Usage(fmt.Sprintf("account %s has no key whose hash begins with %q, nothing was changed", a.ID, o.Remove),
			"List hashes with 'sheet show --json id,keyHashes', or use 'account addkey'.")
	}
	return remaining, nil
}
