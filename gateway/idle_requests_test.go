package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/meter"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
)

// heldListener accepts connections whose reads can be observed and held.
type heldListener struct {
	*net.TCPListener
	// started is the number of reads that have begun.
	started atomic.Int64
	// received is called after a read of data, before it returns.
	received atomic.Pointer[func()]
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: c, listener: l}, nil
}

// heldConn is a connection of a heldListener.
type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	c.listener.started.Add(1)
	n, err := c.TCPConn.Read(p)
	if received := c.listener.received.Load(); n > 0 && received != nil {
		(*received)()
	}
	return n, err
}

// holdNext holds the next read that returns data until release is closed, and returns a
// channel that is closed once it has the data.
func (l *heldListener) holdNext(release <-chan struct{}) <-chan struct{} {
	read := make(chan struct{})
	received := func() {
		l.received.Store(nil)
		close(read)
		<-release
	}
	l.received.Store(&received)
	return read
}

// newTestMeter returns a meter without limits.
func newTestMeter() *meter.Meter {
	return meter.New(meter.Options{
		Memory: limiter.NewAdmission(limiter.AdmissionSettings{}), Limits: func() resolver.Limits { return resolver.Limits{} },
		Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, OnClose: func(meter.Reason, net.Addr) {},
		Refusal: func(int) []byte {
			return []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		},
	})
}

// meteredServer is an HTTP server whose connections are metered and tracked as those of
// callers.
type meteredServer struct {
	listener    *heldListener
	connections *connectionTracker
	server      *server
	// handle, if any, is called for each request, and idle each time a connection has become
	// idle.
	handle, idle func()
}

func startMeteredServer(t *testing.T) *meteredServer {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket := inner.(*net.TCPListener)
	s := &meteredServer{listener: &heldListener{TCPListener: socket}, connections: newConnectionTracker(), handle: func() {}, idle: func() {}}
	m := newTestMeter()
	s.server = &server{listener: m.Listener(s.listener, socket), connections: s.connections}
	s.server.http = &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { s.handle() }),
		ConnState: m.TrackState(func(c net.Conn, state http.ConnState) {
			s.connections.track(c, state)
			if state == http.StateIdle {
				s.idle()
			}
		}),
		ReadHeaderTimeout: meter.HeaderStartTimeout, MaxHeaderBytes: meter.MaxHeaderBytes,
	}
	go func() { _ = s.server.run() }() // ends with Close
	t.Cleanup(func() { _ = s.server.http.Close() })
	return s
}

// connect opens a connection that counts as idle, after one request or as a new one.
func (s *meteredServer) connect(t *testing.T, used bool) *bufio.ReadWriter {
	t.Helper()
	c := dial(t, s.listener)
	caller := bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriter(c))
	idle := s.connections.occupancy().Idle
	if used {
		s.exchange(t, caller)
	} else {
		waitFor(func() bool { return s.connections.occupancy().Open == 1 && s.listener.started.Load() == 1 })
		s.connections.mutex.Lock()
		e := s.connections.fresh.Front()
		e.Value = idleConnection{connection: idleOf(e).connection, since: time.Now().Add(-silentTime)}
		s.connections.mutex.Unlock()
	}
	waitFor(func() bool { return s.connections.occupancy().Idle == idle+1 })
	return caller
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func (s *meteredServer) send(t *testing.T, caller *bufio.ReadWriter, data string) {
	t.Helper()
	if _, err := caller.WriteString(data); err != nil {
		t.Fatal(err)
	}
	if err := caller.Flush(); err != nil {
		t.Fatal(err)
	}
}

func (s *meteredServer) wantAnswer(t *testing.T, caller *bufio.ReadWriter) {
	t.Helper()
	response, err := http.ReadResponse(caller.Reader, nil)
	if err != nil {
		t.Fatalf("no answer to a request that was read: %v", err)
	}
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, want 200", response.StatusCode)
	}
}

