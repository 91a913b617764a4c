// Package explainer implements "account explain".
package explainer

import (
	"context"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/account/keymaker"
	"monsoondeck.example/operator/fleetclient"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// Options are the arguments of the command.
type Options struct {
	ID string `arg:"positional,required" placeholder:"ACCOUNT" help:"ID of the account"`
	printer.Flags
}

// Run prints the configuration of an account and how its last requests were
// scheduled.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	records := fleetclient.NewRecords()
	if err := records.Check(o.Flags); err != nil {
		return err
	}
	config, err := s.SignInToRead(ctx, "account explain")
	if err != nil {
		return err
	}
	if config.Version() > 0 {
		if err := describe(s, config, o.ID); err != nil {
			return err
		}
	}
	responses, err := fleetclient.Get[[]fleetclient.History](ctx, s, "accounts", o.ID)
	if err != nil {
		return err
	}
	return fleetclient.PrintHistories(s, records, responses, "account "+o.ID, o.Flags)
}

// describe prints the account and, for each of its pools, the part of the pool that
// the account gets when all accounts of the pool have requests waiting.
func describe(s *session.Session, config configurer.Config, id string) error {
	account, err := keymaker.Account(config, id)
	if err != nil {
		return err
	}
	s.Progress("account %s: share %g, %d keys, queue limit %d (0 is the daemons' default)", id, account.Share, len(account.KeyHashes), account.QueueLimit)
	for _, pool := range account.Pools {
		total, active := 0.0, 0
		for a := range config.Accounts() {
			if a.MayUse(pool) {
				total += a.Share
			}
		}
		for _, t := range config.Pool(pool) {
			if t.State == configurer.StateActive {
				active++
			}
		}
		s.Progress("  pool %s: at least %.1f%% of %d active targets when all accounts have requests waiting", pool, 100*account.Share/total, active)
	}
	return nil
}
