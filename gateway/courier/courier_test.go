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

// testTarget is a target that counts its connections and requests.
type testTarget struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// startTarget starts a target that calls handle for each request with the number of
// the request, counted from 1 over all connections. handle writes the response; it
// returns false to close the connection.
func startTarget(t *testing.T, handle func(n int64, c net.Conn, r *http.Request) bool) *testTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &testTarget{address: l.Addr().String()}
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

func (s *testTarget) run(c net.Conn, handle func(n int64, c net.Conn, r *http.Request) bool) {
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

// writeResponse writes a complete response to the request with the ID.
func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newRequest returns a request that accepts only responses with its ID, and those without
// one if they are not in doubt.
func newRequest(id string) courier.Request {
	return courier.Request{
		Method: http.MethodPost, URI: "/p//a?x=%2f", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("b"),
		Match: func(_ int, h http.Header) courier.Match {
			switch h.Get("Id") {
			case id:
				return courier.Own
			case "":
				return courier.Doubtful
			}
			return courier.Foreign
		},
	}
}

func readBody(t *testing.T, r *courier.Response) (string, error) {
	t.Helper()
	data, err := io.ReadAll(r.Body)
	if err := r.Body.Close(); err != nil {
		t.Error(err)
	}
	return string(data), err
}

// do sends a request to the target and returns the body of the response.
func do(t *testing.T, c *courier.Client, s *testTarget, r courier.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, err := c.Do(ctx, courier.Target{ID: "t", Address: s.address}, r)
	if err != nil {
		return "", err
	}
	return readBody(t, response)
}

func newClient(t *testing.T) *courier.Client {
	t.Helper()
	c, closeIdle := courier.New()
	t.Cleanup(closeIdle)
	return c
}

// Guards against method, URI, host, header or body that change on the way to the
// target.
func TestRequestArrivesUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	s := startTarget(t, func(_ int64, c net.Conn, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		seen <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header.Get("Id"), " ", string(body), " ", r.Header.Get("Accept-Encoding"))
		writeResponse(c, "1", "whole")
		return true
	})
	if got, err := do(t, newClient(t), s, newRequest("1")); got != "whole" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if got := <-seen; got != "POST /p//a?x=%2f h.example 1 b " {
		t.Errorf("the target saw %q", got)
	}
}

// Guards against a second run of a request after its connection broke: http.Transport
// would retry it.
func TestRequestIsNotRetriedOnABrokenConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		s := startTarget(t, func(n int64, c net.Conn, _ *http.Request) bool {
			if n == 1 {
				writeResponse(c, "1", "")
				return true
			}
			return false
		})
		c := newClient(t)
		request := newRequest("1")
		request.Method, request.Body = method, nil
		if _, err := do(t, c, s, request); err != nil {
			t.Fatal(err)
		}
		if _, err := do(t, c, s, request); !errors.Is(err, courier.ErrBroken) {
			t.Errorf("%s: error %v", method, err)
		}
		if n := s.requests.Load(); n != 2 {
			t.Errorf("%s: %d requests arrived", method, n)
		}
	}
}

// Guards against ErrNotSent for a request that was sent, and against any other error
// for a request that was not.
func TestErrNotSentIsExact(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := do(t, newClient(t), &testTarget{address: address}, newRequest("1")); !errors.Is(err, courier.ErrNotSent) {
		t.Errorf("no listener: %v", err)
	}
	s := startTarget(t, func(int64, net.Conn, *http.Request) bool { return false })
	if _, err := do(t, newClient(t), s, newRequest("1")); errors.Is(err, courier.ErrNotSent) || !errors.Is(err, courier.ErrBroken) {
		t.Errorf("connection closed after the request: %v", err)
	}
}

// Guards against taking a second response to an earlier request for the response to
// the next request on the connection.
func TestLateSecondResponseIsDropped(t *testing.T) {
	second := make(chan struct{})
	s := startTarget(t, func(n int64, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Id")
		if n == 1 {
			writeResponse(c, id, "first")
			return true
		}
		writeResponse(c, "1", "a second answer to the first request")
		<-second
		writeResponse(c, id, "second")
		return true
	})
	c := newClient(t)
	if got, err := do(t, c, s, newRequest("1")); got != "first" || err != nil {
		t.Fatal(got, err)
	}
	close(second)
	if got, err := do(t, c, s, newRequest("2")); got != "second" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if c.Stats.ForeignResponses.Load() != 1 {
		t.Errorf("%d foreign responses", c.Stats.ForeignResponses.Load())
	}
}

// Guards against reuse of a connection on which unsolicited data has arrived or that
// the target has closed.
func TestUnusableConnectionsAreNotReused(t *testing.T) {
	for name, after := range map[string]func(c net.Conn){
		"unsolicited data": func(c net.Conn) { writeResponse(c, "1", "again") },
		"closed":           func(c net.Conn) { _ = c.Close() },
	} {
		afterDone := make(chan struct{})
		s := startTarget(t, func(n int64, c net.Conn, r *http.Request) bool {
			writeResponse(c, r.Header.Get("Id"), "ok")
			if n == 1 {
				go func() { after(c); close(afterDone) }()
				return name != "closed"
			}
			return true
		})
		c := newClient(t)
		if _, err := do(t, c, s, newRequest("1")); err != nil {
			t.Fatal(name, err)
		}
		<-afterDone
		// The data may still be in transit on the loopback interface, so that the
		// connection is reused. The second request must then skip it and get its own
		// response.
		if got, err := do(t, c, s, newRequest("2")); name == "unsolicited data" && (got != "ok" || err != nil) {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
}

// Guards against connections in the pool that hold bytes without end of a faulty target, or
// that their target has closed.
func TestCloseIdleClosesUnusableConnections(t *testing.T) {
	for name, after := range map[string]func(c net.Conn){
		"unsolicited data": func(c net.Conn) { _, _ = io.WriteString(c, "x") },
		"closed":           func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	} {
		ended, idle := make(chan struct{}), make(chan struct{})
		s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=3600\r\nContent-Length: 2\r\n\r\nok")
			<-idle
			after(c)
			_, _ = c.Read(make([]byte, 1)) // any result means the end
			close(ended)
			return false
		})
		c := newClient(t)
		if got, err := do(t, c, s, newRequest("1")); got != "ok" || err != nil {
			t.Fatal(name, got, err)
		}
		close(idle)
		give := time.After(20 * time.Second)
		for closed := false; !closed; {
			c.CloseIdle(func(courier.Target) bool { return true })
			select {
			case <-ended:
				closed = true
			case <-give:
				t.Fatalf("%s: the connection is still open", name)
			case <-time.After(time.Millisecond):
			}
		}
	}
}

// Guards against a target that is cut off and counts as crashed.
func TestProbeTellsRefusedConnections(t *testing.T) {
	s := startTarget(t, func(int64, net.Conn, *http.Request) bool { return false })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := l.Addr().String()
	_ = l.Close()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	c := newClient(t)
	if err := c.Probe(context.Background(), courier.Target{ID: "t", Address: s.address}); err != nil {
		t.Errorf("probe of a running target: %v", err)
	}
	if err := c.Probe(context.Background(), courier.Target{ID: "t", Address: gone}); !errors.Is(err, courier.ErrRefused) || !errors.Is(err, courier.ErrNotSent) {
		t.Errorf("probe of a target that has ended: %v", err)
	}
	if err := c.Probe(expired, courier.Target{ID: "t", Address: s.address}); err == nil || errors.Is(err, courier.ErrRefused) {
		t.Errorf("probe without an answer: %v", err)
	}
}

// Guards against a crash of the target that cannot be told from the end of a body.
func TestResponsesSayWhetherTheConnectionEndsThem(t *testing.T) {
	for raw, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody":                                                 true,
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody":                            false,
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n": false,
	} {
		s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, raw)
			return false
		})
		response, err := newClient(t).Do(context.Background(), courier.Target{ID: "t", Address: s.address}, newRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		if response.EndsWithConnection != want {
			t.Errorf("%q: ends with the connection: %t", raw, response.EndsWithConnection)
		}
		_ = response.Body.Close()
	}
}

