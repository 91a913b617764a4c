package receiver

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/resolver"
)

// patientRoute is a route whose callers are assumed to wait for 4.8 s and have 12 s.
var patientRoute = resolver.Route{Kind: resolver.Streaming, Resumable: true, MaxAttempts: 2, Objective: time.Second, MaxEventGap: 600 * time.Millisecond, Timeout: 12 * time.Second}

// refusals is a PermitSource that refuses every demand and records it.
type refusals struct {
	mutex   sync.Mutex
	demands []Demand
}

func (r *refusals) Wait(_ context.Context, d Demand) (Permit, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.demands = append(r.demands, d)
	return &stallCounter{}, ErrRefused
}

// Guards against a search that can find nothing: once the time for which callers are assumed
// to wait had passed, it left no target any time, although the caller was there and had 7 s.
func TestSearchLeavesTimeAsLongAsTheRequestHasSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		permits := &refusals{}
		p := &proxyRequest{receiver: New(Options{ShutdownState: notStopping{}, RetryBudget: &budget{retries: 1}, Permits: permits}), route: patientRoute, arrived: time.Now()}
		deadline, cancelDeadline := context.WithTimeout(t.Context(), p.route.Timeout)
		defer cancelDeadline()
		ctx, cancel := context.WithCancelCause(deadline)
		w := newStallWatch(ctx, p, &stallCounter{}, p.route.Timeout, cancel)
		time.Sleep(p.route.Timeout / 2)
		w.stop()
		permits.mutex.Lock()
		defer permits.mutex.Unlock()
		if len(permits.demands) == 0 {
			t.Fatal("no other target was sought")
		}
		if last := permits.demands[len(permits.demands)-1]; last.Objective <= 0 {
			t.Errorf("%v are left for the next event after a silence of %v, %v of the request's time are left", last.Objective, p.route.Timeout/2, last.TimeLeft)
		}
	})
}

// Guards against LOST: a stream ended because of the time for which callers are assumed to
// wait, although its caller was there and the time of the request was not used up.
func TestRequestWaitsForRoomUntilItsTimeIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &proxyRequest{receiver: New(Options{ShutdownState: notStopping{}}), route: patientRoute, arrived: time.Now(), mayHaveRun: true, attempts: 1, waits: 2}
		p.stream = &streamState{started: true, lastForwarded: p.arrived}
		ctx, cancel := context.WithTimeout(t.Context(), p.route.Timeout)
		defer cancel()
		time.Sleep(callerPatience(p.route))
		if outcome := p.waitForRoom(ctx, queuer.Decision{Reason: queuer.ReasonOverload}); outcome != outcomeRetry {
			t.Errorf("outcome %v with %v left", outcome, p.timeLeft(ctx))
		}
	})
}
