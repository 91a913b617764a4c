package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Load: more callers than a small host can answer. Guards against new connections
// that stay open while the host is overloaded, and against refusing them after
// that.
func TestListenerShedsConnectionsWhileOverloaded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	shed := make(chan bool, 2)
	shed <- true
	shed <- false
	s := &sheddingListener{Listener: l, shed: func() bool { return <-shed }}
	defer func() { _ = s.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := s.Accept()
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
		t.Error("the first connection was not closed")
	}
	second, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	defer func() { _ = (<-accepted).Close() }()
	if s.shedCount.Load() != 1 {
		t.Errorf("%d connections were closed, want 1", s.shedCount.Load())
	}
}

// Load: many connections in the accept queue of an overloaded host. Guards against
// closing a connection that should be kept, and against closing more connections
// than decided.
func TestListenerShedsPendingConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers, kept = 20, 3
	shedCount := 0
	s := &sheddingListener{Listener: l, shed: func() bool {
		if shedCount == callers-kept {
			return false
		}
		shedCount++
		return true
	}}
	defer func() { _ = s.Close() }()
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
		c, err := s.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "kept"); err != nil {
			t.Error(err)
		}
		defer func() { _ = c.Close() }()
	}
	if n := s.shedCount.Load(); n != callers-kept {
		t.Errorf("%d connections were closed, want %d", n, callers-kept)
	}
	for i, c := range all {
		n, err := c.Read(make([]byte, 4))
		if kept := i >= callers-kept; kept != (err == nil && n == 4) {
			t.Errorf("caller %d read %d bytes with error %v", i, n, err)
		}
	}
}

// Guards against reporting waiting callers as gone, and against missing that a
// caller closed its connection.
func TestCallerLeftDetectsClosedConnection(t *testing.T) {
	left, closed := make(chan bool, 2), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		left <- callerLeft(r)
		<-closed
		<-r.Context().Done() // the close has arrived
		left <- callerLeft(r)
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
	if <-left {
		t.Error("callerLeft reports a waiting caller as gone")
	}
	_ = c.Close()
	close(closed)
	if !<-left {
		t.Error("callerLeft does not report a caller that closed its connection")
	}
}

// Guards against a process that runs out of file descriptors and can accept no
// connection.
func TestCallerConnectionsAreLimited(t *testing.T) {
	g := &Gateway{callerServer: &server{idle: map[net.Conn]time.Time{}}}
	g.settings.Descriptors = 10
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	for range 4 {
		if g.atConnectionLimit() {
			t.Fatalf("the limit was reached at %d connections", g.callerServer.openConnections())
		}
		g.callerServer.track(a, http.StateNew)
	}
	if !g.atConnectionLimit() {
		t.Error("the limit was not reached at 4 connections with 10 descriptors")
	}
	g.callerServer.track(a, http.StateClosed)
	if g.atConnectionLimit() {
		t.Error("a closed connection counts towards the limit")
	}
}
