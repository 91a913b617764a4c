package receiver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"monsoondeck.example/gateway/placer"
)

// agedPermit is a permit whose decision is older than maxPermitAge.
type agedPermit struct{ *stallCounter }

func (agedPermit) Age() time.Duration { return 2 * maxPermitAge }

// Guards against an attempt that is cancelled for a permit that may no longer be used, after
// the process was suspended or while it has no CPU time.
func TestSilentTargetIsNotCancelledForAnAgedPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := &stallCounter{}
		p := &proxyRequest{receiver: New(Options{ShutdownState: notStopping{}, RetryBudget: &budget{retries: 1}, Permits: &freeTarget{permit: agedPermit{other}}}), route: patientRoute, arrived: time.Now()}
		ctx, cancel := context.WithCancelCause(t.Context())
		w := newStallWatch(ctx, p, &stallCounter{}, p.route.Timeout, cancel)
		w.timerFired(w.due)
		w.timerFired(w.due)
		synctest.Wait()
		if ctx.Err() != nil {
			t.Error("the attempt was cancelled")
		}
		w.stop()
		if len(other.ended) != 1 || other.ended[0] != placer.Unsent {
			t.Errorf("the permit ended with %v", other.ended)
		}
	})
}
