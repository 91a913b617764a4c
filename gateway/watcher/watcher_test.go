package watcher_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/watcher"
)

var errUnavailable = errors.New("the store is unavailable")

// store is a Source whose long polls end only by a change or with their context.
type store struct {
	mutex     sync.Mutex
	version   uint64
	down      bool
	compacted bool
	// restores is the number of times that the store came back with an older state.
	restores  uint64
	changed   chan struct{}
	longPolls int
	reads     int
	// timedOut is set if a long poll ended by its own time-out.
	timedOut bool
}

// withoutConfig makes the store have no configuration yet.
func (s *store) withoutConfig() *store {
	s.version = 0
	return s
}

func newStore() *store { return &store{version: 1, changed: make(chan struct{})} }

// set changes the store and, if answer is set, lets the pending long polls see the
// change.
func (s *store) set(change func(), answer bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	if answer {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *store) state() (version uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return 0, errUnavailable
	}
	return s.version, nil
}

func (s *store) Operations(context.Context) (watcher.Operations, registrar.Moment, error) {
	v, err := s.state()
	if err != nil {
		return watcher.Operations{}, registrar.Moment{}, err
	}
	s.set(func() { s.reads++ }, false)
	if v == 0 {
		return watcher.Operations{}, s.moment(0), nil
	}
	c := resolver.New(resolver.Content{Version: v})
	return watcher.Operations{Config: &c}, s.moment(v), nil
}

func (s *store) OperationsAfter(ctx context.Context, after registrar.Moment, _ time.Duration) (watcher.Operations, registrar.Moment, error) {
	s.mutex.Lock()
	s.longPolls++
	s.mutex.Unlock()
	for {
		s.mutex.Lock()
		v, down, compacted, changed := s.version, s.down, s.compacted, s.changed
		s.compacted = false
		s.mutex.Unlock()
		switch {
		case compacted:
			return watcher.Operations{}, registrar.Moment{}, watcher.ErrCompacted
		case down:
			<-ctx.Done() // an unavailable store never answers
			s.set(func() { s.timedOut = s.timedOut || errors.Is(ctx.Err(), context.DeadlineExceeded) }, false)
			return watcher.Operations{}, registrar.Moment{}, ctx.Err()
		case v > after.Revision:
			c := resolver.New(resolver.Content{Version: v})
			return watcher.Operations{Config: &c}, s.moment(v), nil
		}
		select {
		case <-ctx.Done():
			return watcher.Operations{}, registrar.Moment{}, ctx.Err()
		case <-changed:
		}
	}
}

func (s *store) Decode([]byte) (resolver.Config, error) { return resolver.Config{}, errUnavailable }

func (s *store) Registry(context.Context) (registrar.Read, []string, error) {
	v, err := s.state()
	return registrar.Read{Moment: s.moment(v)}, nil, err
}

func (s *store) Daemons(context.Context) ([]watcher.Daemon, error) { return nil, nil }

// moment returns the moment of a revision in the current era.
func (s *store) moment(revision uint64) registrar.Moment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return registrar.Moment{Era: 1 + s.restores, Revision: revision}
}

func (s *store) AddDaemon(_ context.Context, _ watcher.Daemon, proposal []byte) (watcher.Fleet, error) {
	return watcher.Fleet{Secret: proposal, Era: 1}, nil
}

func (s *store) RemoveDaemon(context.Context, watcher.Daemon) error { return nil }

// sink records what it receives.
type sink struct {
	versions chan uint64
	// watching is the last argument of SetWatching.
	watching atomic.Bool
	reads    chan uint64
	failures chan struct{}
}

func newSink() *sink {
	return &sink{versions: make(chan uint64, 100), reads: make(chan uint64, 10000), failures: make(chan struct{}, 10000)}
}

func (s *sink) SetConfig(_ time.Duration, c resolver.Config) { s.versions <- c.Version() }

func (s *sink) SetWatching(on bool, _ uint64) { s.watching.Store(on) }

func (s *sink) SetEvacuated(time.Duration, time.Duration, registrar.EvacuationState) {}

func (s *sink) OperationsFailed(time.Duration) {}

func (s *sink) SetRegistry(_ time.Duration, read registrar.Read) {
	select {
	case s.reads <- read.Revision:
	default:
	}
}

func (s *sink) RegistryFailed(time.Duration) {
	select {
	case s.failures <- struct{}{}:
	default:
	}
}

func watch(t *testing.T, source watcher.Source) *sink {
	t.Helper()
	return watchWithRole(t, source, func() watcher.Role { return watcher.Role{} })
}

