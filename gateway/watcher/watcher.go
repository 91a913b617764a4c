// Package watcher follows what the platform's store holds: the configuration,
// the registry of targets and the list of daemons. It survives outages of the
// store and calls it rarely, because calls have a price.
package watcher

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/logger"
	"monsoondeck.example/sleeper"
)

// ErrHistoryLost reports that the changes since a revision are no longer known;
// the whole is to be read again.
var ErrHistoryLost = errors.New("the history of changes is lost")

// Daemon is the entry of a daemon in the list of daemons.
type Daemon struct {
	Host, DataCentre string
	// Address is that of the listener for peers.
	Address string
	// Incarnation grows with each start.
	Incarnation uint64
}

// Source reads the store.
type Source interface {
	// Config returns the configuration and the revision of the read; the
	// configuration is nil before the first one.
	Config(ctx context.Context) (*resolver.Config, uint64, error)
	// ConfigAfter waits for a configuration that is newer than the revision; it is
	// nil if there was none in time. Errors: ErrHistoryLost.
	ConfigAfter(ctx context.Context, revision uint64, wait time.Duration) (*resolver.Config, uint64, error)
	// Decode reads a configuration that a peer passed on.
	Decode(encoded []byte) (resolver.Config, error)
	// Registry returns the readable entries of all targets and the keys of the others.
	Registry(ctx context.Context) (entries []registrar.Entry, unreadable []string, revision uint64, err error)
	// Daemons returns the list of daemons.
	Daemons(ctx context.Context) ([]Daemon, error)
	// Join enters the daemon into the list and then returns the list and the secret that
	// all daemons share; the first one to ask stores the proposal. Of two daemons that
	// join, the list of at least one contains the other.
	Join(ctx context.Context, self Daemon, proposal []byte) (list []Daemon, secret []byte, err error)
	// Forget removes the entry of the daemon unless a later incarnation wrote it.
	Forget(ctx context.Context, d Daemon) error
}

// Sink takes what the store holds.
type Sink interface {
	SetConfig(began time.Duration, c resolver.Config)
	// SetWatching tells whether the store holds a call for the next configuration.
	SetWatching(on bool)
	SetRegistry(began time.Duration, revision uint64, entries []registrar.Entry)
	RegistryFailed()
}

const (
	// callTimeout bounds a read; a slow store answers in some 300 ms.
	callTimeout = time.Second
	// configWait is how long the store holds a call until the configuration changes. A
	// connection that went silent is noticed by keep-alive probes before that, and
	// peers tell of newer configurations.
	configWait = 20 * time.Second
	// listInterval is the time after which the list of daemons is read again. It only
	// matters for daemons that never connected to this one.
	listInterval = 30 * time.Second
	// followCheck is how often a daemon that is told the configuration by others looks
	// whether it still is.
	followCheck = 100 * time.Millisecond
	// dueCheck is how often it is looked whether a read of the registry is due.
	dueCheck = 100 * time.Millisecond
	// minReadInterval is the shortest time between two reads of the registry.
	minReadInterval = 250 * time.Millisecond
	// waitSlack is added to the time that the store holds a call.
	waitSlack = 1500 * time.Millisecond
	// minRetry and maxRetry bound the time between calls that fail. followerRetry is the
	// longest time of a daemon for which others read: they notice sooner that the store
	// is back, and each call that fails has a price, too.
	minRetry      = 150 * time.Millisecond
	maxRetry      = time.Second
	followerRetry = 3 * time.Second
)

// Options are the dependencies of a Watcher.
type Options struct {
	Source Source
	Sink   Sink
	// Due returns the time until the registry should be read.
	Due func() time.Duration
	// Role returns what others do for this daemon.
	Role func() Role
	// Clock returns the monotonic time since the start.
	Clock  func() time.Duration
	Logger *slog.Logger
}

// Role tells what other daemons do for this one.
type Role struct {
	// Follower is set in a large fleet in which others read the store for this daemon.
	Follower bool
	// Told is set while a follower hears from others often enough that it need not ask
	// the store for the configuration.
	Told bool
}

// Watcher follows the store.
type Watcher struct {
	options Options
	// failures counts failed calls.
	failures atomic.Int64
	calls    atomic.Int64

	mutex sync.Mutex
	// waits ends the calls that the store holds.
	waits map[int]context.CancelCauseFunc
	next  int
}

// hold returns a context for a call that the store holds, and a function that
// ends it. The context also ends when the store is back after an outage, since
// calls that were held before are never answered.
func (w *Watcher) hold(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	ctx, cancel := context.WithTimeout(ctx, wait+waitSlack)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	id := w.next
	w.next++
	w.waits[id] = cancelCause
	return ctx, func() {
		cancel()
		cancelCause(nil)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.waits, id)
	}
}

// Wake ends all calls that the store holds, so that they are made again.
func (w *Watcher) Wake() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, cancel := range w.waits {
		cancel(errWoken)
	}
}

// errWoken is the cause of a held call that is ended to be made again.
var errWoken = errors.New("the call is made again")

// New returns a Watcher.
func New(o Options) *Watcher { return &Watcher{options: o, waits: map[int]context.CancelCauseFunc{}} }

