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

var errDown = errors.New("the store is down")

// store is a source whose held calls end only by a change or by their context.
type store struct {
	mutex   sync.Mutex
	version uint64
	down    bool
	lost    bool
	changed chan struct{}
	held    int
	reads   int
	// expired is set if a held call ended only by its own time-out.
	expired bool
}

// empty makes the store have no configuration yet.
func (s *store) empty() *store {
	s.version = 0
	return s
}

func newStore() *store { return &store{version: 1, changed: make(chan struct{})} }

// set changes the store and tells the held calls unless they are left unanswered.
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
		return 0, errDown
	}
	return s.version, nil
}

func (s *store) Config(context.Context) (*resolver.Config, uint64, error) {
	v, err := s.state()
	if err != nil {
		return nil, 0, err
	}
	s.set(func() { s.reads++ }, false)
	if v == 0 {
		return nil, 0, nil
	}
	c := resolver.New(resolver.Content{Version: v})
	return &c, v, nil
}

func (s *store) ConfigAfter(ctx context.Context, revision uint64, _ time.Duration) (*resolver.Config, uint64, error) {
	s.mutex.Lock()
	s.held++
	s.mutex.Unlock()
	for {
		s.mutex.Lock()
		v, down, lost, changed := s.version, s.down, s.lost, s.changed
		s.lost = false
		s.mutex.Unlock()
		switch {
		case lost:
			return nil, 0, watcher.ErrHistoryLost
		case down:
			<-ctx.Done() // a store that is down answers nothing
			s.set(func() { s.expired = s.expired || errors.Is(ctx.Err(), context.DeadlineExceeded) }, false)
			return nil, 0, ctx.Err()
		case v > revision:
			c := resolver.New(resolver.Content{Version: v})
			return &c, v, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-changed:
		}
	}
}

func (s *store) Decode([]byte) (resolver.Config, error) { return resolver.Config{}, errDown }

func (s *store) Registry(context.Context) ([]registrar.Entry, []string, uint64, error) {
	v, err := s.state()
	return nil, nil, v, err
}

func (s *store) Daemons(context.Context) ([]watcher.Daemon, error) { return nil, nil }

func (s *store) Join(_ context.Context, _ watcher.Daemon, proposal []byte) ([]watcher.Daemon, []byte, error) {
	return nil, proposal, nil
}

func (s *store) Forget(context.Context, watcher.Daemon) error { return nil }

// sink keeps what it was given.
type sink struct {
	versions chan uint64
	reads    chan uint64
	failures chan struct{}
}

func newSink() *sink {
	return &sink{versions: make(chan uint64, 100), reads: make(chan uint64, 10000), failures: make(chan struct{}, 10000)}
}

func (s *sink) SetConfig(_ time.Duration, c resolver.Config) { s.versions <- c.Version() }

func (s *sink) SetWatching(bool) {}

func (s *sink) SetRegistry(_ time.Duration, revision uint64, _ []registrar.Entry) {
	select {
	case s.reads <- revision:
	default:
	}
}

func (s *sink) RegistryFailed() {
	select {
	case s.failures <- struct{}{}:
	default:
	}
}

func watch(t *testing.T, source watcher.Source) *sink {
	t.Helper()
	return watchAs(t, source, func() watcher.Role { return watcher.Role{} })
}

func watchAs(t *testing.T, source watcher.Source, role func() watcher.Role) *sink {
	t.Helper()
	k := newSink()
	w := watcher.New(watcher.Options{Source: source, Sink: k, Due: func() time.Duration { return 0 }, Role: role, Clock: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.WatchConfig(ctx) })
	group.Go(func() { w.WatchRegistry(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return k
}

// Guards against changes that are not seen.
func TestChangesAreFollowed(t *testing.T) {
	s := newStore()
	k := watch(t, s)
	if v := <-k.versions; v != 1 {
		t.Fatalf("version %d", v)
	}
	s.set(func() { s.version = 4 }, true)
	if v := <-k.versions; v != 4 {
		t.Fatalf("version %d", v)
	}
}

// Load: all daemons of a fleet start before the first configuration is written.
// Guards against daemons that read the store again and again until then.
func TestFirstConfigurationIsWaitedFor(t *testing.T) {
	s := newStore().empty()
	k := watch(t, s)
	count := func() (reads, held int) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.reads, s.held
	}
	for reads, held := count(); held == 0; reads, held = count() {
		if reads > 1 {
			t.Fatalf("the store was read %d times before there was a configuration", reads)
		}
		time.Sleep(time.Millisecond)
	}
	s.set(func() { s.version = 3 }, true)
	if v := <-k.versions; v != 3 {
		t.Fatalf("version %d", v)
	}
	if reads, _ := count(); reads != 1 {
		t.Errorf("%d reads, want 1", reads)
	}
}

// Guards against a change that is seen only when a held call times out, because
// the store forgot the call during an outage.
func TestHeldCallsAreRepeatedAfterAnOutage(t *testing.T) {
	s := newStore()
	k := watch(t, s)
	<-k.versions
	s.set(func() { s.down = true }, true)
	<-k.failures
	// The held call hangs: it saw the outage and is never answered.
	s.set(func() { s.down, s.version = false, 2 }, false)
	if v := <-k.versions; v != 2 {
		t.Fatalf("version %d", v)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.expired {
		t.Error("the change was seen only when the held call timed out")
	}
}

// Load: a large fleet, in which each change would be read by each daemon. Guards
// against calls of daemons that are told of changes, and against one that is no
// longer told and misses a change of which the store has forgotten the history.
func TestToldDaemonsDoNotAskForTheConfiguration(t *testing.T) {
	s := newStore()
	var told atomic.Bool
	asked := make(chan struct{}, 1000)
	told.Store(true)
	k := watchAs(t, s, func() watcher.Role {
		select {
		case asked <- struct{}{}:
		default:
		}
		return watcher.Role{Follower: true, Told: told.Load()}
	})
	if v := <-k.versions; v != 1 {
		t.Fatalf("version %d", v)
	}
	s.set(func() { s.version = 2 }, true)
	for range 3 {
		<-asked
	}
	s.mutex.Lock()
	if s.held != 0 || s.reads != 1 {
		t.Errorf("%d held calls and %d reads of a daemon that is told of changes", s.held, s.reads)
	}
	s.mutex.Unlock()
	s.set(func() { s.lost = true }, false)
	told.Store(false)
	if v := <-k.versions; v != 2 {
		t.Fatalf("version %d", v)
	}
}

// Guards against waiting for ever for changes that the store has forgotten.
func TestLostHistoryIsReadAnew(t *testing.T) {
	s := newStore()
	k := watch(t, s)
	<-k.versions
	s.set(func() { s.lost, s.version = true, 3 }, true)
	if v := <-k.versions; v != 3 {
		t.Fatalf("version %d", v)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reads < 2 {
		t.Errorf("%d whole reads", s.reads)
	}
}