func watchWithRole(t *testing.T, source watcher.Source, role func() watcher.Role) *sink {
	t.Helper()
	k := newSink()
	w := watcher.New(watcher.Options{Source: source, Sink: k, RegistryDue: func() time.Duration { return 0 }, Role: role, Clock: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.WatchConfig(ctx) })
	group.Go(func() { w.WatchRegistry(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return k
}

// Guards against changes of the configuration that are missed.
func TestConfigurationChangeIsApplied(t *testing.T) {
	s := newStore()
	k := watch(t, s)
	if v := <-k.versions; v != 1 {
		t.Fatalf("applied version %d of the configuration", v)
	}
	s.set(func() { s.version = 4 }, true)
	if v := <-k.versions; v != 4 {
		t.Fatalf("applied version %d of the configuration", v)
	}
}

// Load: all daemons of a fleet start before the first configuration is written.
// Guards against daemons that read the store repeatedly until then.
func TestFirstConfigurationIsAwaitedByLongPoll(t *testing.T) {
	s := newStore().withoutConfig()
	k := watch(t, s)
	count := func() (reads, longPolls int) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.reads, s.longPolls
	}
	for reads, longPolls := count(); longPolls == 0; reads, longPolls = count() {
		if reads > 1 {
			t.Fatalf("the configuration was read %d times before it was written", reads)
		}
		time.Sleep(time.Millisecond)
	}
	s.set(func() { s.version = 3 }, true)
	if v := <-k.versions; v != 3 {
		t.Fatalf("applied version %d of the configuration", v)
	}
	if reads, _ := count(); reads != 1 {
		t.Errorf("the configuration was read %d times, want 1", reads)
	}
}

// Guards against a change that is applied only after the long poll times out,
// because the store dropped the long poll during an outage.
func TestLongPollIsRestartedAfterOutage(t *testing.T) {
	s := newStore()
	k := watch(t, s)
	<-k.versions
	s.set(func() { s.down = true }, true)
	<-k.failures
	// The long poll that was pending during the outage is never answered.
	s.set(func() { s.down, s.version = false, 2 }, false)
	if v := <-k.versions; v != 2 {
		t.Fatalf("applied version %d of the configuration", v)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timedOut {
		t.Error("the change was applied only after the long poll timed out")
	}
}

// Load: a large fleet, in which each daemon would read each change. Guards against
// calls by followers that get the configuration from their peers, and against a
// follower that misses a change when its peers stop sending, because the store no
// longer keeps the history.
func TestFollowerWithConfigFromPeersDoesNotCallStore(t *testing.T) {
	s := newStore()
	var fromPeers atomic.Bool
	roleCalls := make(chan struct{}, 1000)
	fromPeers.Store(true)
	k := watchWithRole(t, s, func() watcher.Role {
		select {
		case roleCalls <- struct{}{}:
		default:
		}
		return watcher.Role{Follower: true, ConfigFromPeers: fromPeers.Load()}
	})
	if v := <-k.versions; v != 1 {
		t.Fatalf("applied version %d of the configuration", v)
	}
	s.set(func() { s.version = 2 }, true)
	for range 3 {
		<-roleCalls
	}
	s.mutex.Lock()
	if s.longPolls != 0 || s.reads != 1 {
		t.Errorf("%d long polls and %d reads by a follower that gets the configuration from its peers", s.longPolls, s.reads)
	}
	s.mutex.Unlock()
	s.set(func() { s.compacted = true }, false)
	fromPeers.Store(false)
	if v := <-k.versions; v != 2 {
		t.Fatalf("applied version %d of the configuration", v)
	}
}

// Load: a large fleet that starts at once. Guards against a long poll of each daemon
// after its first configuration, only because the configuration is applied a moment
// after it was read.
func TestFollowerMakesNoCallAfterItsFirstConfiguration(t *testing.T) {
	s := newStore()
	var applied atomic.Bool
	k := watchWithRole(t, s, func() watcher.Role {
		return watcher.Role{Follower: true, ConfigFromPeers: applied.Load()}
	})
	if v := <-k.versions; v != 1 {
		t.Fatalf("applied version %d of the configuration", v)
	}
	time.Sleep(10 * time.Millisecond) // the controller applies it
	applied.Store(true)
	time.Sleep(150 * time.Millisecond) // past the next check of the role
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.longPolls != 0 || s.reads != 1 {
		t.Errorf("%d long polls and %d reads by a follower, want 0 and 1", s.longPolls, s.reads)
	}
}

// Guards against waiting for ever for changes whose history the store no longer
// keeps.
func TestLostHistoryCausesNewRead(t *testing.T) {
	s := newStore()
	k := watch(t, s)
	<-k.versions
	s.set(func() { s.compacted, s.version = true, 3 }, true)
	if v := <-k.versions; v != 3 {
		t.Fatalf("applied version %d of the configuration", v)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reads < 2 {
		t.Errorf("the configuration was read %d times, want at least 2", s.reads)
	}
}

// Guards against a long poll that does not count as pending because the daemon has just
// learned of the first era: its peers would take their configuration for unconfirmed.
func TestFirstEraDoesNotEndTheLongPoll(t *testing.T) {
	s, k := newStore(), newSink()
	w := watcher.New(watcher.Options{Source: s, Sink: k, Role: func() watcher.Role { return watcher.Role{} }, Clock: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.WatchConfig(ctx) }) // the first read of the configuration names the era
	t.Cleanup(func() { cancel(); group.Wait() })
	for pending := 0; pending == 0; time.Sleep(time.Millisecond) {
		s.set(func() { pending = s.longPolls }, false)
	}
	if !k.watching.Load() {
		t.Error("the pending long poll does not count")
	}
}

// Guards against CONFIG of 2026-12-05: a long poll that a restored store never answers.
func TestConfigurationIsReadAgainInANewEra(t *testing.T) {
	s := newStore()
	k := watch(t, s)
	if v := <-k.versions; v != 1 {
		t.Fatalf("version %d", v)
	}
	s.set(func() { s.restores, s.version = 1, 2 }, false) // the pending long poll is not answered
	if v := <-k.versions; v != 2 {
		t.Errorf("version %d, want that of the new era", v)
	}
}
