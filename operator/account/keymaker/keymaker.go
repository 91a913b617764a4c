// Package keymaker creates bearer keys and stores their hashes, for "account addkey"
// and "account rotatekey".
package keymaker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/provider"
)

// keyBytes is the number of random bytes of a key.
const keyBytes = 24

// NewRecords returns empty records for the output of Commit.
func NewRecords() *printer.Records {
	return &printer.Records{Fields: []string{"key", "account", "keyHash", "version"}, Hidden: 3}
}

// Account returns the account with the given ID, or a failure that says how to list
// accounts.
func Account(config configurer.Config, id string) (configurer.Account, error) {
	a, ok := config.Account(id)
	if !ok {
		return a, failure.Usage(fmt.Sprintf("there is no account %q, nothing was changed", id), "List accounts with 'sheet show accounts'.")
	}
	return a, nil
}

// Commit adds a new key to the account and prints the key, which is not stored
// anywhere. It also prints the key if the outcome is unknown, because the key may be
// valid then.
func Commit(ctx context.Context, s *session.Session, store session.Store, config configurer.Config, a configurer.Account,
	action string, flags printer.Flags) error {
	var random [keyBytes]byte
	_, _ = rand.Read(random[:]) // documented never to fail
	key := hex.EncodeToString(random[:])
	hash := configurer.KeyHash(key)
	d := configurer.Delta{PutAccounts: []configurer.Account{a.WithKeyHash(hash)}}
	next, err := s.Commit(ctx, store, config, d, action+" "+a.ID)
	if err != nil && !errors.Is(err, provider.ErrUnknown) {
		return err
	}
	result := NewRecords()
	result.Add(key, a.ID, hash, next.Version())
	if printErr := s.Printer().Print(result, flags); printErr != nil {
		return errors.CombineErrors(err, printErr)
	}
	if err == nil {
		s.Progress("this key is shown only once; only its hash is stored")
	}
	return err
}
