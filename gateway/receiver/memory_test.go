package receiver_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/limiter"
)

// requestBytes is what each request in progress is charged.
const requestBytes = 8 << 10

// postChunked sends a body without a length.
func (f *fixture) postChunked(t *testing.T, path, body string) result {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.server.URL+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	response, err := client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return result{closed: response.Close, status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// limitMemory returns a change that bounds the memory of the process.
func limitMemory(bytes int64) func(*receiver.Options) {
	return func(o *receiver.Options) {
		o.Memory = limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: bytes})
	}
}

// Guards against a process that is killed for its memory: a chunked body was admitted with
// a sixteenth of the limit and read up to the whole limit.
func TestChunkedBodyIsChargedAsItGrows(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, limitMemory(requestBytes+600))
	r := f.postChunked(t, "/safe/1", strings.Repeat("x", 900))
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || len(f.client.requests) != 0 {
		t.Errorf("status %d, Retry-After %q, %d requests sent; want a refusal that has not run", r.status, r.header.Get("Retry-After"), len(f.client.requests))
	}
	if r := f.postChunked(t, "/safe/1", strings.Repeat("x", 90)); r.status != http.StatusOK {
		t.Errorf("status %d for a body that fits, want 200", r.status)
	}
}

// Guards against memory that is charged for ever: a chunked body over the limit was
// answered with 413 and its charge was never released.
func TestChargeOfABodyOverTheLimitIsReleased(t *testing.T) {
	f := newFixture(t, nil, limitMemory(requestBytes+4096))
	for i := range 250 {
		if r := f.postChunked(t, "/safe/1", strings.Repeat("x", 2000)); r.status != http.StatusRequestEntityTooLarge {
			t.Fatal(fmt.Sprint("body ", i), ": status ", r.status, ", want 413")
		}
	}
}

// failingBody is a body that ends with an error after some bytes.
type failingBody struct {
	left int
	err  error
}

func (b *failingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, b.err
	}
	n := min(len(p), b.left, 100)
	b.left -= n
	return n, nil
}

// serveBody serves a request whose body fails, and returns the status of the response; 0
// if the connection is aborted.
func serveBody(o receiver.Options, length int64, body io.Reader) (status int) {
	r := httptest.NewRequest(http.MethodPost, "/safe/1", body)
	r.ContentLength = length
	r.Host = "h.example"
	r.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	receiver.New(o).ServeHTTP(w, r)
	return w.Code
}

// Guards against memory that stays charged after a body that was not read: each path must
// release it exactly once.
func TestChargeIsReleasedWhenABodyFails(t *testing.T) {
	broken := errors.New("connection reset")
	for name, c := range map[string]struct {
		length int64
		body   failingBody
		status int
	}{
		"over the limit":           {-1, failingBody{1 << 20, io.EOF}, 413},
		"announced over the limit": {1 << 20, failingBody{1 << 20, io.EOF}, 413},
		"too slow":                 {900, failingBody{899, os.ErrDeadlineExceeded}, 408},
		"too slow, chunked":        {-1, failingBody{700, os.ErrDeadlineExceeded}, 408},
		"broken":                   {900, failingBody{899, broken}, 0},
		"broken, chunked":          {-1, failingBody{700, broken}, 0},
		"short":                    {900, failingBody{899, io.EOF}, 0},
		"no target":                {900, failingBody{900, io.EOF}, 503},
		"exactly the limit":        {-1, failingBody{1000, io.EOF}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, func(o *receiver.Options) { o.Permits = &permitSource{refuse: queuer.ReasonOverload} })
			if status := serveBody(f.options, c.length, &c.body); status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			for _, k := range limiter.Kinds() {
				if bytes, _ := f.options.Memory.Charged(k); bytes != 0 {
					t.Errorf("%d bytes are still charged as %s", bytes, k)
				}
			}
			if n := f.options.Memory.Waiting("forge"); n != 0 {
				t.Errorf("%d requests of the account are still counted", n)
			}
		})
	}
}

// watchTimeout is far longer than a handler needs to begin to read a body.
const watchTimeout = 5 * time.Second

// Guards against ordinary callers that are refused for the whole read timeout because a
// body that stopped just short of its end holds the memory.
func TestStalledBodyIsEndedWhenMemoryIsShort(t *testing.T) {
	// A body of which nothing arrives holds its first buffer, too.
	for _, sent := range []int{899, 0} {
		t.Run(fmt.Sprintf("%d of 900 bytes", sent), func(t *testing.T) { testStalledBody(t, sent) })
	}
}

// testStalledBody stops a body of 900 bytes after the number of bytes sent.
func testStalledBody(t *testing.T, sent int) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, limitMemory(2*requestBytes+1000))
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "POST /safe/1 HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nContent-Length: 900\r\n\r\n%s", strings.Repeat("x", sent)); err != nil {
		t.Fatal(err)
	}
	memory := f.options.Memory
	for held := int64(0); held == 0; held, _ = memory.Charged(limiter.KindBody) {
		runtime.Gosched()
	}
	if r := f.post(context.Background(), t, "/safe/1", "k", strings.Repeat("y", 200)); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d while the memory is held, want 503", r.status)
	}
	<-memory.Shortage()
	for end := time.Now().Add(watchTimeout); memory.EvictStalled(clock()+time.Second, time.Second, 1) == 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("the stalled body is not watched")
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
		t.Fatalf("the stalled body got %v, %v; want 503 with Retry-After on a connection that closes", response, err)
	}
	if r := f.post(context.Background(), t, "/safe/1", "k", strings.Repeat("y", 200)); r.status != http.StatusOK {
		t.Errorf("status %d after the stalled body was ended, want 200", r.status)
	}
}

