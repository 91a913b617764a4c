package receiver_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
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
	"monsoondeck.example/gateway/tallier"
	"monsoondeck.example/gateway/versioner"
	"monsoondeck.example/limiter"
)

// protocol is a minimal receiver.Protocol with the header fields Id, Key, After,
// Target, Not-Run, Signed and Limit.
type protocol struct{}

func (protocol) ParseRequest(r *http.Request) receiver.RequestInfo {
	return receiver.RequestInfo{ID: r.Header.Get("Id"), APIKey: r.Header.Get("Key"), LastEventID: r.Header.Get("After"), Resumes: r.Header.Get("Resumes"), Timeout: time.Minute}
}

func (protocol) TargetHeader(h http.Header, a receiver.ForwardInfo) http.Header {
	to := h.Clone()
	to.Set("Target", a.TargetID)
	to.Set("After", a.LastEventID)
	to.Set("Left", strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
	return to
}

func (protocol) InspectResponse(_ string, _ int, h http.Header) receiver.ResponseInfo {
	perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64)
	return receiver.ResponseInfo{Leaving: h.Get("Leaving") != "", Misdirected: h.Get("Misdirected") != "", NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signed") != "", Limit: placer.RequestLimit{Limited: err == nil, PerSecond: perSecond}}
}

func (protocol) HealthCheckHeader(string) http.Header { return nil }

func (protocol) InspectHealth(string, int, http.Header) courier.Match { return courier.Own }

func (protocol) CopyResponseHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func (protocol) FormatRetryAfter(d time.Duration) string { return fmt.Sprint(d.Seconds()) }

// permitSource is a receiver.PermitSource that chooses the targets t0, t1, … in turn.
type permitSource struct {
	mutex sync.Mutex
	// waits counts the calls of Wait that gave a permit; refused ones are not counted.
	waits int
	// refuse, unless empty, is the reason for which every request is refused.
	refuse queuer.Reason
	// fullFor is the number of next demands for a repetition that are refused because no
	// target has room; -1 refuses all of them. Each sends a value to refused.
	fullFor int
	refused chan struct{}
	// results holds the results of the ended permits, in the order in which they ended.
	results []placer.Result
	// limits are the request limits that were observed.
	limits []placer.RequestLimit
	// stale is the number of next permits that are too old to be used.
	stale int
	// left is the number of next permits whose target leaves before the request is sent.
	left int
	// ended receives a value when a permit ends.
	ended chan struct{}
	// closures are the times for which targets wanted no requests.
	closures []time.Duration
	// leaves counts the responses in which a target announced that it leaves.
	leaves int
	// expected is the expected time to the first event; 0 stands for a time so long that no
	// target counts as stalled before its first event.
	expected time.Duration
	// onWait, unless nil, is called in each call of Wait with its number from 1.
	onWait func(n int)
	// demands are those of all calls of Wait.
	demands []receiver.Demand
	// versions are the software versions of the targets; those beyond have none.
	versions []string
}

// streamOrigins is a receiver.StreamOrigins.
type streamOrigins struct {
	mutex sync.Mutex
	// origins are those of the streams that are found; nil finds all at an unnamed version.
	origins map[versioner.Stream]receiver.StreamOrigin
	// began holds the streams that were recorded.
	began map[versioner.Stream]versioner.Origin
}

func (o *streamOrigins) FindStream(_ context.Context, _ string, s versioner.Stream) receiver.StreamOrigin {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.origins == nil {
		return receiver.StreamOrigin{Known: true}
	}
	return o.origins[s]
}

func (o *streamOrigins) BeganStream(s versioner.Stream, origin versioner.Origin, _ time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.began[s] = origin
}

func (w *permitSource) Wait(_ context.Context, d receiver.Demand) (receiver.Permit, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.demands = append(w.demands, d)
	if w.onWait != nil {
		w.onWait(len(w.demands))
	}
	p := &permit{permitSource: w}
	if w.stale > 0 {
		w.stale--
		p.age = time.Second
	}
	if w.left > 0 {
		w.left--
		p.left = true
	}
	if d.Request.Retry && w.fullFor != 0 {
		w.fullFor--
		p.decision = queuer.Decision{Reason: queuer.ReasonOverload, RetryAfter: 10 * time.Millisecond}
		select {
		case w.refused <- struct{}{}:
		default:
		}
		return p, receiver.ErrRefused
	}
	if w.refuse != "" {
		p.decision = queuer.Decision{Reason: w.refuse, RetryAfter: 250 * time.Millisecond}
		return p, receiver.ErrRefused
	}
	p.decision.Choice.Target = registrar.Entry{ID: fmt.Sprint("t", w.waits), Address: "127.0.0.1:1"}
	if w.waits < len(w.versions) {
		p.decision.Choice.Target.Version = w.versions[w.waits]
	}
	p.decision.Choice.Expected = cmp.Or(w.expected, time.Minute)
	w.waits++
	return p, nil
}

type permit struct {
	permitSource *permitSource
	decision     queuer.Decision
	age          time.Duration
	left         bool
}

func (p *permit) Decision() queuer.Decision { return p.decision }
func (p *permit) Age() time.Duration        { return p.age }
func (p *permit) TargetUsable() bool        { return !p.left }
func (p *permit) FirstEvent()               {}
func (p *permit) ObserveLimit(l placer.RequestLimit) {
	p.permitSource.mutex.Lock()
	defer p.permitSource.mutex.Unlock()
	p.permitSource.limits = append(p.permitSource.limits, l)
}
func (p *permit) ObserveClosure(closedFor time.Duration) {
	p.permitSource.mutex.Lock()
	defer p.permitSource.mutex.Unlock()
	p.permitSource.closures = append(p.permitSource.closures, closedFor)
}
func (p *permit) ObserveLeave() {
	p.permitSource.mutex.Lock()
	defer p.permitSource.mutex.Unlock()
	p.permitSource.leaves++
}
func (p *permit) Progress(int, time.Duration) {}
func (p *permit) SetStalled(bool)             {}
func (p *permit) End(r placer.Result) {
	p.permitSource.mutex.Lock()
	defer p.permitSource.mutex.Unlock()
	p.permitSource.results = append(p.permitSource.results, r)
	select {
	case p.permitSource.ended <- struct{}{}:
	default:
	}
}

// reply is how a target reacts to one attempt.
type reply struct {
	// err, unless nil, is returned instead of a response.
	err    error
	status int
	// header holds fields of the form NAME=VALUE, separated by semicolons.
	header string
	body   string
	// broken ends the body with an error.
	broken bool
	// endless, unless empty, is repeated without end after the body.
	endless string
	// delimited is set if the response has a length or chunks.
	delimited bool
	// silent, unless nil, makes the target send nothing after the body until it is closed;
	// then it sends rest.
	silent <-chan struct{}
	rest   string
	// held withholds the response until the attempt is cancelled or release is closed.
	held bool
}

// targetClient is a receiver.TargetClient that returns the replies in turn and
// records the requests.
type targetClient struct {
	mutex    sync.Mutex
	replies  []reply
	requests []courier.Request
	// started is closed when a held attempt begins.
	started chan struct{}
	// cancelled is closed when a held attempt is cancelled.
	cancelled chan struct{}
	// release, when closed, ends held attempts that are not cancelled.
	release chan struct{}
}

func (c *targetClient) Do(ctx context.Context, _ courier.Target, request courier.Request) (*courier.Response, error) {
	if request.MaySend != nil && !request.MaySend() {
		return nil, courier.ErrWithdrawn
	}
	c.mutex.Lock()
	c.requests = append(c.requests, request)
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
		body = io.MultiReader(body, brokenReader{})
	}
	if r.silent != nil {
		body = io.MultiReader(body, silentReader{ctx, r.silent}, strings.NewReader(r.rest))
	}
	if r.endless != "" {
		body = io.MultiReader(body, endlessReader(r.endless))
	}
	return &courier.Response{Status: r.status, Header: h, Length: -1, EndsWithConnection: !r.delimited, Body: io.NopCloser(body)}, nil
}

