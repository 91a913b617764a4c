package watcher_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/watcher"
)

// crashing is a quarantine that changes all the time, at the daemon and in the store.
type crashing struct {
	version, saves, reads atomic.Uint64
}

func (c *crashing) Quarantine(context.Context) (quarantiner.Evidence, registrar.Moment, error) {
	return c.QuarantineAfter(context.Background(), registrar.Moment{}, 0)
}

func (c *crashing) QuarantineAfter(context.Context, registrar.Moment, time.Duration) (quarantiner.Evidence, registrar.Moment, error) {
	e := quarantiner.Evidence{Incidents: []quarantiner.Incident{{Part: 1}}}
	return e, registrar.Moment{Era: 1, Revision: c.reads.Add(1)}, nil
}

func (c *crashing) SaveQuarantine(context.Context, quarantiner.Evidence, []quarantiner.Part) error {
	c.saves.Add(1)
	return nil
}

func (c *crashing) LearnEvidence(quarantiner.Evidence) {}

func (c *crashing) QuarantineState() watcher.QuarantineState {
	return watcher.QuarantineState{Version: c.version.Add(1)}
}

// Load: targets crash all the time, so that the evidence changes between any two calls.
// Guards against calls to the store whose number grows with that of the crashes: a
// deployment made 15,000 calls in a minute in which many targets crashed, and 2,000
// in others. A slow machine makes fewer calls, so that the limit depends on no speed.
func TestCrashesDoNotCauseCallsWithoutBound(t *testing.T) {
	c := &crashing{}
	w := watcher.New(watcher.Options{
		Source: newStore(), Sink: newSink(), QuarantineStore: c, QuarantineSink: c,
		Role:  func() watcher.Role { return watcher.Role{Reader: true} },
		Clock: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	var group sync.WaitGroup
	group.Go(func() { w.WatchQuarantine(ctx) })
	group.Go(func() { w.SaveQuarantine(ctx) })
	for c.saves.Load() < 6 || c.reads.Load() < 6 {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	group.Wait()
	elapsed := time.Since(began).Seconds()
	if saves := c.saves.Load(); float64(saves) > 5+elapsed {
		t.Errorf("%d saves in %.1f s, want at most five and one per second", saves, elapsed)
	}
	if reads := c.reads.Load(); float64(reads) > 5+2*elapsed {
		t.Errorf("%d reads in %.1f s, want at most five and two per second", reads, elapsed)
	}
}