// Guards against a completed response that is lost because there is no memory to hold it,
// and against its charge staying.
func TestResponseIsDeliveredWhenMemoryIsShort(t *testing.T) {
	body := strings.Repeat("y", 300<<10)
	for _, size := range []int{0, 3000, 4 << 10, 20 << 10, 256 << 10, 300 << 10} {
		for name, memory := range map[string]int64{"nothing left": requestBytes + 4, "first step": requestBytes + 5<<10, "plenty": 4 << 20} {
			f := newFixture(t, []reply{{status: 200, header: signed, body: body[:size]}}, limitMemory(memory))
			if r := f.postDefault(t, "/safe/1"); r.status != http.StatusOK || r.body != body[:size] || r.err != nil {
				t.Errorf("%s, %d bytes: status %d, %d bytes, error %v", name, size, r.status, len(r.body), r.err)
			}
			f.wantReleased(t)
		}
	}
}

// wantReleased waits until nothing is charged any more.
func (f *fixture) wantReleased(t *testing.T) {
	t.Helper()
	for _, k := range limiter.Kinds() {
		for bytes := int64(1); bytes != 0; bytes, _ = f.options.Memory.Charged(k) {
			runtime.Gosched()
		}
	}
}

// Guards against targets that make the process hold a megabyte for each of many streams by
// events that do not end, and against streams with short events that are charged.
func TestIncompleteEventsAreCharged(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"
	for name, c := range map[string]struct {
		body   string
		memory int64
		broken bool
	}{
		"long event, little memory":  {"id: 0\n\n" + long, requestBytes + 30<<10, true},
		"long event, enough memory":  {"id: 0\n\n" + long, requestBytes + 200<<10, false},
		"short events, none left":    {strings.Repeat("id: 1\ndata: x\n\n", 5000), requestBytes + 4, false},
		"long event of another size": {long[:4000] + "\n\n", requestBytes + 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, []reply{{status: 200, header: signed, body: c.body}}, limitMemory(c.memory))
			r := f.postDefault(t, "/stream/1")
			if (r.err != nil) != c.broken || !c.broken && r.body != c.body {
				t.Errorf("status %d, %d bytes, error %v", r.status, len(r.body), r.err)
			}
			f.wantReleased(t)
		})
	}
}

// stuckWriter is an http.ResponseWriter whose caller does not read: a write of more than
// some bytes blocks until its deadline is in the past.
type stuckWriter struct {
	*httptest.ResponseRecorder
	ended chan struct{}
}

func (w stuckWriter) SetWriteDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		close(w.ended)
	}
	return nil
}

func (w stuckWriter) Write(p []byte) (int, error) {
	if len(p) > 64<<10 {
		<-w.ended
		return 0, os.ErrDeadlineExceeded
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against callers that do not read their responses and hold the memory of them for
// the whole write timeout.
func TestSlowReaderIsEndedWhenMemoryIsShort(t *testing.T) {
	for name, size := range map[string]int{"response that is held": 200 << 10, "larger response": 600 << 10} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, []reply{{status: 200, header: signed, body: strings.Repeat("y", size)}}, nil)
			r := httptest.NewRequest(http.MethodGet, "/safe/1", nil)
			r.Host = "h.example"
			r.Header.Set("Key", "k")
			done := make(chan struct{})
			go func() {
				defer close(done)
				defer func() { _ = recover() }() // the connection is aborted
				receiver.New(f.options).ServeHTTP(stuckWriter{httptest.NewRecorder(), make(chan struct{})}, r)
			}()
			for f.options.Memory.EvictStalled(clock()+time.Second, time.Second, 1) == 0 {
				runtime.Gosched() // nothing is written yet
			}
			<-done
			f.wantReleased(t)
		})
	}
}

// Guards against a header over the limits of the configuration that was not seen before the
// handler, and against a request whose header has no memory.
func TestHeaderIsCheckedAgainstTheLimitsInForce(t *testing.T) {
	short := errors.New("no memory")
	for name, c := range map[string]struct {
		header int
		charge error
		status int
	}{
		"ordinary":         {100, nil, 200},
		"over the default": {70 << 10, nil, 431},
		"no memory":        {100, short, 503},
	} {
		f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) {
			o.ChargeHeader = func(*http.Request, int, int) error { return c.charge }
		})
		r := f.post(context.Background(), t, "/safe/1", "k", "x")
		if c.header > 100 {
			w := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodGet, "/safe/1", nil)
			request.Header.Set("A", strings.Repeat("x", c.header))
			receiver.New(f.options).ServeHTTP(w, request)
			r.status = w.Code
		}
		if r.status != c.status {
			t.Errorf("%s: status %d, want %d", name, r.status, c.status)
		}
	}
}