// brokenReader is a body whose connection broke.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, courier.ErrBroken }

// silentReader is the part of a body in which the target sends nothing until resumes is
// closed. Its connection breaks when the attempt is cancelled.
type silentReader struct {
	attempt context.Context
	resumes <-chan struct{}
}

func (r silentReader) Read([]byte) (int, error) {
	select {
	case <-r.resumes:
		return 0, io.EOF
	case <-r.attempt.Done():
		return 0, courier.ErrBroken
	}
}

// endlessReader is a body that repeats a text without end.
type endlessReader string

func (r endlessReader) Read(p []byte) (int, error) { return copy(p, r), nil }

// targetChecker is a receiver.TargetChecker that records the checks.
type targetChecker struct {
	mutex sync.Mutex
	// gone holds the IDs of the targets that have ended.
	gone []string
	// checks holds ID and health path of the checked targets.
	checks []string
}

func (c *targetChecker) Gone(_ context.Context, t courier.Target, healthPath string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checks = append(c.checks, t.ID+healthPath)
	return slices.Contains(c.gone, t.ID)
}

func (c *targetChecker) checked() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.checks)
}

type configs struct{ config *resolver.Config }

func (c configs) Current() (resolver.Config, bool) {
	if c.config == nil {
		return resolver.Config{}, false
	}
	return *c.config, true
}

type retryBudget struct{ allow bool }

func (retryBudget) RecordRequest(string)    {}
func (r retryBudget) TakeRetry(string) bool { return r.allow }
func (r retryBudget) HasRetry(string) bool  { return r.allow }

type loadShedder struct{ full, closeConnections bool }

