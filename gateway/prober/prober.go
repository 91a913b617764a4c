// Package prober finds out whether a target still runs when a response of it has ended
// with its connection. The kernel closes the connections of a killed process in the same
// way as a target closes one after a complete response.
package prober

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/courier"
)

const (
	// defaultTimeout bounds a check, so that a target that does not answer its health check
	// delays the end of a response only for a moment.
	defaultTimeout = 100 * time.Millisecond
	// minInterval is the shortest time between the starts of two checks of one target. It
	// bounds the checks of a target that ends very many responses with the connection.
	minInterval = 5 * time.Millisecond
	// minSettleTime separates the first two connection attempts of a check, so that a target
	// that is ending can close its listener meanwhile; it doubles with each attempt.
	minSettleTime = 5 * time.Millisecond
	// maxHealthBytes bounds how much of the body of a health check response is read in
	// order to keep the connection.
	maxHealthBytes = 4 << 10
)

// Client connects to targets and sends requests to them. Its errors are those of
// courier.Client.
type Client interface {
	// Probe opens a connection to the target and keeps it for the next request.
	Probe(ctx context.Context, t courier.Target) error
	// Do sends a request.
	Do(ctx context.Context, t courier.Target, r courier.Request) (*courier.Response, error)
}

// Protocol names the instance of a target in health checks.
type Protocol interface {
	// HealthCheckHeader returns the header of a health check of the target with the ID.
	HealthCheckHeader(targetID string) http.Header
	// InspectHealth says whether the response to a health check comes from the target with
	// the ID; it is Doubtful if the response names no target.
	InspectHealth(targetID string, status int, h http.Header) courier.Match
}

// Options are the dependencies of a Prober.
type Options struct {
	Client   Client
	Protocol Protocol
	// Timeout bounds a check; 0 stands for defaultTimeout.
	Timeout time.Duration
}

// Stats holds the counters of a Prober: the checks, those that found the target gone, and
// those that could not tell.
type Stats struct {
	Checks, Gone, Unknown atomic.Int64
}

// Prober checks targets. It is safe for concurrent use.
type Prober struct {
	options Options
	Stats   Stats

	mutex sync.Mutex
	// next holds, for each target with a check under way or one within minInterval, the
	// check that starts after it; nil if nothing waits for it.
	next map[courier.Target]*check
}

// check is one check, which all responses share that ended before it started.
type check struct {
	healthPath string
	// done is closed when gone is valid.
	done chan struct{}
	gone bool
}

// New returns a Prober.
func New(o Options) *Prober {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	return &Prober{options: o, next: map[courier.Target]*check{}}
}

// Gone reports whether the target has ended: its host refuses a connection, or another
// target answers at its address. It returns false if the check cannot tell or the context
// ends. healthPath is the path of the health check; empty if the target has none.
func (p *Prober) Gone(ctx context.Context, t courier.Target, healthPath string) bool {
	c := p.join(t, healthPath)
	select {
	case <-c.done:
		return c.gone
	case <-ctx.Done():
		return false
	}
}

// join returns the next check of the target, which has not started yet.
func (p *Prober) join(t courier.Target, healthPath string) *check {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c, running := p.next[t]
	if c == nil {
		c = &check{healthPath: healthPath, done: make(chan struct{})}
		p.next[t] = c
	}
	if !running {
		go p.run(t)
	}
	return c
}

// run runs the checks of a target until none is waiting.
func (p *Prober) run(t courier.Target) {
	for {
		p.mutex.Lock()
		c := p.next[t]
		if c == nil {
			delete(p.next, t)
			p.mutex.Unlock()
			return
		}
		p.next[t] = nil
		p.mutex.Unlock()
		started := time.Now()
		c.gone = p.probe(t, c.healthPath)
		close(c.done)
		time.Sleep(minInterval - time.Since(started))
	}
}

// probe checks the target once and counts the result.
func (p *Prober) probe(t courier.Target, healthPath string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.Timeout)
	defer cancel()
	p.Stats.Checks.Add(1)
	for settle := minSettleTime; ctx.Err() == nil; settle *= 2 {
		match, err := p.try(ctx, t, healthPath)
		switch {
		case errors.Is(err, courier.ErrRefused), err == nil && match == courier.Foreign:
			p.Stats.Gone.Add(1)
			return true
		case err == nil && match == courier.Own:
			return false
		case err == nil && (healthPath != "" || settle > minSettleTime), errors.Is(err, courier.ErrInvalid):
			p.Stats.Unknown.Add(1)
			return false
		}
		// The connection broke without an answer, as those in the queue of a listener do
		// when it is closed, or there is no health check to send.
		select {
		case <-time.After(settle):
		case <-ctx.Done():
		}
	}
	p.Stats.Unknown.Add(1)
	return false
}

// try sends a health check to the target, or opens a connection if there is none. It
// returns whether the response comes from the target.
func (p *Prober) try(ctx context.Context, t courier.Target, healthPath string) (courier.Match, error) {
	if healthPath == "" {
		return courier.Doubtful, p.options.Client.Probe(ctx, t)
	}
	return p.checkHealth(ctx, t, healthPath)
}

// checkHealth sends a health check and returns whether the response comes from the target.
func (p *Prober) checkHealth(ctx context.Context, t courier.Target, path string) (courier.Match, error) {
	response, err := p.options.Client.Do(ctx, t, courier.Request{
		Method: http.MethodGet, URI: path, Host: t.Address, Header: p.options.Protocol.HealthCheckHeader(t.ID),
		// Responses of health checks name no request.
		Match: func(int, http.Header) courier.Match { return courier.Own },
	})
	if err != nil {
		return courier.Doubtful, err
	}
	// The body is not needed, but reading it makes the connection reusable.
	_, _ = io.CopyN(io.Discard, response.Body, maxHealthBytes)
	_ = response.Body.Close() // never returns an error
	return p.options.Protocol.InspectHealth(t.ID, response.Status, response.Header), nil
}
