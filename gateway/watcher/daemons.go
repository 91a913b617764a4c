package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"monsoondeck.example/sleeper"
)

const (
	// daemonListInterval is the time between two reads of the list of daemons. Only
	// daemons that never connected to this one are missed in the meantime.
	daemonListInterval = 30 * time.Second
	// eraCheckInterval is how often a daemon checks whether it has to join the fleet again.
	eraCheckInterval = 200 * time.Millisecond
	// rejoinSpread is the time over which hundreds of followers that join again spread their
	// calls.
	rejoinSpread = 3 * time.Second
)

// WatchDaemons adds the daemon to the list of daemons and calls joined with the
// secret of the fleet. It then calls changed with each list that it reads, until
// the context ends. Daemons that start later connect to this one by themselves, so
// the list is read rarely, and by followers only once. changed returns the entries
// to remove, of daemons that are gone for good. In each new era of the store, the daemon
// adds itself again, with the secret that it knows, and calls joined with the stored one.
func (w *Watcher) WatchDaemons(ctx context.Context, self Daemon, proposal []byte, joined func(secret []byte) error, changed func([]Daemon) []Daemon) {
	b := w.newBackoff("daemons")
	fleet := w.join(ctx, b, self, proposal, joined, changed)
	for wait := jitter(daemonListInterval); ctx.Err() == nil; {
		if w.sleepUntilEra(ctx, wait, fleet.Era); w.era.Load() > fleet.Era {
			// Followers learn of the era from the reports of their peers, all at once.
			if w.options.Role().Follower {
				sleeper.Sleep(ctx, time.Duration(rand.Float64()*float64(rejoinSpread)))
			}
			fleet = w.join(ctx, b, self, fleet.Secret, joined, changed)
		}
		wait = jitter(daemonListInterval)
		if !w.options.Role().Follower && !w.updateDaemons(ctx, b, changed) {
			wait = 0 // updateDaemons has already slept after the failed call
		}
	}
}

// join adds the daemon to the list of daemons until that succeeds, and returns the fleet.
func (w *Watcher) join(ctx context.Context, b *backoff, self Daemon, proposal []byte, joined func(secret []byte) error, changed func([]Daemon) []Daemon) Fleet {
	for ctx.Err() == nil {
		fleet, err := w.addDaemon(ctx, self, proposal)
		if err == nil {
			err = joined(fleet.Secret)
		}
		if err != nil {
			b.failed(ctx, err)
			continue
		}
		b.succeeded()
		w.NoticeEra(fleet.Era)
		if w.options.VersionSink != nil {
			w.learnVersions(fleet)
		}
		changed(fleet.Daemons)
		return fleet
	}
	return Fleet{Secret: proposal}
}

// sleepUntilEra sleeps, but not longer than until the store reaches a later era.
func (w *Watcher) sleepUntilEra(ctx context.Context, d time.Duration, era uint64) {
	for end := w.options.Clock() + d; ctx.Err() == nil && w.era.Load() <= era; {
		left := end - w.options.Clock()
		if left <= 0 {
			return
		}
		sleeper.Sleep(ctx, min(left, eraCheckInterval))
	}
}

// updateDaemons reads the list of daemons, removes the entries that changed
// returns, and reports whether the list could be read.
func (w *Watcher) updateDaemons(ctx context.Context, b *backoff, changed func([]Daemon) []Daemon) bool {
	list, err := w.readDaemons(ctx)
	if err != nil {
		b.failed(ctx, err)
		return false
	}
	b.succeeded()
	for _, gone := range changed(list) {
		w.removeDaemon(ctx, b, gone)
	}
	return true
}

func (w *Watcher) removeDaemon(ctx context.Context, b *backoff, d Daemon) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	if err := w.options.Source.RemoveDaemon(ctx, d); err != nil {
		b.failed(ctx, err)
	}
}

func (w *Watcher) addDaemon(ctx context.Context, self Daemon, proposal []byte) (Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return w.options.Source.AddDaemon(ctx, self, proposal)
}

func (w *Watcher) readDaemons(ctx context.Context) ([]Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return w.options.Source.Daemons(ctx)
}
