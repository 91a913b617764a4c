package receiver

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/resolver"
)

// stallCounter is a Permit that counts the calls of SetStalled and records the results.
type stallCounter struct {
	calls int
	ended []placer.Result
}

func (*stallCounter) Decision() queuer.Decision        { return queuer.Decision{} }
func (*stallCounter) Age() time.Duration               { return 0 }
func (*stallCounter) TargetUsable() bool               { return true }
func (*stallCounter) FirstEvent()                      {}
func (*stallCounter) ObserveLimit(placer.RequestLimit) {}
func (*stallCounter) ObserveClosure(time.Duration)     {}
func (*stallCounter) ObserveLeave()                    {}
func (*stallCounter) Progress(int, time.Duration)      {}
func (s *stallCounter) SetStalled(bool)                { s.calls++ }
func (s *stallCounter) End(r placer.Result)            { s.ended = append(s.ended, r) }

// freeTarget is a PermitSource that always gives the same permit, and counts the demands.
type freeTarget struct {
	permit Permit
	waits  int
}

func (f *freeTarget) Wait(context.Context, Demand) (Permit, error) {
	f.waits++
	return f.permit, nil
}

// notStopping is the ShutdownState of a daemon that does not stop.
type notStopping struct{}

func (notStopping) Stopping() (since, left time.Duration, stopping bool) { return 0, 0, false }
func (notStopping) Ending() context.Context                              { return context.Background() }

// budget is a RetryBudget that allows a fixed number of retries.
type budget struct{ retries int }

func (*budget) RecordRequest(string)   {}
func (b *budget) HasRetry(string) bool { return b.retries > 0 }
func (b *budget) TakeRetry(string) bool {
	b.retries--
	return b.retries >= 0
}

// In an overloaded fleet, engines stall for a second and the retry budget is exhausted.
// Guards against cancelling a stalled attempt when the request may not be sent to another
// target: the caller would get no response at all.
func TestStalledAttemptIsNotCancelledWithoutARetry(t *testing.T) {
	for _, retries := range []int{0, 1} {
		b := &budget{retries: retries}
		synctest.Test(t, func(t *testing.T) {
			other := &freeTarget{permit: &stallCounter{}}
			p := &proxyRequest{
				receiver: New(Options{ShutdownState: notStopping{}, RetryBudget: b, Permits: other}),
				route:    resolver.Route{Kind: resolver.Streaming, Resumable: true, MaxAttempts: 2, MaxEventGap: time.Hour},
			}
			ctx, cancel := context.WithCancelCause(t.Context())
			permit := &stallCounter{}
			w := newStallWatch(ctx, p, permit, time.Hour, cancel)
			defer w.stop()
			w.timerFired(w.due)
			w.timerFired(w.due)
			synctest.Wait()
			cancelled := errors.Is(context.Cause(ctx), errStalled)
			if cancelled != (retries > 0) || permit.calls != 1 {
				t.Errorf("%d retries: cancelled %v, %d calls of SetStalled", retries, cancelled, permit.calls)
			}
			if asked := other.waits > 0; asked != cancelled {
				t.Errorf("%d retries: asked for another target: %v", retries, asked)
			}
			p.attempts = 1
			if mayRetry := p.mayTryAgain(t.Context()); mayRetry != cancelled {
				t.Errorf("%d retries: may try again %v", retries, mayRetry)
			}
		})
	}
}

// Load: three times what the engines begin; a stream with a deadline of 3 s has begun and its
// busy engine is silent for 1.4 s. Guards against cutting it off for the sake of a second
// attempt, for which no other engine has room.
func TestStalledStreamThatHasBegunIsNotCutAtHalfOfItsTime(t *testing.T) {
	const timeLeft = 3 * time.Second
	route := resolver.Route{Kind: resolver.Streaming, Resumable: true, MaxAttempts: 2, Objective: 1500 * time.Millisecond, MaxEventGap: 600 * time.Millisecond}
	p := &proxyRequest{receiver: New(Options{ShutdownState: notStopping{}, RetryBudget: &budget{retries: 1}}), route: route}
	ctx, cancel := context.WithCancelCause(context.Background())
	w := newStallWatch(ctx, p, &stallCounter{}, timeLeft, cancel)
	defer w.stop()
	if silence := w.stallAfter + w.cancelAfter; silence != timeLeft/2 {
		t.Errorf("a stream that has not begun is cancelled after %v, want %v", silence, timeLeft/2)
	}
	w.recordEvents(1)
	if silence := w.stallAfter + w.cancelAfter; silence != 3600*time.Millisecond {
		t.Errorf("a stream that has begun is cancelled after %v, want 3.6s, before its caller gives up after 6s", silence)
	}
}

// Guards against cancelling a stalled stream that no other target can continue.
func TestStalledStreamWithoutIDsIsNotCancelled(t *testing.T) {
	p := &proxyRequest{receiver: New(Options{ShutdownState: notStopping{}, RetryBudget: &budget{retries: 1}}), route: resolver.Route{Kind: resolver.Streaming, Resumable: true, MaxAttempts: 2}}
	ctx, cancel := context.WithCancelCause(context.Background())
	w := newStallWatch(ctx, p, &stallCounter{}, time.Hour, cancel)
	defer w.stop()
	p.unresumable.Store(true)
	w.timerFired(w.due)
	w.timerFired(w.due)
	if ctx.Err() != nil || p.mayTryAgain(context.Background()) {
		t.Errorf("the attempt was cancelled: %v", context.Cause(ctx))
	}
}

// Guards against leaving a busy engine too early, and against leaving a stalled one so
// late that no other target can respond before the caller gives up.
func TestStreamsResumeBeforeTheCallerGivesUp(t *testing.T) {
	for _, c := range []struct {
		objective, gap, timeLeft, want time.Duration
	}{
		{100 * time.Millisecond, 0, 12 * time.Second, 1200 * time.Millisecond},
		{time.Second, 0, 12 * time.Second, 2400 * time.Millisecond},
		{500 * time.Millisecond, 800 * time.Millisecond, 12 * time.Second, 3840 * time.Millisecond},
		{500 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, time.Second},
	} {
		if got := resumeAfter(resolver.Route{Objective: c.objective, MaxEventGap: c.gap}, c.timeLeft); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}