func (s loadShedder) Admit(*http.Request, string, int64) bool { return !s.full }
func (s loadShedder) ShouldCloseConnections() bool            { return s.closeConnections }

type shutdownState struct {
	// since is the time since the stop began, left the time until its end.
	since, left time.Duration
	stopping    bool
	// ending, unless nil, ends when the requests in progress must end.
	ending context.Context
}

func (s shutdownState) Ending() context.Context {
	if s.ending == nil {
		return context.Background()
	}
	return s.ending
}

func (s shutdownState) Stopping() (time.Duration, time.Duration, bool) {
	return s.since, s.left, s.stopping
}

// fixture is a receiver behind an HTTP server, with fakes of its dependencies.
type fixture struct {
	permitSource *permitSource
	origins      *streamOrigins
	client       *targetClient
	checker      *targetChecker
	server       *httptest.Server
	options      receiver.Options
}

// newFixture starts a receiver whose targets give the replies in turn. change, unless
// nil, modifies its options first.
func newFixture(t *testing.T, replies []reply, change func(*receiver.Options)) *fixture {
	t.Helper()
	route := func(name string, kind resolver.Kind, attempts int, resumable bool) resolver.Route {
		return resolver.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Destinations: []resolver.Destination{{Service: "s", Weight: 1}}, Timeout: time.Minute, Objective: time.Minute,
		}
	}
	plain := route("new", resolver.NonIdempotent, 2, false)
	plain.Objective = 0
	config := resolver.New(resolver.Content{
		Version: 1,
		Routes: []resolver.Route{
			route("safe", resolver.Idempotent, 2, false), route("once", resolver.NonIdempotent, 2, false),
			route("stream", resolver.Streaming, 2, false), route("resume", resolver.Streaming, 2, true), plain,
		},
		Services: []resolver.Service{{Name: "s", HealthPath: "/health"}},
		Accounts: []resolver.Account{{Name: "forge", Keys: []string{"k"}}, {Name: "other", Keys: []string{"k2"}}},
		Limits:   resolver.Limits{BodyBytes: 1000},
	})
	f := &fixture{
		permitSource: &permitSource{ended: make(chan struct{}, 16), refused: make(chan struct{}, 16)},
		checker:      &targetChecker{},
		origins:      &streamOrigins{began: map[versioner.Stream]versioner.Origin{}},
		client:       &targetClient{replies: replies, started: make(chan struct{}), cancelled: make(chan struct{}), release: make(chan struct{})},
	}
	f.options = receiver.Options{
		Protocol: protocol{}, Permits: f.permitSource, StreamOrigins: f.origins, Configs: configs{&config}, TargetClient: f.client, TargetChecker: f.checker, RetryBudget: retryBudget{true}, ShutdownState: shutdownState{}, LoadShedder: loadShedder{}, Tally: tallier.New(8), Arrived: func(*http.Request) time.Time { return time.Now() }, CallerDisconnected: func(*http.Request) bool { return false }, ResetOnClose: func(*http.Request) {},
		Memory: limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 1 << 20}), Clock: clock, ChargeHeader: func(*http.Request, int, int) error { return nil }, Logger: slog.New(slog.DiscardHandler),
		Observe: func(receiver.Observation) {},
	}
	if change != nil {
		change(&f.options)
	}
	f.server = httptest.NewServer(receiver.New(f.options))
	t.Cleanup(f.server.Close)
	t.Cleanup(func() { close(f.client.release) })
	return f
}

// result is what a caller received.
type result struct {
	status int
	header http.Header
	body   string
	// err is set if the response was incomplete.
	err error
	// closed is set if the response closes the connection.
	closed bool
}

// post sends a request of a caller.
func (f *fixture) post(ctx context.Context, t *testing.T, path, key, body string) result {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", key)
	return f.do(r)
}

// postWith sends a request with the given fields of the header.
func (f *fixture) postWith(t *testing.T, path string, header map[string]string) result {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.server.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return f.do(r)
}

// do sends a request of a caller on a connection of its own.
func (f *fixture) do(r *http.Request) result {
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

// postDefault sends a request with a valid key and a short body.
func (f *fixture) postDefault(t *testing.T, path string) result {
	t.Helper()
	return f.post(context.Background(), t, path, "k", "body")
}

// wantResults checks the results of the permits in the order in which they ended.
func (f *fixture) wantResults(t *testing.T, want ...placer.Result) {
	t.Helper()
	f.permitSource.mutex.Lock()
	defer f.permitSource.mutex.Unlock()
	if fmt.Sprint(f.permitSource.results) != fmt.Sprint(want) {
		t.Errorf("results of the permits %v, want %v", f.permitSource.results, want)
	}
}

// errReset is the error of an attempt whose connection was reset, and of a held
// attempt that is released.
var errReset = errors.Join(courier.ErrBroken, errors.New("reset"))

// clock is the clock of receivers in tests.
func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }
