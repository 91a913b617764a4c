package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Load: more callers than a small host can answer. New connections are closed
// unread while it is busy and accepted again after.
func TestBusyHostClosesNewConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	busy := make(chan bool, 2)
	busy <- true
	busy <- false
	g := &guard{Listener: l, refuse: func() bool { return <-busy }}
	defer func() { _ = g.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := g.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	first, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("the first connection is open")
	}
	second, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	defer func() { _ = (<-accepted).Close() }()
	if g.closed.Load() != 1 {
		t.Errorf("%d connections closed", g.closed.Load())
	}
}

// Load: many callers wait to be accepted by a busy host. Guards against closing one
// that was to be kept, and against closing others than those decided on.
func TestWaitingConnectionsAreClosedAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers, kept = 20, 3
	refused := 0
	g := &guard{Listener: l, refuse: func() bool {
		if refused == callers-kept {
			return false
		}
		refused++
		return true
	}}
	defer func() { _ = g.Close() }()
	var all []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		all = append(all, c)
	}
	for range kept {
		c, err := g.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "kept"); err != nil {
			t.Error(err)
		}
		defer func() { _ = c.Close() }()
	}
	if n := g.closed.Load(); n != callers-kept {
		t.Errorf("%d connections closed, want %d", n, callers-kept)
	}
	for i, c := range all {
		n, err := c.Read(make([]byte, 4))
		if kept := i >= callers-kept; kept != (err == nil && n == 4) {
			t.Errorf("caller %d: %d bytes, %v", i, n, err)
		}
	}
}

// Guards against callers that are taken for gone, and against not seeing that
// one has gone.
func TestCallerLeftIsSeenOnTheSocket(t *testing.T) {
	seen, closed := make(chan bool, 2), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen <- callerLeft(r)
		<-closed
		<-r.Context().Done() // the close has arrived
		seen <- callerLeft(r)
	}))
	server.Config.ConnContext = withConnection
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	if <-seen {
		t.Error("a caller that waits is taken for gone")
	}
	_ = c.Close()
	close(closed)
	if !<-seen {
		t.Error("a caller that left is not seen")
	}
}

// Guards against a process that runs out of descriptors and accepts nobody.
func TestConnectionsOfCallersAreBounded(t *testing.T) {
	g := &Gateway{callers: &server{idle: map[net.Conn]time.Time{}}}
	g.settings.Descriptors = 10
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	for range 4 {
		if g.crowded() {
			t.Fatalf("crowded at %d connections", g.callers.count())
		}
		g.callers.track(a, http.StateNew)
	}
	if !g.crowded() {
		t.Error("four of ten descriptors leave nothing for targets")
	}
	g.callers.track(a, http.StateClosed)
	if g.crowded() {
		t.Error("a closed connection counts")
	}
}
