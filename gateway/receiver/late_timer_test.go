package receiver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"monsoondeck.example/gateway/resolver"
)

// Load: a host with a fifth of a core and too many requests. Guards against LOST of
// 2026-12-06: timers that fired while the host had no processor time ended streams whose
// target had just sent an event, because the time without processor time counted as silence.
func TestTimeWithoutProcessorIsNotSilence(t *testing.T) {
	for name, c := range map[string]struct {
		// fire handles the timers that fired; two of them would end the attempt.
		fire func(w *stallWatch)
		want bool
	}{
		"timers set anew by an event": {func(w *stallWatch) {
			fired := w.due
			w.recordEvents(1)
			w.timerFired(fired)
			w.timerFired(fired)
		}, false},
		"late timers": {func(w *stallWatch) {
			w.timerFired(w.due.Add(time.Second))
			w.timerFired(w.due.Add(-time.Second)) // the one before is handled last
		}, false},
		"an event after a late timer": {func(w *stallWatch) {
			w.timerFired(w.due)
			w.timerFired(w.due.Add(time.Second))
			w.recordEvents(1)
			w.timerFired(w.due)
		}, false},
		"a host that is always late": {func(w *stallWatch) {
			for range 4 {
				w.timerFired(w.due.Add(time.Second))
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &proxyRequest{
					receiver: New(Options{ShutdownState: notStopping{}, RetryBudget: &budget{retries: 1}, Permits: &freeTarget{permit: &stallCounter{}}}),
					route:    resolver.Route{Kind: resolver.Streaming, Resumable: true, MaxAttempts: 2, MaxEventGap: time.Hour, Timeout: 24 * time.Hour},
					arrived:  time.Now(),
				}
				ctx, cancel := context.WithCancelCause(t.Context())
				w := newStallWatch(ctx, p, &stallCounter{}, time.Hour, cancel)
				defer w.stop()
				c.fire(w)
				synctest.Wait()
				if cancelled := ctx.Err() != nil; cancelled != c.want {
					t.Errorf("attempt cancelled: %v, want %v", cancelled, c.want)
				}
			})
		})
	}
}

// Guards against a request that must not be repeated and is cancelled, because two timers
// that fired while the host had no processor time are handled one after the other.
func TestLateTimersDoNotCancelRequestsThatMustNotBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &proxyRequest{
			receiver: New(Options{ShutdownState: notStopping{}, RetryBudget: &budget{retries: 1}, Permits: &freeTarget{permit: &stallCounter{}}}),
			route:    resolver.Route{Kind: resolver.NonIdempotent, MaxAttempts: 2, Timeout: time.Minute},
			arrived:  time.Now(),
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		w := newStallWatch(ctx, p, &stallCounter{}, time.Minute, cancel)
		defer w.stop()
		w.timerFired(w.due)
		w.timerFired(w.due)
		synctest.Wait()
		if ctx.Err() != nil {
			t.Errorf("the attempt was cancelled: %v", context.Cause(ctx))
		}
	})
}
