// Package watcher follows the contents of the platform's store: the configuration,
// the registry of targets and the list of daemons. It survives outages of the store
// and makes few calls, because each has a price.
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

// ErrCompacted reports that the store does not keep the changes since a moment, so
// that the current state must be read again.
var ErrCompacted = errors.New("the store does not keep the changes since the moment")

// Daemon is an entry in the list of daemons.
type Daemon struct {
	Host, DataCentre string
	// Address is the address of the listener for peers.
	Address string
	// Incarnation increases with each start of the daemon.
	Incarnation uint64
}

// Fleet is what the store keeps about the daemons.
type Fleet struct {
	Daemons []Daemon
	// Secret is the secret that all daemons share; nil if none is stored.
	Secret []byte
	// Era is that of the store at the read.
	Era uint64
	// Versions is what the store keeps of software versions.
	Versions StoredVersions
	// Founded is set if the daemon that was added is the first one of the fleet.
	Founded bool
}

// Operations is what the operator has written: in a whole read all of it, otherwise the
// changes.
type Operations struct {
	// Config is the configuration, or nil if there is none or no new one. ConfigError is set
	// if it cannot be decoded.
	Config      *resolver.Config
	ConfigError error
	// Evacuated are data centres whose evacuation is requested, Reopened, among changes,
	// those for which it no longer is.
	Evacuated, Reopened []string
	// StoreTime is the time of the store's clock at the response; 0 means unknown.
	StoreTime time.Duration
}

// Source reads and writes the store.
type Source interface {
	// Operations returns what the operator has written and the moment of the read.
	Operations(ctx context.Context) (Operations, registrar.Moment, error)
	// OperationsAfter is a long poll: it waits for changes that were written after the
	// moment, and returns none if there were none in time. It returns ErrCompacted if the
	// store does not keep the changes since the moment, as in a new era.
	OperationsAfter(ctx context.Context, after registrar.Moment, wait time.Duration) (Operations, registrar.Moment, error)
	// Decode decodes a configuration that a peer sent.
	Decode(encoded []byte) (resolver.Config, error)
	// Registry returns the readable entries of all targets and the keys of the
	// unreadable ones.
	Registry(ctx context.Context) (read registrar.Read, unreadable []string, err error)
	// Daemons returns the list of daemons.
	Daemons(ctx context.Context) ([]Daemon, error)
	// AddDaemon adds the daemon to the list and then returns the fleet. The first daemon
	// stores its proposal as the secret. If two daemons are added at the same time, at
	// least one of them gets a list that contains the other.
	AddDaemon(ctx context.Context, self Daemon, proposal []byte) (Fleet, error)
	// RemoveDaemon removes the entry of the daemon unless a later incarnation wrote it.
	RemoveDaemon(ctx context.Context, d Daemon) error
}

// Sink receives what was read from the store. Times are those of Options.Clock at
// which the read started or, for a configuration from a long poll, ended.
type Sink interface {
	SetConfig(readStart time.Duration, c resolver.Config)
	// SetWatching records whether a long poll for the next configuration is pending, and
	// the era of the store since whose moment it is.
	SetWatching(on bool, era uint64)
	// SetEvacuated records the evacuated data centres as of a call that was sent at the
	// given time and answered at storeTime by the store's clock; 0 means unknown.
	// OperationsFailed records that such a call failed.
	SetEvacuated(sent, storeTime time.Duration, s registrar.EvacuationState)
	OperationsFailed(sent time.Duration)
	SetRegistry(readStart time.Duration, read registrar.Read)
	// RegistryFailed records that a read, which began at the given time, failed.
	RegistryFailed(readStart time.Duration)
}

const (
	// callTimeout is the limit of all calls other than long polls; a slow store
	// answers in some 300 ms.
	callTimeout = time.Second
	// longPollTimeout is how long the store holds a call while the configuration does
	// not change. Keep-alive probes detect a dead connection earlier, and peers report
	// newer configurations.
	longPollTimeout = 20 * time.Second
	// followerCheckInterval is how often a daemon that gets the configuration from its
	// peers checks whether it still does.
	followerCheckInterval = 100 * time.Millisecond
	// dueCheckInterval is the maximum time between two checks of whether a read of the
	// registry is due.
	dueCheckInterval = 100 * time.Millisecond
	// minRegistryInterval is the minimum time between two reads of the registry.
	minRegistryInterval = 250 * time.Millisecond
	// longPollSlack is added to longPollTimeout for the time-out on this side.
	longPollSlack = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call.
	// followerMaxBackoff is the maximum for followers: the store readers detect
	// earlier that the store is available again, and failed calls have a price, too.
	minBackoff         = 150 * time.Millisecond
	maxBackoff         = time.Second
	followerMaxBackoff = 3 * time.Second
)

