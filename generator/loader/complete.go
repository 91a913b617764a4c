package loader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/sleeper"
)

// complete sends a call until it has an outcome that a caller would accept, as
// callers behind a load balancer do: a router that cannot be reached is replaced
// by the next one at once, a request that did not run is sent again after a
// pause, and a keyed request with unknown outcome is repeated with its key.
func (l *Loader) complete(ctx context.Context, c *call, r *rand.Rand) Result {
	x := Result{
		ID: c.id, Key: c.key, Account: c.account.ID, Pool: c.kind.Pool, Start: time.Now(),
		Repeatable: c.key == "" && (!c.kind.Service || c.kind.Method == http.MethodGet),
	}
	l.setOpen(x)
	at := r.IntN(len(c.account.Routers))
	for attempt := 1; ; attempt++ {
		e := l.sendAnywhere(ctx, c, at)
		x.Outcome, x.Status, x.Router, x.Broken, x.Cause = e.outcome, e.status, e.router, e.broken, e.err
		x.Outcomes = append(x.Outcomes, e.outcome)
		if errors.Is(e.err, ErrWrong) {
			x.Wrong = e.err
		}
		again := e.outcome == OutcomeUnsent || e.outcome == OutcomeNotRun && retryable(e.status) ||
			e.outcome == OutcomeUnknown && c.key != "" && e.status != http.StatusConflict
		if !again || x.Wrong != nil || attempt >= l.settings.Attempts || !sleeper.Sleep(ctx, min(max(e.retry, minBackOff), maxBackOff)) {
			break
		}
	}
	x.End = time.Now()
	l.setClosed(x)
	return x
}

func retryable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// sendAnywhere sends the call to the first router that can be reached.
func (l *Loader) sendAnywhere(ctx context.Context, c *call, at int) end {
	e := end{outcome: OutcomeUnsent}
	for _, routers := range [][]string{c.account.Routers, c.account.Fallback} {
		for i := range routers {
			if e = c.send(ctx, l, routers[(at+i)%len(routers)]); e.outcome != OutcomeUnsent {
				return e
			}
		}
	}
	return e
}

func (l *Loader) setOpen(x Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[x.ID] = x
}

func (l *Loader) setClosed(x Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, x.ID)
	l.results = append(l.results, x)
}

// Snapshot returns the results so far and the requests that are still open,
// whose End is zero.
func (l *Loader) Snapshot() (done, open []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	done = append(done, l.results...)
	for _, x := range l.open {
		open = append(open, x)
	}
	return done, open
}