// Guards against a check of the target after each response that has no body.
func TestResponsesWithoutABodyDoNotEndWithTheConnection(t *testing.T) {
	for method, status := range map[string]int{http.MethodHead: http.StatusOK, http.MethodGet: http.StatusNoContent} {
		s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d -\r\nId: 1\r\n\r\n", status)
			return true
		})
		r := newRequest("1")
		r.Method, r.Body = method, nil
		response, err := newClient(t).Do(context.Background(), courier.Target{ID: "t", Address: s.address}, r)
		if err != nil {
			t.Fatal(err)
		}
		if response.EndsWithConnection {
			t.Errorf("%s, status %d: the response ends with the connection", method, status)
		}
		_ = response.Body.Close()
	}
}

// Guards against incomplete bodies that are read without an error.
func TestIncompleteBodiesAreErrors(t *testing.T) {
	for name, raw := range map[string]string{
		"short":            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort",
		"chunk missing":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"chunk cut":        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nshort",
		"chunk size wrong": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nshort",
	} {
		s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, raw)
			return false
		})
		if got, err := do(t, newClient(t), s, newRequest("1")); !errors.Is(err, courier.ErrBroken) {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
	s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nno length")
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return false
	})
	if got, err := do(t, newClient(t), s, newRequest("1")); got != "no length" || err != nil {
		t.Errorf("response that ends with its connection: %q, %v", got, err)
	}
	s = startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nno length")
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closes with a reset
		}
		return false
	})
	if got, err := do(t, newClient(t), s, newRequest("1")); err == nil && got == "no length" {
		t.Errorf("response without length on a connection that was reset: %q, %v", got, err)
	}
}

// Guards against accepting data that is not an HTTP response.
func TestInvalidResponseIsAnError(t *testing.T) {
	s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
		return false
	})
	if _, err := do(t, newClient(t), s, newRequest("1")); !errors.Is(err, courier.ErrInvalid) {
		t.Errorf("error %v", err)
	}
}

// Guards against a daemon that reads a response without end until its memory or the
// time of the request is used up.
func TestEndlessResponsesAreErrors(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nId: other\r\n"
	for name, raw := range map[string]struct{ start, repeated string }{
		"status line":             {"HTTP/1.1 200 ", "O"},
		"field without end":       {"HTTP/1.1 200 OK\r\nId: ", "1"},
		"fields":                  {"HTTP/1.1 200 OK\r\n", "Id: 1\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"foreign body":            {foreign + "\r\n", "x"},
		"foreign chunks":          {foreign + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nshort\r\n"},
		"bytes":                   {"", "\x00"},
	} {
		var sent atomic.Int64
		s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, raw.start)
			piece := []byte(strings.Repeat(raw.repeated, 4096/len(raw.repeated)))
			for sent.Load() < 64<<20 {
				n, err := c.Write(piece)
				sent.Add(int64(n))
				if err != nil {
					break // the daemon has closed the connection
				}
			}
			return false
		})
		if got, err := do(t, newClient(t), s, newRequest("1")); !errors.Is(err, courier.ErrInvalid) {
			t.Errorf("%s: %q, %v, want ErrInvalid", name, got, err)
		}
		if n := sent.Load(); n >= 64<<20 {
			t.Errorf("%s: the connection was still open after %d bytes", name, n)
		}
	}
}

// A target may respond before it has read a long body. Guards against reuse of the
// connection, on which the rest of the body would take the place of the next request.
func TestEarlyResponseToALongBody(t *testing.T) {
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
				writeResponse(c, "1", "early")
				_, _ = io.Copy(io.Discard, reader)
			}()
		}
	}()
	c := newClient(t)
	request := newRequest("1")
	request.Body = bytes.Repeat([]byte("x"), 64<<20) // more than the socket buffers hold
	for range 2 {
		if got, err := do(t, c, &testTarget{address: l.Addr().String()}, request); got != "early" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if connections.Load() != 2 {
		t.Errorf("%d connections for two requests", connections.Load())
	}
}