// exchange sends a request and waits for the answer.
func (s *meteredServer) exchange(t *testing.T, caller *bufio.ReadWriter) {
	t.Helper()
	s.send(t, caller, request)
	s.wantAnswer(t, caller)
}

// Guards against a request that the server has read, in whole or in part, and that gets no
// answer since its connection still counted as idle and was closed.
func TestRequestReadOnAnIdleConnectionIsAnswered(t *testing.T) {
	closes := map[string]func(*connectionTracker){
		"idle for too long":          func(c *connectionTracker) { c.closeIdle(time.Nanosecond) },
		"room for another":           func(c *connectionTracker) { c.closeLongestIdle() },
		"room, then idle timeout":    func(c *connectionTracker) { c.closeLongestIdle(); c.closeIdle(time.Nanosecond) },
		"room, then no idle timeout": func(c *connectionTracker) { c.closeLongestIdle(); c.closeIdle(0) },
	}
	for reason, closeConnection := range closes {
		for name, c := range map[string]struct {
			used bool
			// first is the part of the request that is read before the connection is closed.
			first string
			// held is set if the read has not returned yet by then.
			held bool
		}{
			"whole":                        {true, request, true},
			"part":                         {true, request[:20], false},
			"part, not returned":           {true, request[:20], true},
			"one byte":                     {true, request[:1], false},
			"whole, new connection":        {false, request, true},
			"part, new connection":         {false, request[:20], false},
			"not returned, new connection": {false, request[:20], true},
		} {
			t.Run(reason+"/"+name, func(t *testing.T) {
				s := startMeteredServer(t)
				caller := s.connect(t, c.used)
				release := make(chan struct{})
				if !c.held {
					close(release)
				}
				read := s.listener.holdNext(release)
				started := s.listener.started.Load()
				s.send(t, caller, c.first)
				<-read
				if c.held {
					closeConnection(s.connections)
					close(release)
				} else {
					waitFor(func() bool { return s.listener.started.Load() > started })
					closeConnection(s.connections)
				}
				s.send(t, caller, request[len(c.first):])
				s.wantAnswer(t, caller)
				waitFor(func() bool { o := s.connections.occupancy(); return o.Idle == 1 && o.Closing == 0 })
				s.exchange(t, caller)
				waitFor(func() bool { return s.connections.occupancy().Idle == 1 })
				s.connections.closeIdle(time.Nanosecond)
				if _, err := caller.ReadByte(); err != io.EOF {
					t.Errorf("read from an idle connection: %v, want its end", err)
				}
			})
		}
	}
}

// Guards against a request that gets no answer since the server has read it, in whole or in
// part, together with an earlier one, and closes the connection as idle after that one.
func TestRequestReadWithAnEarlierOneIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		// ahead is the part of the second request that arrives with the first one, during that
		// what arrives while the first one is served.
		ahead, during string
	}{
		"whole":               {request, ""},
		"part":                {request[:20], ""},
		"whole, while served": {"", request},
		"byte, while served":  {"", request[:1]},
	} {
		t.Run(name, func(t *testing.T) {
			s := startMeteredServer(t)
			entered, serve := make(chan struct{}, 2), make(chan struct{})
			s.handle = func() { entered <- struct{}{}; <-serve }
			var closed atomic.Bool
			s.idle = func() {
				if !closed.Swap(true) {
					s.connections.closeIdle(time.Nanosecond)
				}
			}
			conn := dial(t, s.listener)
			caller := bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriter(conn))
			s.send(t, caller, request+c.ahead)
			<-entered
			if c.during != "" {
				released := make(chan struct{})
				close(released)
				read := s.listener.holdNext(released)
				s.send(t, caller, c.during)
				<-read
			}
			close(serve)
			s.wantAnswer(t, caller)
			waitFor(closed.Load)
			s.send(t, caller, request[len(c.ahead+c.during):])
			s.wantAnswer(t, caller)
		})
	}
}
