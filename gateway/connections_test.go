package gateway

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"monsoondeck.example/gateway/shedder"
)

// idleServer is an HTTP server whose connections are tracked.
type idleServer struct {
	server      *httptest.Server
	connections *connectionTracker
}

func startIdleServer(t *testing.T) *idleServer {
	t.Helper()
	s := &idleServer{connections: newConnectionTracker()}
	s.server = httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.server.Config.ConnState = s.connections.track
	s.server.Start()
	t.Cleanup(s.server.Close)
	return s
}

// waitFor waits until a condition holds.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// connect opens a connection, sends one request on it and waits until it is idle.
func (s *idleServer) connect(t *testing.T) net.Conn {
	t.Helper()
	idle := s.connections.occupancy().Idle
	c, err := net.Dial("tcp4", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	s.request(t, c)
	waitFor(func() bool { return s.connections.occupancy().Idle == idle+1 })
	return c
}

func (s *idleServer) request(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatal(response, err)
	}
}

// Guards against closing a connection other than the longest idle one, and against
// connections that are counted wrongly after that.
func TestLongestIdleConnectionIsClosedFirst(t *testing.T) {
	s := startIdleServer(t)
	first, second, third := s.connect(t), s.connect(t), s.connect(t)
	s.request(t, first) // now the second one has been idle for longest
	waitFor(func() bool { return s.connections.occupancy().Idle == 3 })
	if !s.connections.closeLongestIdle() {
		t.Fatal("no connection was closed")
	}
	if _, err := second.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read from the longest idle connection: %v, want its end", err)
	}
	waitFor(func() bool { o := s.connections.occupancy(); return o.Open == 2 && o.Idle == 2 && o.Closing == 0 })
	s.request(t, first)
	s.request(t, third)
}

// Guards against closing a connection whose request has arrived but has not been read.
func TestConnectionWithAnUnreadRequestMakesNoRoom(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	if _, err := io.WriteString(caller, "GET"); err != nil {
		t.Fatal(err)
	}
	waitFor(func() bool { return hasUnread(accepted) })
	connections := newConnectionTracker()
	connections.track(accepted, http.StateNew)
	connections.track(accepted, http.StateIdle)
	if connections.closeLongestIdle() {
		t.Error("a connection with an unread request was closed")
	}
}

// deadlineConn records the last read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a request that is cancelled since its connection was told to close just
// before the HTTP server reported that it had read the request.
func TestRequestBeginsWithoutTheDeadlineOfAnIdleConnection(t *testing.T) {
	connections := newConnectionTracker()
	c := &deadlineConn{}
	connections.track(c, http.StateNew)
	connections.track(c, http.StateIdle)
	if !connections.closeLongestIdle() || c.deadline.IsZero() {
		t.Fatal("the idle connection was not told to close")
	}
	connections.track(c, http.StateActive)
	if !c.deadline.IsZero() {
		t.Errorf("the request begins with the read deadline %v", c.deadline)
	}
}

// begunConn is a connection of which a part of a header may have been read.
type begunConn struct {
	deadlineConn
	begun bool
}

func (c *begunConn) HasBegun() bool { return c.begun }

// Guards against a host that refuses all new connections because callers that send nothing
// fill it, and against ending a header that arrives slowly.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const limit = 4
	connections := newConnectionTracker()
	gate := newConnectionGate(limit, connections, func() time.Duration { return time.Second }, slog.New(slog.DiscardHandler))
	open := make([]*begunConn, limit)
	for i := range open {
		open[i] = &begunConn{begun: i == 0}
		connections.track(open[i], http.StateNew)
	}
	if gate.admit() != refuseConnection {
		t.Fatal("a connection was closed before its caller could send a request")
	}
	// All but the last one have been open for long enough to be taken for silent.
	for e := connections.fresh.Front(); e != connections.fresh.Back(); e = e.Next() {
		e.Value = idleConnection{connection: idleOf(e).connection, since: time.Now().Add(-silentTime)}
	}
	if o := connections.occupancy(); o.Open != limit || o.Idle != 2 {
		t.Fatalf("%d of %d connections count as idle, want the 2 that sent nothing for a while", o.Idle, o.Open)
	}
	connections.track(open[1], http.StateActive)
	if o := connections.occupancy(); o.Idle != 1 {
		t.Fatalf("%d connections count as idle after one of them sent a request, want 1", o.Idle)
	}
	if !connections.closeLongestIdle() || open[2].deadline.IsZero() || connections.closeLongestIdle() {
		t.Error("want exactly the silent connection to be closed")
	}
	for _, c := range open {
		connections.track(c, http.StateClosed)
	}
	if o := connections.occupancy(); o != (shedder.Occupancy{}) || connections.fresh.Len() != 0 {
		t.Errorf("%+v and %d new connections after all were closed", o, connections.fresh.Len())
	}
}

// Guards against a process that runs out of file descriptors and can accept no
// connection, and against closed connections that count.
func TestCallerConnectionsAreLimited(t *testing.T) {
	const limit = 4
	connections := newConnectionTracker()
	gate := newConnectionGate(limit, connections, func() time.Duration { return time.Second }, slog.New(slog.DiscardHandler))
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	for i := range limit {
		if gate.admit() != keepConnection {
			t.Fatalf("a connection was refused at %d open ones", i)
		}
		connections.track(a, http.StateNew)
	}
	if gate.admit() != refuseConnection || gate.ready() {
		t.Error("a full host keeps a connection or says that it is ready")
	}
	connections.track(a, http.StateClosed)
	if gate.admit() != keepConnection {
		t.Error("a closed connection counts towards the limit")
	}
}