// Guards against targets that keep working on a request that was cancelled.
func TestCancelClosesTheConnection(t *testing.T) {
	closed, started := make(chan struct{}), make(chan struct{})
	s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		close(started)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	c := newClient(t)
	go func() {
		_, err := c.Do(ctx, courier.Target{ID: "t", Address: s.address}, newRequest("1"))
		failed <- err
	}()
	<-started
	cancel()
	<-closed
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

// Guards against taking an informational response (1xx) for the final one.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		writeResponse(c, "1", "final")
		return true
	})
	if got, err := do(t, newClient(t), s, newRequest("1")); got != "final" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against reuse of a connection that the target closes after the response or
// after its Keep-Alive timeout, and against no reuse of the others.
func TestConnectionsAreReusedWithinTheirIdleTimeout(t *testing.T) {
	s := startTarget(t, func(_ int64, c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"), r.Header.Get("Answer"))
		return true
	})
	for name, tc := range map[string]struct {
		header string
		reused bool
	}{
		"no timeout": {"X: y", true}, "long": {"Keep-Alive: timeout=60, max=5", true},
		"too short": {"Keep-Alive: timeout=0", false}, "close": {"Connection: close", false},
	} {
		c := newClient(t)
		request := newRequest("1")
		request.Header = http.Header{"Id": {"1"}, "Answer": {tc.header}}
		for range 2 {
			if _, err := do(t, c, s, request); err != nil {
				t.Fatal(name, err)
			}
		}
		if reused := c.Stats.Reuses.Load() == 1; reused != tc.reused {
			t.Errorf("%s: reused %t", name, reused)
		}
	}
}

// Guards against header injection through values with line breaks.
func TestHeaderValuesCannotAddFields(t *testing.T) {
	seen := make(chan http.Header, 1)
	s := startTarget(t, func(_ int64, c net.Conn, r *http.Request) bool {
		seen <- r.Header
		writeResponse(c, "1", "")
		return true
	})
	request := newRequest("1")
	request.Header = http.Header{"Id": {"1"}, "X-Note": {"a\r\nInjected: yes"}}
	if _, err := do(t, newClient(t), s, request); err != nil {
		t.Fatal(err)
	}
	if h := <-seen; h.Get("Injected") != "" || !strings.Contains(h.Get("X-Note"), "Injected") {
		t.Errorf("header %v", h)
	}
}

// Guards against a refusal of an earlier request that its target writes once more on a kept
// connection and that counts for the next request, which has run or is running.
func TestRepeatedRefusalIsNotTakenForAnAnswer(t *testing.T) {
	for name, refusal := range map[string]string{
		"without an ID":            "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"with that of its request": "HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(n int64, c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, refusal)
				if n > 1 {
					writeResponse(c, r.Header.Get("Id"), "whole")
				}
				return true
			})
			client := newClient(t)
			if _, err := do(t, client, s, newRequest("1")); err != nil {
				t.Fatal(err)
			}
			got, err := do(t, client, s, newRequest("2"))
			if s.connections.Load() != 1 {
				t.Fatal("the connection was not kept")
			}
			if got != "whole" && !errors.Is(err, courier.ErrInvalid) {
				t.Errorf("body %q, error %v; want the answer of the second request or ErrInvalid", got, err)
			}
		})
	}
}

// Guards against DRAIN of 2026-12-05: a request is written to a target that has begun to
// leave since it was chosen, or the connection is lost with the request.
func TestWithdrawnRequestIsNotWritten(t *testing.T) {
	s := startTarget(t, func(_ int64, c net.Conn, r *http.Request) bool {
		writeResponse(c, r.Header.Get("Id"), "whole")
		return true
	})
	client := newClient(t)
	for i, may := range []bool{false, true, false, true} {
		r := newRequest(fmt.Sprint(i))
		r.MaySend = func() bool { return may }
		_, err := do(t, client, s, r)
		if may && err != nil || !may && (!errors.Is(err, courier.ErrWithdrawn) || !errors.Is(err, courier.ErrNotSent)) {
			t.Errorf("request %d: error %v", i, err)
		}
	}
	if connections, requests := s.connections.Load(), s.requests.Load(); connections != 1 || requests != 2 {
		t.Errorf("%d connections and %d requests, want 1 and 2", connections, requests)
	}
}
