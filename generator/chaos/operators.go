package chaos

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
)

// expectedError reports whether a commit may fail with the error in this run:
// another operator was faster, or the platform has an outage.
func expectedError(err error) bool {
	return errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrUnavailable) || errors.Is(err, provider.ErrUnknown)
}

// commit reads the current configuration, commits one change of it and records the
// change if it was accepted.
func (r *run) commit(ctx context.Context, change func(configurer.Config) configurer.Delta, action string) (accepted bool, at time.Time, err error) {
	if err := r.fleet.Reload(ctx); err != nil {
		return false, at, dropExpected(err)
	}
	version, err := r.fleet.Commit(ctx, change(r.fleet.Config()), action)
	if err != nil {
		return false, at, dropExpected(err)
	}
	at = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commits = append(r.commits, commit{version, at})
	return true, at, nil
}

// dropExpected returns nil for an expected error and any other error unchanged.
func dropExpected(err error) error {
	if expectedError(err) {
		return nil
	}
	return err
}

// rename returns a change of the name of an account, which does not affect the load.
func (r *run) rename(by string) func(configurer.Config) configurer.Delta {
	return func(c configurer.Config) configurer.Delta {
		a, _ := c.Account(r.deployment.Accounts[0].ID)
		a.Name = fmt.Sprintf("changed by %s after version %d", by, c.Version())
		return configurer.Delta{Author: by, PutAccounts: []configurer.Account{a}}
	}
}

// change commits one change that does not affect the load.
func (r *run) change(ctx context.Context) error {
	_, _, err := r.commit(ctx, r.rename("operator"), "change")
	return err
}

// race lets two operators change the same version of the configuration at once.
func (r *run) race(ctx context.Context) error {
	if err := r.fleet.Reload(ctx); err != nil {
		return dropExpected(err)
	}
	base := r.fleet.Config()
	var group sync.WaitGroup
	results := make([]error, 2)
	versions := make([]uint64, 2)
	for i, name := range []string{"first", "second"} {
		group.Go(func() {
			next, _, err := r.fleet.Committer.Commit(ctx, base, r.rename(name)(base), "race")
			results[i], versions[i] = err, next.Version()
		})
	}
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	won := 0
	for i, err := range results {
		if err == nil {
			won++
			r.commits = append(r.commits, commit{versions[i], time.Now()})
		} else if !expectedError(err) {
			return err
		}
	}
	if won > 1 {
		r.doubleCommits++
	}
	return nil
}

// drain drains an engine and makes it active again after the event's length.
func (r *run) drain(ctx context.Context, e Event) error {
	id := r.deployment.Engines[e.Subject].ID
	to := func(s configurer.State) func(configurer.Config) configurer.Delta {
		return func(c configurer.Config) configurer.Delta {
			t, _ := c.Target(id)
			return configurer.Delta{Author: "operator", PutTargets: []configurer.Target{t.WithState(s)}}
		}
	}
	accepted, from, err := r.commit(ctx, to(configurer.StateDraining), "drain "+id)
	if err != nil || !accepted {
		return err
	}
	if err := sleep(ctx, e.Length); err != nil {
		return err
	}
	until := time.Now()
	r.mu.Lock()
	r.drains = append(r.drains, drain{id, from, until})
	r.mu.Unlock()
	for {
		accepted, _, err := r.commit(ctx, to(configurer.StateActive), "undrain "+id)
		if err != nil || accepted {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
}
