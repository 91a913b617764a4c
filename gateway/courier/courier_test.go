package courier_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
)

// script is a target that handles each connection with a function.
type script struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// serve starts a target. handle gets the requests of one connection one by one;
// it returns false to close the connection.
func serve(t *testing.T, handle func(n int64, c net.Conn, r *http.Request) bool) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &script{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.run(c, handle)
		}
	}()
	return s
}

func (s *script) run(c net.Conn, handle func(n int64, c net.Conn, r *http.Request) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !handle(s.requests.Add(1), c, r) {
			return
		}
	}
}

func reply(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func call(id string) courier.Request {
	return courier.Request{
		Method: http.MethodPost, URI: "/p//a?x=%2f", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("b"),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func read(t *testing.T, a *courier.Response) (string, error) {
	t.Helper()
	data, err := io.ReadAll(a.Body)
	if err := a.Body.Close(); err != nil {
		t.Error(err)
	}
	return string(data), err
}

func do(t *testing.T, c *courier.Courier, s *script, k courier.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, err := c.Do(ctx, courier.Target{ID: "t", Address: s.address}, k)
	if err != nil {
		return "", err
	}
	return read(t, a)
}

func newCourier(t *testing.T) *courier.Courier {
	t.Helper()
	c, closeAll := courier.New()
	t.Cleanup(closeAll)
	return c
}

// Guards against requests that reach the target changed.
func TestRequestArrivesUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	s := serve(t, func(_ int64, c net.Conn, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		seen <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header.Get("Id"), " ", string(body), " ", r.Header.Get("Accept-Encoding"))
		reply(c, "1", "whole")
		return true
	})
	if got, err := do(t, newCourier(t), s, call("1")); got != "whole" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if got := <-seen; got != "POST /p//a?x=%2f h.example 1 b " {
		t.Errorf("the target saw %q", got)
	}
}

// Guards against a second run of a request whose connection broke: net/http
// would send it again by itself.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		s := serve(t, func(n int64, c net.Conn, _ *http.Request) bool {
			if n == 1 {
				reply(c, "1", "")
				return true
			}
			return false
		})
		c := newCourier(t)
		k := call("1")
		k.Method, k.Body = method, nil
		if _, err := do(t, c, s, k); err != nil {
			t.Fatal(err)
		}
		if _, err := do(t, c, s, k); !errors.Is(err, courier.ErrBroken) {
			t.Errorf("%s: error %v", method, err)
		}
		if n := s.requests.Load(); n != 2 {
			t.Errorf("%s: %d requests arrived", method, n)
		}
	}
}

// Guards against a false "not sent", and against calling a request sent that
// never left.
func TestNotSentIsCertain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := do(t, newCourier(t), &script{address: address}, call("1")); !errors.Is(err, courier.ErrNotSent) {
		t.Errorf("nobody listens: %v", err)
	}
	s := serve(t, func(int64, net.Conn, *http.Request) bool { return false })
	if _, err := do(t, newCourier(t), s, call("1")); errors.Is(err, courier.ErrNotSent) || !errors.Is(err, courier.ErrBroken) {
		t.Errorf("closed after the request: %v", err)
	}
}

// Guards against the answer to an earlier request that is taken for that of the
// next one.
func TestLateSecondAnswerIsDropped(t *testing.T) {
	second := make(chan struct{})
	s := serve(t, func(n int64, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Id")
		if n == 1 {
			reply(c, id, "first")
			return true
		}
		reply(c, "1", "a second answer to the first request")
		<-second
		reply(c, id, "second")
		return true
	})
	c := newCourier(t)
	if got, err := do(t, c, s, call("1")); got != "first" || err != nil {
		t.Fatal(got, err)
	}
	close(second)
	if got, err := do(t, c, s, call("2")); got != "second" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if c.Stats.Foreign.Load() != 1 {
		t.Errorf("%d foreign answers", c.Stats.Foreign.Load())
	}
}