// Calls returns the numbers of calls and of failed calls.
func (w *Watcher) Calls() (calls, failures int64) { return w.calls.Load(), w.failures.Load() }

// WatchConfig follows the configuration until the context ends. A daemon that is
// told of changes by others reads it once.
func (w *Watcher) WatchConfig(ctx context.Context) {
	// known is set while the store can tell the changes since revision, applied once a
	// configuration was read.
	known, applied, revision := false, false, uint64(0)
	l := w.loop("configuration")
	for ctx.Err() == nil {
		if applied && w.options.Role().Told {
			known = false // the store forgets its history meanwhile
			w.options.Sink.SetWatching(false)
			sleeper.Sleep(ctx, followCheck)
			continue
		}
		var config *resolver.Config
		var err error
		began := w.options.Clock()
		if known {
			config, revision, err = w.configAfter(ctx, revision)
		} else {
			config, revision, err = w.config(ctx)
		}
		if err != nil {
			known = known && !errors.Is(err, ErrHistoryLost)
			w.options.Sink.SetWatching(false)
			l.failed(ctx, err)
			continue
		}
		l.succeeded()
		if known {
			began = w.options.Clock() // a held call tells what is the newest when it is answered
		}
		if config != nil {
			w.options.Sink.SetConfig(began, *config)
			applied = true
		}
		// Before the first configuration is written, the store holds the next call, too.
		known = true
		w.options.Sink.SetWatching(applied)
	}
}

func (w *Watcher) config(ctx context.Context) (*resolver.Config, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return w.options.Source.Config(ctx)
}

func (w *Watcher) configAfter(ctx context.Context, revision uint64) (*resolver.Config, uint64, error) {
	ctx, done := w.hold(ctx, configWait)
	defer done()
	w.calls.Add(1)
	config, next, err := w.options.Source.ConfigAfter(ctx, revision, configWait)
	if err != nil && errors.Is(context.Cause(ctx), errWoken) {
		return nil, revision, nil
	}
	if err != nil {
		return nil, revision, err
	}
	return config, next, nil
}

// WatchRegistry reads the registry whenever it is due, until the context ends.
func (w *Watcher) WatchRegistry(ctx context.Context) {
	l := w.loop("registry")
	unreadable := map[string]bool{}
	for ctx.Err() == nil {
		if wait := w.options.Due(); wait > 0 {
			sleeper.Sleep(ctx, min(wait, dueCheck))
			continue
		}
		began := w.options.Clock()
		entries, bad, revision, err := w.registry(ctx)
		if err != nil {
			w.options.Sink.RegistryFailed()
			l.failed(ctx, err)
			continue
		}
		if l.succeeded() {
			w.Wake()
		}
		for _, key := range bad {
			if !unreadable[key] {
				unreadable[key] = true
				logger.Emit(w.options.Logger, logger.EntryUnreadable, slog.String("key", key), slog.Uint64("revision", revision))
			}
		}
		w.options.Sink.SetRegistry(began, revision, entries)
		sleeper.Sleep(ctx, minReadInterval)
	}
}

func (w *Watcher) registry(ctx context.Context) ([]registrar.Entry, []string, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return w.options.Source.Registry(ctx)
}

// WatchDaemons enters the daemon into the list, calls joined with the secret of
// the fleet, and then changed with each read of the list, until the context
// ends. Daemons that start later connect by themselves, so that the list is read
// rarely, and by followers only once. changed returns entries of daemons that are
// gone for good.
func (w *Watcher) WatchDaemons(ctx context.Context, self Daemon, proposal []byte, joined func(secret []byte) error, changed func([]Daemon) []Daemon) {
	l := w.loop("daemons")
	for ctx.Err() == nil {
		list, secret, err := w.join(ctx, self, proposal)
		if err == nil {
			err = joined(secret)
		}
		if err != nil {
			l.failed(ctx, err)
			continue
		}
		l.succeeded()
		changed(list)
		break
	}
	for wait := jitter(listInterval); ctx.Err() == nil; {
		sleeper.Sleep(ctx, wait)
		wait = jitter(listInterval)
		if !w.options.Role().Follower && !w.list(ctx, l, changed) {
			wait = 0 // the failed call has been waited for
		}
	}
}

// list reads the list of daemons and reports whether it could.
func (w *Watcher) list(ctx context.Context, l *loop, changed func([]Daemon) []Daemon) bool {
	list, err := w.daemons(ctx)
	if err != nil {
		l.failed(ctx, err)
		return false
	}
	l.succeeded()
	for _, gone := range changed(list) {
		w.forget(ctx, l, gone)
	}
	return true
}

func (w *Watcher) forget(ctx context.Context, l *loop, d Daemon) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	if err := w.options.Source.Forget(ctx, d); err != nil {
		l.failed(ctx, err)
	}
}

func (w *Watcher) join(ctx context.Context, self Daemon, proposal []byte) ([]Daemon, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return w.options.Source.Join(ctx, self, proposal)
}

func (w *Watcher) daemons(ctx context.Context) ([]Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return w.options.Source.Daemons(ctx)
}
