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

// Guards against ordinary callers that are refused for the whole read timeout because a
// body that stopped just short of its end holds the memory.
func TestStalledBodyIsEndedWhenMemoryIsShort(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, limitMemory(2*requestBytes+1000))
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "POST /safe/1 HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nContent-Length: 900\r\n\r\n%s", strings.Repeat("x", 899)); err != nil {
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
	for memory.EvictStalled(clock()+time.Second, time.Second, 1) == 0 {
		runtime.Gosched() // the transfer is not watched yet
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
		t.Fatalf("the stalled body got %v, %v; want 503 with Retry-After on a connection that closes", response, err)
	}
	if r := f.post(context.Background(), t, "/safe/1", "k", strings.Repeat("y", 200)); r.status != http.StatusOK {
		t.Errorf("status %d after the stalled body was ended, want 200", r.status)
	}
}
