// Package loader sends requests as the callers of a fleet do and verifies every
// answer.
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

// ErrSettings is returned by New for settings that cannot work.
var ErrSettings = errors.New("load settings are not usable")

// Account is a client account and its load.
type Account struct {
	ID    string
	Key   string
	Share float64
	// Routers are the caller addresses (host:port) that the account's requests
	// go to in turn. An account with one router is pinned to it.
	Routers []string
	// Fallback are the routers that the platform's load balancer uses when none
	// of Routers can be reached.
	Fallback []string
	Kinds    []Kind
	// Workers is the number of callers in a closed loop: each sends its next
	// request when the last one has ended.
	Workers int
	// Rate is the number of requests per second of an open loop.
	Rate float64
	// SurgeRate replaces Rate from SurgeAfter on.
	SurgeRate  float64
	SurgeAfter time.Duration
	// Latency selects the account for the first-token measure. Accounts that are
	// meant to be backlogged have queueing time by design.
	Latency bool
}

// Settings of a Loader.
type Settings struct {
	Accounts []Account
	Seed     uint64
	// Deadline of each request; 0 leaves it to the router.
	Deadline time.Duration
	// Attempts bounds how often a call is sent when it did not run.
	Attempts int
	// MaxOpen bounds the open requests of one open-loop account.
	MaxOpen int
}

// Result is the end of one request.
type Result struct {
	ID      string
	Key     string
	Account string
	Pool    string
	// Repeatable requests may run more than once when an earlier run was cut.
	Repeatable bool
	Outcome    Outcome
	// Outcomes of every attempt, the last one included.
	Outcomes []Outcome
	Wrong    error
	Status   int
	// Router is the address of the router that the last attempt reached.
	Router string
	// Broken is set when the connection broke without a statement of the router.
	Broken bool
	// Cause says why the last attempt did not end with a whole answer.
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

	queuedFirstToken Histogram
	settings         Settings
	client           *http.Client

	mu      sync.Mutex
	results []Result
	open    map[string]Result // by id
}

const (
	defaultAttempts = 3
	defaultMaxOpen  = 1000
	// maxBackOff bounds the wait that Retry-After asks for, so that a closed loop
	// stays backlogged.
	maxBackOff = 500 * time.Millisecond
	// idleTimeout is below the lame-duck time of a router (5 s), as is usual for
	// clients of a load balancer: otherwise a request can be sent on an idle
	// connection at the moment at which the router closes it.
	idleTimeout = 2 * time.Second
	// minBackOff keeps a refused caller from spinning.
	minBackOff = 20 * time.Millisecond
)

// New returns a Loader. The clean-up function closes its idle connections.
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

// Run sends load until the duration has passed or the context ends, then waits
// for open requests; a cancelled context cuts them.
func (l *Loader) Run(ctx context.Context, duration time.Duration) []Result {
	end := time.Now().Add(duration)
	sending, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var group sync.WaitGroup
	for i := range l.settings.Accounts {
		a := &l.settings.Accounts[i]
		for w := range a.Workers {
			group.Go(func() { l.closedLoop(ctx, sending, a, w) })
		}
		if a.Rate > 0 || a.SurgeRate > 0 {
			group.Go(func() { l.openLoop(ctx, sending, a) })
		}
	}
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// source returns the random numbers of one caller. They do not depend on the
// order in which callers run.
func (l *Loader) source(a *Account, n int) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", a.ID, n) // a hash never fails
	return rand.New(rand.NewPCG(l.settings.Seed, h.Sum64()))
}

func (l *Loader) closedLoop(ctx, sending context.Context, a *Account, worker int) {
	r := l.source(a, worker)
	for n := 0; sending.Err() == nil; n++ {
		c, err := l.newCall(a, r, fmt.Sprintf("%s-%d-%d", a.ID, worker, n))
		if err != nil {
			return
		}
		result := l.complete(ctx, c, r)
		if result.Outcome != OutcomeComplete {
			sleeper.Sleep(sending, minBackOff)
		}
	}
}

func (l *Loader) openLoop(ctx, sending context.Context, a *Account) {
	r := l.source(a, -1)
	start := time.Now()
	next := start
	slots := make(chan struct{}, l.settings.MaxOpen)
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		rate := a.Rate
		if a.SurgeRate > 0 && time.Since(start) >= a.SurgeAfter {
			rate = a.SurgeRate
		}
		if rate <= 0 {
			if !sleeper.Sleep(sending, 50*time.Millisecond) {
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if !sleeper.Sleep(sending, time.Until(next)) {
			return
		}
		c, err := l.newCall(a, r, fmt.Sprintf("%s-o-%d", a.ID, n))
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-sending.Done():
			return
		}
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		group.Go(func() {
			defer func() { <-slots }()
			l.complete(ctx, c, own)
		})
	}
}

func (l *Loader) newCall(a *Account, r *rand.Rand, id string) (*call, error) {
	k := choose(r, a.Kinds)
	c := &call{account: a, kind: k, id: id, deadline: l.settings.Deadline}
	if k.Service {
		c.duration = k.duration(r)
	} else {
		c.tokens = k.tokens(r)
		c.maxTokens = hint(r, c.tokens)
	}
	if k.Keyed {
		c.key = "key-" + id
	}
	return c, c.encode()
}
