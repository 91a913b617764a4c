package receiver

import (
	"context"
	"errors"
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/resolver"
)

// stalls is a permit that counts what it is told.
type stalls struct{ told int }

func (*stalls) Decision() queuer.Decision   { return queuer.Decision{} }
func (*stalls) Age() time.Duration          { return 0 }
func (*stalls) FirstEvent()                 {}
func (*stalls) Progress(int, time.Duration) {}
func (s *stalls) Stall(bool)                { s.told++ }
func (*stalls) End(placer.Result)           {}

// budget allows retries while there are some.
type budget struct{ retries int }

func (*budget) Request(string) {}
func (b *budget) Retry(string) bool {
	b.retries--
	return b.retries >= 0
}

// Load: a flooded fleet, whose engines are silent for a second and whose budget of
// retries is used up. Guards against ending a stream for the silence of its target
// when no other target may be asked: its caller would get neither.
func TestSilentTargetIsKeptWithoutABudget(t *testing.T) {
	for _, retries := range []int{0, 1} {
		b := &budget{retries: retries}
		j := &job{
			receiver: New(Options{Retries: b}),
			route:    resolver.Route{Kind: resolver.Streaming, Resumable: true, MaxAttempts: 2, EventGap: time.Hour},
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		p := &stalls{}
		w := newWatch(j, p, time.Hour, cancel)
		defer w.stop()
		w.fire()
		w.fire()
		ended := errors.Is(context.Cause(ctx), errImpatient)
		if ended != (retries > 0) || p.told != 1 {
			t.Errorf("%d retries: ended %v, told %d times", retries, ended, p.told)
		}
		j.attempts = 1
		if again := j.mayTryAgain(context.Background()); again != ended {
			t.Errorf("%d retries: may try again %v", retries, again)
		}
	}
}

// Guards against leaving a busy engine before its caller would, and against leaving
// a silent one so late that no other one can answer.
func TestStreamsGoOnElsewhereBeforeTheirCallersLeave(t *testing.T) {
	for _, c := range []struct {
		objective, gap, left, want time.Duration
	}{
		{100 * time.Millisecond, 0, 12 * time.Second, 1200 * time.Millisecond},
		{time.Second, 0, 12 * time.Second, 2400 * time.Millisecond},
		{500 * time.Millisecond, 800 * time.Millisecond, 12 * time.Second, 3840 * time.Millisecond},
		{500 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, time.Second},
	} {
		if got := resumeAfter(resolver.Route{Objective: c.objective, EventGap: c.gap}, c.left); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
