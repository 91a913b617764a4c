package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/platform/wire"
	"monsoondeck.example/sleeper"
)

const (
	// accountCount is the number of client accounts.
	accountCount = 4
	// cancelShare is the share of requests that callers cancel early.
	cancelShare = 0.05
	// maxThinkTime is the longest pause of a caller between two requests.
	maxThinkTime = 60 * time.Millisecond
	// hangTimeout is how long a caller waits beyond the time limit of the route. It
	// is longer than any pause of a process in the schedule, also on a busy machine.
	hangTimeout = 90 * time.Second
	// largeBodyBytes is the size of one request body in ten; it takes several reads.
	largeBodyBytes = 200 << 10
)

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }
func accountKey(i int) string  { return fmt.Sprintf("key-%d", i) }

// route is a route of the configuration to which callers send requests.
type route struct {
	name, kind, service string
	resumable           bool
}

// atMostOnce reports whether a request of the route must not run more than once.
func (r route) atMostOnce() bool {
	return r.kind == wire.KindNonIdempotent || r.kind == wire.KindStreaming && !r.resumable
}

// eventCount returns the number of events in a response; 0 is one body.
func (r route) eventCount() int {
	if r.service == engineService {
		return engineEvents
	}
	return 0
}

func routes() []route {
	return []route{
		{name: "resume", kind: wire.KindStreaming, service: engineService, resumable: true},
		{name: "stream", kind: wire.KindStreaming, service: engineService},
		{name: "read", kind: wire.KindIdempotent, service: plainService},
		{name: "write", kind: wire.KindNonIdempotent, service: plainService},
	}
}

// request is one request of a caller. Requests with the same name have the same path.
type request struct {
	route route
	// id is the ID of the attempt, name the last part of the path.
	id, name string
	// account is the number of the client account.
	account int
	// size is the length of the body; a chunked body has no Content-Length.
	size    int
	chunked bool
	// resumes is the ID of the attempt whose stream the caller takes up, after the event with
	// the number after; empty for a new request.
	resumes string
	after   int
}

func (q request) path() string { return "/" + q.route.name + "/" + q.name }

// result is what a caller observed of one request.
type result struct {
	request
	daemon     *daemon
	start, end time.Time
	// status is 0 without a response.
	status int
	header http.Header
	body   []byte
	// err is set if the response was not received completely.
	err error
	// read is set if the daemon is known to have read the whole request, although it closed
	// the connection without a response.
	read bool
	// cancelled is set if the caller cancelled the request.
	cancelled bool
}

// callers send requests until they are stopped and record the results.
type callers struct {
	fleet *fleet
	seed  uint64
	// takeUps is set if callers take up broken streams.
	takeUps bool

	// mutex guards results.
	mutex   sync.Mutex
	results []result
}

// run runs n callers, numbered from first, until the context ends and returns when all
// their requests have ended.
func (c *callers) run(ctx context.Context, first, n int) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { c.runCaller(ctx, first+i) })
	}
	group.Wait()
}

// runCaller sends the requests of one caller, on connections of its own.
func (c *callers) runCaller(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(c.seed, uint64(number)+100))
	client, closeClient := newClient()
	defer closeClient()
	all := routes()
	for n := 0; ctx.Err() == nil; n++ {
		d := c.fleet.daemons[(number+n/10)%len(c.fleet.daemons)] // ten requests in a row to one daemon, to reuse the connection
		c.send(r, client, d, all[r.IntN(len(all))], fmt.Sprintf("%d-%d-%d", c.seed, number, n), r.IntN(accountCount))
		sleeper.Sleep(ctx, time.Duration(r.Int64N(int64(maxThinkTime))))
	}
}

// newClient returns an HTTP client with a connection pool of its own. post keeps
// it from retrying requests.
func newClient() (*http.Client, func()) {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
	return &http.Client{Transport: t, Timeout: routeTimeout + hangTimeout}, t.CloseIdleConnections
}

// send sends one request and records the result. The request is not cancelled when
// the load ends.
func (c *callers) send(r *rand.Rand, client *http.Client, d *daemon, to route, id string, accountNumber int) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	if r.Float64() < cancelShare {
		t := time.AfterFunc(time.Duration(r.Int64N(int64(300*time.Millisecond))), func() { cancel(errCancelled) })
		defer t.Stop()
	}
	size := r.IntN(2000)
	if r.IntN(10) == 0 {
		size = largeBodyBytes
	}
	x := c.do(ctx, client, d, request{route: to, id: id, name: id, account: accountNumber, size: size, chunked: r.IntN(2) == 0})
	if c.takeUps {
		c.takeUp(r, client, x)
	}
}

// do sends a request, records the result and returns it.
func (c *callers) do(ctx context.Context, client *http.Client, d *daemon, q request) result {
	x := result{request: q, daemon: d, start: time.Now()}
	x.status, x.header, x.body, x.err = post(ctx, client, d.callerAddress, q)
	x.end = time.Now()
	x.cancelled = errors.Is(context.Cause(ctx), errCancelled)
	c.record(x)
	return x
}

func (c *callers) record(x result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, x)
}

// errCancelled is the cancellation cause of a request that its caller cancelled.
var errCancelled = errors.New("the caller cancelled the request")

// post sends a request and reads the whole response.
func post(ctx context.Context, client *http.Client, address string, q request) (int, http.Header, []byte, error) {
	r, err := newRequest(ctx, address, q)
	if err != nil {
		return 0, nil, nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "send a request")
	}
	defer func() { _ = response.Body.Close() }() // read below
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, b, errors.Wrap(err, "read a response")
}

// newRequest returns the HTTP request for q.
func newRequest(ctx context.Context, address string, q request) (*http.Request, error) {
	var body io.Reader = bytes.NewReader(bytes.Repeat([]byte("x"), q.size))
	if q.chunked {
		body = io.MultiReader(body) // hides the length from net/http
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+q.path(), body)
	if err != nil {
		return nil, errors.Wrap(err, "create a request")
	}
	r.GetBody = nil // the transport must not retry the request
	r.Host = hostName
	for name, value := range map[string]string{
		wire.FieldAttempt: q.id, wire.FieldKey: accountKey(q.account), wire.FieldDeadline: fmt.Sprint(routeTimeout.Milliseconds()),
	} {
		r.Header.Set(name, value)
	}
	if q.resumes != "" {
		r.Header.Set(wire.FieldResumes, q.resumes)
		r.Header.Set(wire.FieldLastEvent, fmt.Sprint(q.after))
	}
	if q.route.service == engineService {
		r.Header.Set(wire.FieldModel, "m")
		r.Header.Set(wire.FieldTokenCounts, "400,32")
		r.Header.Set(wire.FieldPrefix, fmt.Sprintf("a%d:200,%x:200", q.account, q.name))
	}
	return r, nil
}

// complete reports whether a successful response was received completely.
func (x result) complete() bool { return x.status == http.StatusOK && x.err == nil }

// wantBody returns the body of a complete, successful response.
func (x result) wantBody() string {
	parts := server.ResponseParts(x.id, x.route.eventCount())
	if x.resumes != "" {
		parts = parts[x.after+1:]
	}
	return strings.Join(parts, "")
}