// Options are the dependencies of a Watcher.
type Options struct {
	Source Source
	Sink   Sink
	// QuarantineStore and QuarantineSink are nil if the quarantine is not stored.
	QuarantineStore QuarantineStore
	QuarantineSink  QuarantineSink
	// VersionStore and VersionSink are nil if nothing of software versions is stored.
	VersionStore VersionStore
	VersionSink  VersionSink
	// RegistryDue returns the time until the registry should be read; it is due if
	// that is not positive.
	RegistryDue func() time.Duration
	// Role returns the current role of this daemon.
	Role func() Role
	// Clock returns the monotonic time since the start of the daemon.
	Clock  func() time.Duration
	Logger *slog.Logger
}

// Role describes to what extent this daemon relies on others to read the store.
type Role struct {
	// Reader is set if this daemon reads the store on behalf of the fleet.
	Reader bool
	// Follower is set in a large fleet in which other daemons read the store on behalf
	// of this one.
	Follower bool
	// ConfigFromPeers is set while a follower has recent enough news from its peers
	// that it need not ask the store for the configuration.
	ConfigFromPeers bool
}

// Watcher follows the store. Its methods are safe for concurrent use.
type Watcher struct {
	options Options
	// calls counts the calls to the store, failures the failed ones among them.
	failures atomic.Int64
	calls    atomic.Int64
	// quarantineRead is closed, by quarantineOnce, after the first attempt to read the
	// quarantine.
	quarantineRead chan struct{}
	quarantineOnce sync.Once
	// storedVersions is what the store kept of software versions when this daemon joined the
	// fleet; nil before.
	storedVersions atomic.Pointer[StoredVersions]
	// era is the latest era of the store that is known.
	era atomic.Uint64

	mutex sync.Mutex
	// longPolls holds the functions that cancel the pending long polls, by an ID taken
	// from nextLongPoll. mutex guards both.
	longPolls    map[int]context.CancelCauseFunc
	nextLongPoll int
}

// longPollContext returns a context for a long poll and a function that releases
// it. RestartLongPolls cancels the context after an outage of the store, since the
// store never answers calls that it held before the outage.
func (w *Watcher) longPollContext(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	ctx, cancel := context.WithTimeout(ctx, wait+longPollSlack)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	id := w.nextLongPoll
	w.nextLongPoll++
	w.longPolls[id] = cancelCause
	return ctx, func() {
		cancel()
		cancelCause(nil)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.longPolls, id)
	}
}

// RestartLongPolls cancels all pending long polls, so that they are made again.
func (w *Watcher) RestartLongPolls() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, cancel := range w.longPolls {
		cancel(errRestarted)
	}
}

// NoticeEra records that the store has reached an era. At the first notice of one, the
// pending long polls are made again: the store may never answer them.
func (w *Watcher) NoticeEra(era uint64) {
	for {
		known := w.era.Load()
		if era <= known {
			return
		}
		if w.era.CompareAndSwap(known, era) {
			if known > 0 {
				logger.Emit(w.options.Logger, logger.StoreRestored, slog.Uint64("era", era))
			}
			w.RestartLongPolls()
			return
		}
	}
}

// errRestarted is the cause of the cancellation by RestartLongPolls.
var errRestarted = errors.New("the long poll is restarted")

// New returns a Watcher.
func New(o Options) *Watcher {
	return &Watcher{options: o, longPolls: map[int]context.CancelCauseFunc{}, quarantineRead: make(chan struct{})}
}

// Calls returns the number of calls to the store and how many of them failed.
func (w *Watcher) Calls() (calls, failures int64) { return w.calls.Load(), w.failures.Load() }

// WatchConfig follows the configuration until the context ends. While peers provide
// the configuration, the store is not asked once a first configuration was read.
func (w *Watcher) WatchConfig(ctx context.Context) {
	// historyKnown is set while the store can be asked for the changes since moment, applied
	// once a configuration was read.
	historyKnown, applied, moment, era := false, false, registrar.Moment{}, w.era.Load()
	evacuated := evacuatedSet{}
	b := w.newBackoff("configuration")
	for ctx.Err() == nil {
		if applied && w.options.Role().ConfigFromPeers {
			historyKnown = false // the store may drop the history in the meantime
			w.options.Sink.SetWatching(false, moment.Era)
			sleeper.Sleep(ctx, followerCheckInterval)
			continue
		}
		if noticed := w.era.Load(); noticed > era {
			era = noticed
			if moment.Era < noticed {
				historyKnown = false
				w.options.Sink.SetWatching(false, moment.Era)
			}
		}
		var found Operations
		var err error
		readStart, last := w.options.Clock(), moment
		if historyKnown {
			found, moment, err = w.pollOperations(ctx, moment)
		} else {
			found, moment, err = w.readOperations(ctx)
		}
		if errors.Is(err, errRestarted) {
			w.options.Sink.SetWatching(applied, moment.Era)
			continue
		}
		if err == nil {
			evacuated = evacuated.with(found, !historyKnown)
			w.options.Sink.SetEvacuated(readStart, found.StoreTime, registrar.NewEvacuationState(moment, evacuated.names()))
		}
		if err == nil && found.ConfigError != nil {
			// The evacuations are applied; the configuration is read again.
			moment, err = last, found.ConfigError
		}
		if err != nil {
			if !errors.Is(err, ErrCompacted) && found.ConfigError == nil {
				w.options.Sink.OperationsFailed(readStart)
			}
			historyKnown = historyKnown && !errors.Is(err, ErrCompacted)
			w.options.Sink.SetWatching(false, moment.Era)
			b.failed(ctx, err)
			continue
		}
		w.NoticeEra(moment.Era)
		b.succeeded()
		if historyKnown {
			readStart = w.options.Clock() // the answer to a long poll is the newest configuration when it is sent
		}
		if found.Config != nil {
			w.options.Sink.SetConfig(readStart, *found.Config)
			applied = true
			if w.options.Role().Follower {
				// The role shows only after the configuration was applied that no further call is
				// needed.
				sleeper.Sleep(ctx, followerCheckInterval)
			}
		}
		// The next call is a long poll even if no configuration has been written yet.
		historyKnown = true
		w.options.Sink.SetWatching(applied, moment.Era)
	}
}

func (w *Watcher) readOperations(ctx context.Context) (Operations, registrar.Moment, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return w.options.Source.Operations(ctx)
}

func (w *Watcher) pollOperations(ctx context.Context, after registrar.Moment) (Operations, registrar.Moment, error) {
	ctx, done := w.longPollContext(ctx, longPollTimeout)
	defer done()
	w.calls.Add(1)
	found, next, err := w.options.Source.OperationsAfter(ctx, after, longPollTimeout)
	if err != nil && errors.Is(context.Cause(ctx), errRestarted) {
		return Operations{}, after, errRestarted
	}
	if err != nil {
		return Operations{}, after, err
	}
	return found, next, nil
}

// WatchRegistry reads the registry whenever it is due, until the context ends.
func (w *Watcher) WatchRegistry(ctx context.Context) {
	b := w.newBackoff("registry")
	logged := map[string]bool{}
	for ctx.Err() == nil {
		if wait := w.options.RegistryDue(); wait > 0 {
			sleeper.Sleep(ctx, min(wait, dueCheckInterval))
			continue
		}
		readStart := w.options.Clock()
		read, unreadable, err := w.readRegistry(ctx)
		if err != nil {
			w.options.Sink.RegistryFailed(readStart)
			b.failed(ctx, err)
			continue
		}
		if b.succeeded() {
			w.RestartLongPolls()
		}
		for _, key := range unreadable {
			if !logged[key] {
				logged[key] = true
				logger.Emit(w.options.Logger, logger.EntryUnreadable, slog.String("key", key), slog.Uint64("revision", read.Revision))
			}
		}
		w.NoticeEra(read.Era)
		w.waitForQuarantine(ctx)
		w.options.Sink.SetRegistry(readStart, read)
		sleeper.Sleep(ctx, minRegistryInterval)
	}
}

func (w *Watcher) readRegistry(ctx context.Context) (registrar.Read, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return w.options.Source.Registry(ctx)
}
