package receiver_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
)

// protocol is a small wire for tests.
type protocol struct{}

func (protocol) Decode(r *http.Request) receiver.Call {
	return receiver.Call{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), After: r.Header.Get("After"), Patience: time.Minute}
}

func (protocol) Encode(h http.Header, a receiver.Attempt) http.Header {
	to := h.Clone()
	to.Set("Target", a.Target)
	to.Set("After", a.After)
	return to
}

func (protocol) Inspect(_ string, _ int, h http.Header) receiver.Verdict {
	return receiver.Verdict{NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signed") != ""}
}

func (protocol) Copy(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func (protocol) RetryAfter(d time.Duration) string { return fmt.Sprint(d.Seconds()) }

// waiter gives the targets t0, t1, … in turn.
type waiter struct {
	mutex   sync.Mutex
	waits   int
	refuse  queuer.Reason
	results []placer.Result
	// stale is the number of permits that are too old when they arrive.
	stale int
	ended chan struct{}
	// demands are those seen.
	demands []receiver.Demand
}

func (w *waiter) Wait(_ context.Context, d receiver.Demand) (receiver.Permit, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.demands = append(w.demands, d)
	p := &permit{waiter: w}
	if w.stale > 0 {
		w.stale--
		p.age = time.Second
	}
	if w.refuse != "" {
		p.decision = queuer.Decision{Reason: w.refuse, RetryAfter: 250 * time.Millisecond}
		return p, receiver.ErrRefused
	}
	p.decision.Choice.Target = registrar.Entry{ID: fmt.Sprint("t", w.waits), Address: "127.0.0.1:1"}
	p.decision.Choice.Expected = time.Minute // no attempt is ended for being slow
	w.waits++
	return p, nil
}

type permit struct {
	waiter   *waiter
	decision queuer.Decision
	age      time.Duration
}

func (p *permit) Decision() queuer.Decision   { return p.decision }
func (p *permit) Age() time.Duration          { return p.age }
func (p *permit) FirstEvent()                 {}
func (p *permit) Progress(int, time.Duration) {}
func (p *permit) Stall(bool)                  {}
func (p *permit) End(r placer.Result) {
	p.waiter.mutex.Lock()
	defer p.waiter.mutex.Unlock()
	p.waiter.results = append(p.waiter.results, r)
	select {
	case p.waiter.ended <- struct{}{}:
	default:
	}
}

// reply is what a target does with one attempt.
type reply struct {
	err    error
	status int
	header string
	body   string
	// broken ends the body with an error.
	broken bool
	// held keeps the answer until the caller leaves.
	held bool
}

// carrier plays the replies in turn and keeps the calls.
type carrier struct {
	mutex   sync.Mutex
	replies []reply
	calls   []courier.Call
	started chan struct{}
	// cancelled is closed when a held attempt was given up.
	cancelled chan struct{}
	// release ends held attempts that nobody gave up.
	release chan struct{}
}

func (c *carrier) Do(ctx context.Context, _ courier.Target, k courier.Call) (*courier.Answer, error) {
	c.mutex.Lock()
	c.calls = append(c.calls, k)
	r := c.replies[0]
	c.replies = c.replies[1:]
	c.mutex.Unlock()
	if r.held {
		close(c.started)
		select {
		case <-c.release:
			return nil, errReset
		case <-ctx.Done():
			close(c.cancelled)
			return nil, context.Cause(ctx)
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	h := http.Header{}
	for field := range strings.SplitSeq(r.header, ";") {
		if name, value, ok := strings.Cut(field, "="); ok {
			h.Set(name, value)
		}
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.broken {
		body = io.MultiReader(body, failing{})
	}
	return &courier.Answer{Status: r.status, Header: h, Length: -1, Body: io.NopCloser(body)}, nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, courier.ErrBroken }

type configs struct{ config *resolver.Config }

func (c configs) Current() (resolver.Config, bool) {
	if c.config == nil {
		return resolver.Config{}, false
	}
	return *c.config, true
}

type retries struct{ allow bool }

func (retries) Request(string)      {}
func (r retries) Retry(string) bool { return r.allow }

type room struct{ full, moving bool }

func (r room) Take(int64) bool { return !r.full }
func (r room) Moving() bool    { return r.moving }

type gate struct {
	since, left time.Duration
	stopping    bool
}

func (g gate) Stopping() (time.Duration, time.Duration, bool) { return g.since, g.left, g.stopping }

// scene is a receiver with its surroundings.
type scene struct {
	waiter  *waiter
	carrier *carrier
	server  *httptest.Server
	options receiver.Options
}

func newScene(t *testing.T, replies []reply, change func(*receiver.Options)) *scene {
	t.Helper()
	route := func(name string, kind resolver.Kind, attempts int, resumable bool) resolver.Route {
		return resolver.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Destinations: []resolver.Destination{{Service: "s", Weight: 1}}, Timeout: time.Minute, Objective: time.Minute,
		}
	}
	config := resolver.New(resolver.Content{
		Version: 1,
		Routes: []resolver.Route{
			route("safe", resolver.Idempotent, 2, false), route("once", resolver.NonIdempotent, 2, false),
			route("stream", resolver.Streaming, 2, false), route("resume", resolver.Streaming, 2, true),
		},
		Services: []resolver.Service{{Name: "s"}},
		Accounts: []resolver.Account{{Name: "forge", Keys: []string{"k"}}},
		Limits:   resolver.Limits{BodyBytes: 1000},
	})
	s := &scene{
		waiter:  &waiter{ended: make(chan struct{}, 16)},
		carrier: &carrier{replies: replies, started: make(chan struct{}), cancelled: make(chan struct{}), release: make(chan struct{})},
	}
	s.options = receiver.Options{
		Protocol: protocol{}, Waiter: s.waiter, Configs: configs{&config}, Carrier: s.carrier, Retries: retries{true}, Gate: gate{}, Room: room{}, Left: func(*http.Request) bool { return false },
		Bodies: limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 1 << 20}), Logger: slog.New(slog.DiscardHandler),
		Observe: func(receiver.Observation) {},
	}
	if change != nil {
		change(&s.options)
	}
	s.server = httptest.NewServer(receiver.New(s.options))
	t.Cleanup(s.server.Close)
	t.Cleanup(func() { close(s.carrier.release) })
	return s
}

// result is what a caller saw.
type result struct {
	status int
	header http.Header
	body   string
	// err is set if the answer was not whole.
	err error
	// closed is set if the connection ends after the answer.
	closed bool
}

func (s *scene) request(ctx context.Context, t *testing.T, path, key, body string) result {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", key)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	response, err := client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(bufio.NewReader(response.Body))
	return result{closed: response.Close, status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (s *scene) get(t *testing.T, path string) result {
	t.Helper()
	return s.request(context.Background(), t, path, "k", "body")
}

func (s *scene) wantResults(t *testing.T, want ...placer.Result) {
	t.Helper()
	s.waiter.mutex.Lock()
	defer s.waiter.mutex.Unlock()
	if fmt.Sprint(s.waiter.results) != fmt.Sprint(want) {
		t.Errorf("results of the attempts %v, want %v", s.waiter.results, want)
	}
}

var errReset = errors.Join(courier.ErrBroken, errors.New("reset"))
