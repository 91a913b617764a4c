package gateway

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoondeck.example/gateway/shedder"
)

// waitFor waits until a condition holds.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against closing a connection other than the longest idle one, and against
// connections that are counted wrongly after that.
func TestLongestIdleConnectionIsClosedFirst(t *testing.T) {
	s := startMeteredServer(t)
	first, second, third := s.connect(t, true), s.connect(t, true), s.connect(t, true)
	s.exchange(t, first) // now the second one has been idle for longest
	waitFor(func() bool { return s.connections.occupancy().Idle == 3 })
	if !s.connections.closeLongestIdle() {
		t.Fatal("no connection was closed")
	}
	if _, err := second.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read from the longest idle connection: %v, want its end", err)
	}
	waitFor(func() bool { o := s.connections.occupancy(); return o.Open == 2 && o.Idle == 2 && o.Closing == 0 })
	s.exchange(t, first)
	s.exchange(t, third)
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
	accepted, err := newTestMeter().Listener(l, l.(*net.TCPListener)).Accept()
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

// fakeConn is a connection of which a part of a request may have been read.
type fakeConn struct {
	net.Conn
	begun, ended bool
}

func (c *fakeConn) HasBegun() bool { return c.begun }

func (c *fakeConn) EndIdle() bool {
	c.ended = c.ended || !c.begun
	return !c.begun
}

// Guards against a host that refuses all new connections because callers that send nothing
// fill it, and against ending a header that arrives slowly.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const limit = 4
	connections := newConnectionTracker()
	gate := newConnectionGate(limit, connections, func() time.Duration { return time.Second }, slog.New(slog.DiscardHandler))
	open := make([]*fakeConn, limit)
	for i := range open {
		open[i] = &fakeConn{begun: i == 0}
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
	if !connections.closeLongestIdle() || !open[2].ended || connections.closeLongestIdle() {
		t.Error("want exactly the silent connection to be closed")
	}
	for _, c := range open {
		connections.track(c, http.StateClosed)
	}
	if o := connections.occupancy(); o != (shedder.Occupancy{}) || connections.fresh.Len() != 0 {
		t.Errorf("%+v and %d new connections after all were closed", o, connections.fresh.Len())
	}
}

// Guards against a full host that refuses new connections because callers send a part of a
// request on connections that count as idle.
func TestBegunRequestsDoNotKeepIdleConnectionsOpen(t *testing.T) {
	connections := newConnectionTracker()
	open := make([]*fakeConn, 2*maxSkippedIdle+1)
	for i := range open {
		open[i] = &fakeConn{begun: i < 2*maxSkippedIdle}
		connections.track(open[i], http.StateNew)
		connections.track(open[i], http.StateIdle)
	}
	last := open[len(open)-1]
	if !connections.closeLongestIdle() || !last.ended {
		t.Fatal("the idle connection was not closed")
	}
	if o := connections.occupancy(); o.Idle != 0 || o.Closing != 1 {
		t.Errorf("%+v, want no idle connection and one that closes", o)
	}
	last.begun = true // a byte arrived before it closed
	connections.closeIdle(0)
	if o := connections.occupancy(); o.Closing != 0 {
		t.Errorf("%+v: a connection with a request counts as one that closes", o)
	}
	connections.track(last, http.StateActive)
	connections.track(last, http.StateIdle)
	if o := connections.occupancy(); o.Idle != 1 {
		t.Errorf("%+v, want one idle connection after its response", o)
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