// Guards against reuse of a connection on which bytes arrived unasked or that
// the target has closed.
func TestConnectionsThatAreNotQuietAreNotReused(t *testing.T) {
	for name, after := range map[string]func(c net.Conn){
		"unasked bytes": func(c net.Conn) { reply(c, "1", "again") },
		"closed":        func(c net.Conn) { _ = c.Close() },
	} {
		acted := make(chan struct{})
		s := serve(t, func(n int64, c net.Conn, r *http.Request) bool {
			reply(c, r.Header.Get("Id"), "ok")
			if n == 1 {
				go func() { after(c); close(acted) }()
				return name != "closed"
			}
			return true
		})
		c := newCourier(t)
		if _, err := do(t, c, s, call("1")); err != nil {
			t.Fatal(name, err)
		}
		<-acted
		// The bytes are on their way through the loopback; the wait for them ends when
		// the second request gets its own answer.
		if got, err := do(t, c, s, call("2")); name == "unasked bytes" && (got != "ok" || err != nil) {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
}

// Guards against broken bodies that look whole.
func TestBrokenBodiesAreNotWhole(t *testing.T) {
	for name, raw := range map[string]string{
		"short":            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort",
		"chunk missing":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"chunk cut":        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nshort",
		"chunk size wrong": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nshort",
	} {
		s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, raw)
			return false
		})
		if got, err := do(t, newCourier(t), s, call("1")); !errors.Is(err, courier.ErrBroken) {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nno length")
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return false
	})
	if got, err := do(t, newCourier(t), s, call("1")); got != "no length" || err != nil {
		t.Errorf("an answer that ends with its connection: %q, %v", got, err)
	}
	s = serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nno length")
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closes with a reset
		}
		return false
	})
	if got, err := do(t, newCourier(t), s, call("1")); err == nil && got == "no length" {
		t.Errorf("an answer without length that was reset: %q, %v", got, err)
	}
}

// Guards against bytes that are no answer.
func TestGarbageIsNoAnswer(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
		return false
	})
	if _, err := do(t, newCourier(t), s, call("1")); !errors.Is(err, courier.ErrInvalid) {
		t.Errorf("error %v", err)
	}
}

// Guards against a long body whose rest reaches the target after it answered,
// in the place of the next request.
func TestEarlyAnswerToALongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var connections atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				reader := bufio.NewReader(c)
				if _, err := reader.ReadString('\n'); err != nil { // only the request line
					return
				}
				reply(c, "1", "early")
				_, _ = io.Copy(io.Discard, reader)
			}()
		}
	}()
	c := newCourier(t)
	k := call("1")
	k.Body = bytes.Repeat([]byte("x"), 64<<20) // more than the buffers of the loopback hold
	for range 2 {
		if got, err := do(t, c, &script{address: l.Addr().String()}, k); got != "early" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if connections.Load() != 2 {
		t.Errorf("%d connections for two requests", connections.Load())
	}
}

// Guards against targets that go on working for a caller that has left.
func TestCancelClosesTheConnection(t *testing.T) {
	closed, started := make(chan struct{}), make(chan struct{})
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		close(started)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	c := newCourier(t)
	go func() {
		_, err := c.Do(ctx, courier.Target{ID: "t", Address: s.address}, call("1"))
		failed <- err
	}()
	<-started
	cancel()
	<-closed
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

// Guards against informational answers that are taken for the answer.
func TestInformationalAnswersAreSkipped(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		reply(c, "1", "final")
		return true
	})
	if got, err := do(t, newCourier(t), s, call("1")); got != "final" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against requests that must not run twice on a connection that was
// unused for long, and against use beyond the time that the target states.
func TestConnectionsAreReusedWithinTheirTime(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"), r.Header.Get("Answer"))
		return true
	})
	for name, tc := range map[string]struct {
		header string
		reused bool
	}{
		"no statement": {"X: y", true}, "long": {"Keep-Alive: timeout=60, max=5", true},
		"too short": {"Keep-Alive: timeout=0", false}, "close": {"Connection: close", false},
	} {
		c := newCourier(t)
		k := call("1")
		k.Header = http.Header{"Id": {"1"}, "Answer": {tc.header}}
		for range 2 {
			if _, err := do(t, c, s, k); err != nil {
				t.Fatal(name, err)
			}
		}
		if reused := c.Stats.Reuses.Load() == 1; reused != tc.reused {
			t.Errorf("%s: reused %t", name, reused)
		}
	}
}

// Guards against header values that break out of their line.
func TestHeaderValuesCannotAddLines(t *testing.T) {
	seen := make(chan http.Header, 1)
	s := serve(t, func(_ int64, c net.Conn, r *http.Request) bool {
		seen <- r.Header
		reply(c, "1", "")
		return true
	})
	k := call("1")
	k.Header = http.Header{"Id": {"1"}, "X-Note": {"a\r\nInjected: yes"}}
	if _, err := do(t, newCourier(t), s, k); err != nil {
		t.Fatal(err)
	}
	if h := <-seen; h.Get("Injected") != "" || !strings.Contains(h.Get("X-Note"), "Injected") {
		t.Errorf("header %v", h)
	}
}
