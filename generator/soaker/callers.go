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
	// accounts is the number of client accounts.
	accounts = 4
	// leaveShare is the part of the callers' requests that they give up early.
	leaveShare = 0.05
	// thinkTime is the longest pause of a caller between two requests.
	thinkTime = 60 * time.Millisecond
	// hangTime is how long a caller waits beyond the time of the route: longer than
	// every pause of a process in the schedule, on a busy machine too.
	hangTime = 90 * time.Second
	// longBody is the size of one request body in ten, of several reads.
	longBody = 200 << 10
)

func account(i int) string    { return fmt.Sprintf("account-%d", i) }
func accountKey(i int) string { return fmt.Sprintf("key-%d", i) }

// route is one route of the configuration.
type route struct {
	name, kind, service string
	resumable           bool
}

// once reports whether a request may run at most once.
func (r route) once() bool {
	return r.kind == wire.KindNonIdempotent || r.kind == wire.KindStreaming && !r.resumable
}

func (r route) events() int {
	if r.service == engineService {
		return engineEvents
	}
	return 0
}

func routes() []route {
	return []route{
		{name: "resume", kind: wire.KindStreaming, service: engineService, resumable: true},
		{name: "stream", kind: wire.KindStreaming, service: engineService},
		{name: "read", kind: wire.KindIdempotent, service: deskService},
		{name: "write", kind: wire.KindNonIdempotent, service: deskService},
	}
}

// result is what a caller saw of one attempt.
type result struct {
	id         string
	route      route
	daemon     *daemon
	account    string
	start, end time.Time
	// status is 0 without an answer.
	status int
	header http.Header
	body   []byte
	// err is set if the answer did not come whole.
	err error
	// left is set if the caller gave up.
	left bool
}

// callers send requests until they are stopped and keep the results.
type callers struct {
	fleet *fleet
	seed  uint64

	mutex   sync.Mutex
	results []result
}

// run starts callers and returns when all their requests have ended.
func (c *callers) run(ctx context.Context, n int) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { c.call(ctx, i) })
	}
	group.Wait()
}

// call is one caller with connections of its own.
func (c *callers) call(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(c.seed, uint64(number)+100))
	client, closeClient := newClient()
	defer closeClient()
	all := routes()
	for n := 0; ctx.Err() == nil; n++ {
		d := c.fleet.daemons[(number+n/10)%len(c.fleet.daemons)] // ten requests on one connection
		c.send(r, client, d, all[r.IntN(len(all))], fmt.Sprintf("%d-%d-%d", c.seed, number, n), r.IntN(accounts))
		sleeper.Sleep(ctx, time.Duration(r.Int64N(int64(thinkTime))))
	}
}

// newClient returns a client that never sends a request twice by itself.
func newClient() (*http.Client, func()) {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
	return &http.Client{Transport: t, Timeout: routeTimeout + hangTime}, t.CloseIdleConnections
}

// send makes one attempt. The request goes on when the soak's context ends.
func (c *callers) send(r *rand.Rand, client *http.Client, d *daemon, to route, id string, by int) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	if r.Float64() < leaveShare {
		t := time.AfterFunc(time.Duration(r.Int64N(int64(300*time.Millisecond))), func() { cancel(errLeft) })
		defer t.Stop()
	}
	size := r.IntN(2000)
	if r.IntN(10) == 0 {
		size = longBody
	}
	x := result{id: id, route: to, daemon: d, account: account(by), start: time.Now()}
	x.status, x.header, x.body, x.err = post(ctx, client, d.callers, to, id, by, size, r.IntN(2) == 0)
	x.end = time.Now()
	x.left = errors.Is(context.Cause(ctx), errLeft)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, x)
}

// errLeft is the cause of a request that its caller gave up.
var errLeft = errors.New("the caller left")

// post sends a request and reads the whole answer. Chunked bodies have no length.
func post(ctx context.Context, client *http.Client, address string, to route, id string, by, size int, chunked bool) (int, http.Header, []byte, error) {
	var body io.Reader = bytes.NewReader(bytes.Repeat([]byte("x"), size))
	if chunked {
		body = io.MultiReader(body) // hides the length
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+to.name+"/"+id, body)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "make a request")
	}
	request.GetBody = nil // the transport must not send it again
	request.Host = hostName
	for name, value := range map[string]string{
		wire.FieldAttempt: id, wire.FieldKey: accountKey(by), wire.FieldDeadline: fmt.Sprint(routeTimeout.Milliseconds()),
	} {
		request.Header.Set(name, value)
	}
	if to.service == engineService {
		request.Header.Set(wire.FieldModel, "m")
		request.Header.Set(wire.FieldTokens, "400,32")
		request.Header.Set(wire.FieldPrefix, fmt.Sprintf("a%d:200,%x:200", by, id))
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "send a request")
	}
	defer func() { _ = answer.Body.Close() }() // read below
	b, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, b, errors.Wrap(err, "read an answer")
}

// complete reports whether the answer is a whole success.
func (x result) complete() bool { return x.status == http.StatusOK && x.err == nil }

// want returns the body of a success.
func (x result) want() string { return strings.Join(server.Pieces(x.id, x.route.events()), "") }
