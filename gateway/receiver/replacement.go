package receiver

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/sleeper"
)

// lateFraction is the part of the time left within which a response should begin once its
// objective has passed.
const lateFraction = 0.5

// nextAttempt describes the attempt for which a request needs a target.
type nextAttempt struct {
	// firstWait is set for the first attempt, repetition if the request was sent before.
	firstWait, repetition bool
	// mayHaveRun is set if a target may have run the request, which can then no longer be
	// refused.
	mayHaveRun bool
	// excluded holds the IDs of the targets that must not get the request.
	excluded []string
	// silentSince is the time since which the caller has waited for an event.
	silentSince time.Time
	// noWait is set while another attempt goes on.
	noWait bool
}

// withSilentSince returns the attempt with the time since which the caller has waited.
func (n nextAttempt) withSilentSince(t time.Time) nextAttempt {
	n.silentSince = t
	return n
}

// nextAttempt returns the attempt that follows the attempts that have ended.
func (p *proxyRequest) nextAttempt() nextAttempt {
	return nextAttempt{firstWait: p.waits == 0, repetition: p.attempts > 0, mayHaveRun: p.mayHaveRun, excluded: p.excluded, silentSince: p.silentSince()}
}

// silentSince returns the time of the last event that reached the caller, or the arrival of
// the request if there was none.
func (p *proxyRequest) silentSince() time.Time {
	if p.stream != nil && !p.stream.lastForwarded.IsZero() {
		return p.stream.lastForwarded
	}
	return p.arrived
}

// objectiveLeft returns the time within which the next attempt should begin to respond. A
// request that can no longer be refused has more than its objective: as long as its caller
// is likely to wait, and then, as the caller is still there, as long as a new request.
func (p *proxyRequest) objectiveLeft(next nextAttempt, timeLeft time.Duration) time.Duration {
	objective := p.objective()
	left := objective - time.Since(p.arrived)
	if next.mayHaveRun {
		left = max(left, p.patienceLeft(next.silentSince, timeLeft), min(objective, lateLimit(timeLeft)))
	}
	return max(left, 0)
}

// patienceLeft returns how much longer the caller is likely to wait for data.
func (p *proxyRequest) patienceLeft(silentSince time.Time, timeLeft time.Duration) time.Duration {
	if p.route.Kind == resolver.Streaming {
		return min(callerPatience(p.route)-time.Since(silentSince), timeLeft)
	}
	return lateLimit(timeLeft)
}

// lateLimit returns the time within which a late response should begin.
func lateLimit(timeLeft time.Duration) time.Duration {
	return time.Duration(lateFraction * float64(timeLeft))
}

// waitForRoom waits until a request that can no longer be refused may ask for a target
// again. It gives up if too little of the time of the request is left, if the request must
// not be repeated, and if no target can continue its stream.
func (p *proxyRequest) waitForRoom(ctx context.Context, d queuer.Decision) attemptOutcome {
	if d.Reason == queuer.ReasonQuarantined || d.Reason == queuer.ReasonSuspected || d.Reason == queuer.ReasonVersion || lateLimit(p.timeLeft(ctx)) <= roomCheckInterval {
		return outcomeFailed
	}
	pause := roomCheckInterval
	if d.RetryAfter > 0 {
		pause = min(d.RetryAfter, pause)
	}
	if !sleeper.Sleep(ctx, pause) {
		return outcomeFailed
	}
	p.keepRetry()
	p.waits-- // the bound is for unreachable targets
	return outcomeRetry
}

// search seeks another target for a request while an attempt goes on.
type search struct {
	permits PermitSource
	// demand returns the demand of the request, given the time since which its caller has
	// waited for an event. It uses nothing that changes during the attempt but the version
	// of the stream.
	demand func(ctx context.Context, silentSince time.Time) Demand
	// hasRetry reports whether there is a retry in the budget.
	hasRetry func() bool
}

// newSearch returns the search for a target other than the one of the permit.
func (p *proxyRequest) newSearch(permit Permit) *search {
	next := nextAttempt{repetition: true, mayHaveRun: true, noWait: true, excluded: append(slices.Clone(p.excluded), permit.Decision().Choice.Target.ID)}
	return &search{
		permits: p.receiver.Permits, hasRetry: func() bool { return p.receiver.RetryBudget.HasRetry(p.service) },
		demand: func(ctx context.Context, silentSince time.Time) Demand {
			return p.demand(ctx, next.withSilentSince(silentSince))
		},
	}
}

// run asks for a permit until one is given and adopted, or the context ends.
func (s *search) run(ctx context.Context, silentSince time.Time, adopt func(context.Context, Permit) bool) {
	for goesOn := true; goesOn; {
		goesOn = s.ask(ctx, silentSince, adopt) && sleeper.Sleep(ctx, roomCheckInterval)
	}
}

// ask asks for a permit once. It reports whether the search goes on.
func (s *search) ask(ctx context.Context, silentSince time.Time, adopt func(context.Context, Permit) bool) bool {
	if !s.hasRetry() {
		return true
	}
	permit, err := s.permits.Wait(ctx, s.demand(ctx, silentSince))
	if err != nil {
		return errors.Is(err, ErrRefused)
	}
	if adopt(ctx, permit) {
		return false
	}
	permit.End(placer.Unsent)
	return true
}
