package loader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/sleeper"
)

// sendUntilDone sends a call until it has a final outcome or has used all attempts,
// as callers behind a load balancer do: it replaces a router that cannot be reached
// by the next one at once, sends a request that did not run again after a delay,
// and repeats a request with an idempotency key whose outcome is unknown.
func (l *Loader) sendUntilDone(ctx context.Context, c *call, r *rand.Rand) Result {
	x := Result{
		ID: c.id, Key: c.key, Account: c.account.ID, Pool: c.kind.Pool, Start: time.Now(),
		Repeatable: c.key == "" && (!c.kind.Service || c.kind.Method == http.MethodGet),
	}
	l.recordStart(x)
	at := r.IntN(len(c.account.Routers))
	for attempt := 1; ; attempt++ {
		e := l.sendToReachable(ctx, c, at)
		x.Outcome, x.Status, x.Router, x.Broken, x.Cause = e.outcome, e.status, e.router, e.broken, e.err
		x.Outcomes = append(x.Outcomes, e.outcome)
		if errors.Is(e.err, ErrWrong) {
			x.Wrong = e.err
		}
		retry := e.outcome == OutcomeUnsent || e.outcome == OutcomeNotRun && retryable(e.status) ||
			e.outcome == OutcomeUnknown && c.key != "" && e.status != http.StatusConflict
		if !retry || x.Wrong != nil || attempt >= l.settings.Attempts || !sleeper.Sleep(ctx, min(max(e.retryAfter, minRetryDelay), maxRetryDelay)) {
			break
		}
	}
	x.End = time.Now()
	l.recordEnd(x)
	return x
}

// retryable reports whether a request that got this status can succeed later.
func retryable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// sendToReachable sends the call to the first router that can be reached, beginning
// at index at of the account's routers.
func (l *Loader) sendToReachable(ctx context.Context, c *call, at int) attemptResult {
	e := attemptResult{outcome: OutcomeUnsent}
	for _, routers := range [][]string{c.account.Routers, c.account.Fallback} {
		for i := range routers {
			if e = c.send(ctx, l, routers[(at+i)%len(routers)]); e.outcome != OutcomeUnsent {
				return e
			}
		}
	}
	return e
}

func (l *Loader) recordStart(x Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[x.ID] = x
}

func (l *Loader) recordEnd(x Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, x.ID)
	l.results = append(l.results, x)
}

// Snapshot returns the results so far and the open requests, whose End is zero.
func (l *Loader) Snapshot() (done, open []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	done = append(done, l.results...)
	for _, x := range l.open {
		open = append(open, x)
	}
	return done, open
}
