// Package loader sends requests to the routers of a fleet as callers do, and
// verifies every response.
package loader

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/sleeper"
)

// ErrSettings marks settings that New rejects.
var ErrSettings = errors.New("load settings are not usable")

// Account is a client account and the load that it sends.
type Account struct {
	ID  string
	Key string
	// Share is the relative share of the capacity to which the account is entitled.
	Share float64
	// Routers are the caller addresses (host:port) of the account's routers. A request
	// starts at a random one of them and tries the others if it cannot be reached.
	// An account with one router is pinned to it.
	Routers []string
	// Fallback holds the addresses of the routers that the platform's load balancer
	// uses if none of Routers can be reached.
	Fallback []string
	Kinds    []Kind
	// Workers is the number of closed-loop callers: each sends its next request when
	// the last one has ended.
	Workers int
	// Rate is the mean number of requests per second that are sent in an open loop,
	// independently of responses.
	Rate float64
	// SurgeRate replaces Rate when SurgeAfter has passed, unless it is 0.
	SurgeRate  float64
	SurgeAfter time.Duration
	// Latency includes the account in Loader.FirstToken. It is not set for accounts
	// that are meant to be backlogged, whose requests wait by design.
	Latency bool
}

// Settings of a Loader.
type Settings struct {
	Accounts []Account
	Seed     uint64
	// Deadline is the time limit of each request; 0 leaves it to the router.
	Deadline time.Duration
	// Attempts is the maximum number of attempts to send a call; 0 selects a default.
	Attempts int
	// MaxOpen is the maximum number of open requests of one open-loop account; 0
	// selects a default.
	MaxOpen int
}

// Result describes one request, with the outcome of its last attempt.
type Result struct {
	ID string
	// Key is the idempotency key; empty if the request has none.
	Key     string
	Account string
	Pool    string
	// Repeatable requests may run again if an earlier run was interrupted.
	Repeatable bool
	Outcome    Outcome
	// Outcomes holds the outcomes of all attempts in order.
	Outcomes []Outcome
	// Wrong is set if a response did not belong to the request.
	Wrong error
	// Status is the HTTP status of the last attempt; 0 without a response.
	Status int
	// Router is the address of the router that the last attempt reached.
	Router string
	// Broken is set if the connection broke and the router did not announce it.
	Broken bool
	// Cause says why the last attempt did not end with a complete response.
	Cause error
	Start time.Time
	End   time.Time
}

// Loader sends the load of a set of accounts.
type Loader struct {
	// FirstToken holds the time to the first token of accounts with Latency set.
	FirstToken Histogram
	// BetweenTokens holds the times between tokens of all streams.
	BetweenTokens Histogram

	// backloggedFirstToken holds the time to the first token of the other accounts.
	backloggedFirstToken Histogram
	settings             Settings
	client               *http.Client

	mu      sync.Mutex
	results []Result
	open    map[string]Result // by id
}

const (
	defaultAttempts = 3
	defaultMaxOpen  = 1000
	// maxRetryDelay limits the delay that Retry-After asks for, so that a closed loop
	// stays backlogged.
	maxRetryDelay = 500 * time.Millisecond
	// idleTimeout is shorter than the lame-duck time of a router (5 s), as is usual for
	// clients of a load balancer: otherwise a request can be sent on an idle connection
	// at the moment at which the router closes it.
	idleTimeout = 2 * time.Second
	// minRetryDelay keeps a caller whose requests are refused from a busy loop.
	minRetryDelay = 20 * time.Millisecond
)

// New returns a Loader. The clean-up function closes its idle connections. Errors:
// ErrSettings.
func New(s Settings) (*Loader, func(), error) {
	for _, a := range s.Accounts {
		if len(a.Routers) == 0 || len(a.Kinds) == 0 || a.Workers < 0 || a.Rate < 0 {
			return nil, nil, errors.Wrapf(ErrSettings, "account %q needs routers and kinds of calls", a.ID)
		}
	}
	if s.Attempts <= 0 {
		s.Attempts = defaultAttempts
	}
	if s.MaxOpen <= 0 {
		s.MaxOpen = defaultMaxOpen
	}
	t := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: idleTimeout, DisableCompression: true}
	l := &Loader{settings: s, client: &http.Client{Transport: t}, open: map[string]Result{}}
	return l, t.CloseIdleConnections, nil
}

// Run sends load until the duration has passed or the context ends, waits for open
// requests, which a cancelled context aborts, and returns all results.
func (l *Loader) Run(ctx context.Context, duration time.Duration) []Result {
	deadline := time.Now().Add(duration)
	sendCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var group sync.WaitGroup
	for i := range l.settings.Accounts {
		a := &l.settings.Accounts[i]
		for w := range a.Workers {
			group.Go(func() { l.closedLoop(ctx, sendCtx, a, w) })
		}
		if a.Rate > 0 || a.SurgeRate > 0 {
			group.Go(func() { l.openLoop(ctx, sendCtx, a) })
		}
	}
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// newRand returns the random numbers of caller n of an account. They do not depend
// on the order in which callers run.
func (l *Loader) newRand(a *Account, n int) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", a.ID, n) // a hash never fails
	return rand.New(rand.NewPCG(l.settings.Seed, h.Sum64()))
}

// closedLoop sends one request after the other until sendCtx ends; ctx is the
// context of the requests.
func (l *Loader) closedLoop(ctx, sendCtx context.Context, a *Account, worker int) {
	r := l.newRand(a, worker)
	for n := 0; sendCtx.Err() == nil; n++ {
		c, err := l.newCall(a, r, fmt.Sprintf("%s-%d-%d", a.ID, worker, n))
		if err != nil {
			return
		}
		result := l.sendUntilDone(ctx, c, r)
		if result.Outcome != OutcomeComplete {
			sleeper.Sleep(sendCtx, minRetryDelay)
		}
	}
}

// openLoop sends requests at random intervals, as a Poisson process, until sendCtx
// ends; ctx is the context of the requests.
func (l *Loader) openLoop(ctx, sendCtx context.Context, a *Account) {
	r := l.newRand(a, -1)
	start := time.Now()
	next := start
	openSlots := make(chan struct{}, l.settings.MaxOpen)
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		rate := a.Rate
		if a.SurgeRate > 0 && time.Since(start) >= a.SurgeAfter {
			rate = a.SurgeRate
		}
		if rate <= 0 {
			if !sleeper.Sleep(sendCtx, 50*time.Millisecond) {
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if !sleeper.Sleep(sendCtx, time.Until(next)) {
			return
		}
		c, err := l.newCall(a, r, fmt.Sprintf("%s-o-%d", a.ID, n))
		if err != nil {
			return
		}
		select {
		case openSlots <- struct{}{}:
		case <-sendCtx.Done():
			return
		}
		callRand := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		group.Go(func() {
			defer func() { <-openSlots }()
			l.sendUntilDone(ctx, c, callRand)
		})
	}
}

// newCall draws a call of an account.
func (l *Loader) newCall(a *Account, r *rand.Rand, id string) (*call, error) {
	k := drawKind(r, a.Kinds)
	c := &call{account: a, kind: k, id: id, deadline: l.settings.Deadline}
	if k.Service {
		c.duration = k.duration(r)
	} else {
		c.tokens = k.tokens(r)
		c.maxTokens = drawMaxTokens(r, c.tokens)
	}
	if k.Keyed {
		c.key = "key-" + id
	}
	return c, c.encode()
}
