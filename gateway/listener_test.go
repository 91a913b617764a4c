package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"monsoondeck.example/gateway/refuser"
)

// maxHeldInTest is the largest number of connections that a listener holds in tests.
const maxHeldInTest = 8

// startShedding returns a listener that treats its connections as decided, and keeps
// the later ones.
func startShedding(t *testing.T, decisions ...shedding) *sheddingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	shed := func() shedding {
		if len(decisions) == 0 {
			return keepConnection
		}
		next := decisions[0]
		decisions = decisions[1:]
		return next
	}
	s := newSheddingListener(l, shed, refuser.New([][]byte{[]byte(refusal)}, 100, func() time.Duration { return time.Since(start) }, nil), maxHeldInTest)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Load: many callers of one account at an overloaded host. Guards against callers
// without an answer, against an answer that is lost because the rest of a long request
// arrives after it, and against refusing a connection that should be kept.
func TestListenerAnswersRefusedConnections(t *testing.T) {
	const callers, kept = 20, 3
	decisions := make([]shedding, callers-kept)
	for i := range decisions {
		decisions[i] = refuseConnection
	}
	s := startShedding(t, decisions...)
	var all []net.Conn
	for range callers {
		all = append(all, dial(t, s))
	}
	for range kept {
		c, err := s.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "kept"); err != nil {
			t.Error(err)
		}
	}
	if n := s.refusedCount.Load(); n != callers-kept {
		t.Errorf("%d connections were refused, want %d", n, callers-kept)
	}
	body := make([]byte, 64<<10)
	for i, c := range all {
		if i >= callers-kept {
			if n, err := io.ReadFull(c, make([]byte, 4)); err != nil {
				t.Errorf("caller %d read %d bytes of a kept connection: %v", i, n, err)
			}
			continue
		}
		if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
			t.Error(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("caller %d got %v, %v, want status 503", i, response, err)
			continue
		}
		_ = response.Body.Close()
		if _, err := c.Write(body); err != nil {
			t.Errorf("caller %d could not send its body after the answer: %v", i, err)
		}
	}
}

// Guards against a decision without a connection, which counts as the arrival of one and may
// close an idle connection for it.
func TestEachConnectionIsDecidedOnce(t *testing.T) {
	const refused = 5
	s := startShedding(t, slices.Repeat([]shedding{refuseConnection}, refused)...)
	accepted := make(chan net.Conn, refused+1)
	go func() {
		for {
			c, err := s.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for i := range refused {
		c := dial(t, s)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		answered := make(chan error, 1)
		go func() {
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			answered <- err
		}()
		select {
		case err := <-answered:
			if err != nil {
				t.Fatal(err)
			}
		case <-accepted:
			t.Fatalf("connection %d was kept: its decision was used up without a connection", i)
		}
	}
	dial(t, s)
	_ = (<-accepted).Close()
}

// Load: a burst of connections that are all refused, on a host with one processor. Guards
// against requests in progress that wait until the whole burst has been refused.
func TestBurstOfRefusalsLetsOthersRun(t *testing.T) {
	const burst = 400
	s := startShedding(t, slices.Repeat([]shedding{refuseConnection}, burst)...)
	for range burst {
		dial(t, s)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var longest, last int64
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			refused := s.refusedCount.Load()
			longest, last = max(longest, refused-last), refused
			runtime.Gosched()
		}
	})
	go func() { _, _ = s.Accept() }()
	for s.refusedCount.Load() < burst {
		runtime.Gosched()
	}
	close(done)
	group.Wait()
	if longest > 2*maxRefusalsInARow {
		t.Errorf("%d connections were refused in a row, want at most %d", longest, maxRefusalsInARow)
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

// Guards against an incomplete response without a length that ends like a complete one.
func TestResetOnCloseShowsThatAResponseIsIncomplete(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		resetOnClose(r)
		panic(http.ErrAbortHandler)
	}))
	server.Config.ConnContext = withConnection
	server.Start()
	defer server.Close()
	c := dial(t, server.Listener)
	if _, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the response ends with %v, want a reset", err)
	}
}

// Guards against a request that is lost because it waits unread on a busy host while its
// connection counts as idle for too long, as after a shorter idle timeout is configured.
func TestIdleConnectionWithAnUnreadRequestIsKept(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	metered := newTestMeter().Listener(l, l.(*net.TCPListener))
	connect := func() (caller, accepted net.Conn) {
		caller, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err = metered.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
		return caller, accepted
	}
	caller, waiting := connect()
	_, unused := connect()
	if _, err := io.WriteString(caller, "GET"); err != nil {
		t.Fatal(err)
	}
	for !hasUnread(waiting) {
		time.Sleep(time.Millisecond)
	}
	connections := newConnectionTracker()
	connections.track(waiting, http.StateIdle)
	connections.track(unused, http.StateIdle)
	connections.closeIdle(time.Nanosecond)
	data := make([]byte, 3)
	if _, err := io.ReadFull(waiting, data); err != nil || string(data) != "GET" {
		t.Errorf("read %q, error %v from the connection with an unread request", data, err)
	}
	if _, err := unused.Read(data); err == nil {
		t.Error("the server still waits for a request on the unused connection")
	}
}

// Load: callers that give up while they wait for a host that is behind. Guards against FAIR: the
// host reads and serves the requests of those that left, oldest first, while the callers that
// still wait leave one after the other.
func TestListenerDropsConnectionsOfCallersThatLeft(t *testing.T) {
	const left = 50
	s := startShedding(t)
	for i := range left {
		c := dial(t, s)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			if err := c.(*net.TCPConn).SetLinger(0); err != nil { // closes with a reset
				t.Fatal(err)
			}
		}
		_ = c.Close()
	}
	waiting := dial(t, s)
	c, err := s.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if c.RemoteAddr().String() != waiting.LocalAddr().String() {
		t.Error("the first connection that is accepted is one whose caller has left")
	}
	if n := s.leftCount.Load(); n != left {
		t.Errorf("%d connections count as left, want %d", n, left)
	}
}

// Load: more callers than a host can serve or refuse. Guards against FAIR: in the order of arrival
// each caller waits until it is about to leave, so that the host serves none in time.
func TestListenerServesTheNewestCallerFirst(t *testing.T) {
	s := startShedding(t, holdConnection, holdConnection, holdConnection)
	first, second, newest := dial(t, s), dial(t, s), dial(t, s)
	_ = second.Close()
	for _, caller := range []net.Conn{newest, first} {
		c, err := s.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if c.RemoteAddr().String() != caller.LocalAddr().String() {
			t.Errorf("got the connection of %v, want that of %v", c.RemoteAddr(), caller.LocalAddr())
		}
	}
	if n := s.leftCount.Load(); n != 1 {
		t.Errorf("%d connections count as left, want 1", n)
	}
}

// Load: more callers than a host may hold. Guards against callers that are lost: those beyond
// the limit wait in the kernel until the host gets to them.
func TestListenerLosesNoHeldConnection(t *testing.T) {
	const callers = 3 * maxHeldInTest
	s := startShedding(t, slices.Repeat([]shedding{holdConnection}, 2*callers)...)
	for range callers {
		dial(t, s)
	}
	served := map[string]bool{}
	for range callers {
		c, err := s.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		served[c.RemoteAddr().String()] = true
	}
	if len(served) != callers {
		t.Errorf("%d of %d callers were served", len(served), callers)
	}
}

// Guards against a held connection that waits for good: the host has decided to serve the next
// one, whose caller has left, and no other comes.
func TestHeldConnectionIsServedIfTheNextOneHasLeft(t *testing.T) {
	s := startShedding(t, holdConnection)
	waiting := dial(t, s)
	decided := make(chan struct{})
	decide, decisions := s.shed, 0
	var gone net.Conn
	s.shed = func() shedding {
		if decisions++; decisions == 2 { // held, and not decided about again yet
			gone = dial(t, s)
			_ = gone.Close()
			close(decided)
			return holdConnection
		}
		return decide()
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := s.Accept(); err == nil {
			accepted <- c
		}
	}()
	<-decided
	select {
	case c := <-accepted:
		if c.RemoteAddr().String() != waiting.LocalAddr().String() {
			t.Error("the connection of a caller that has left was served")
		}
		_ = c.Close()
	case <-time.After(5 * time.Second):
		t.Error("the held connection was not served")
	}
}

// Guards against LOST: a daemon that stops reads the request of a connection that it holds and
// ends.
func TestClosedListenerRefusesHeldConnections(t *testing.T) {
	s := startShedding(t, slices.Repeat([]shedding{holdConnection}, 100)...)
	waiting := dial(t, s)
	if _, err := io.WriteString(waiting, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := s.Accept()
		ended <- err
	}()
	time.Sleep(4 * holdInterval)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept returned %v, want net.ErrClosed", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the held caller got %v, %v, want status 503", response, err)
	}
}

// Guards against callers that do not leave and are held until their deadline.
func TestHeldConnectionIsRefusedInTime(t *testing.T) {
	s := startShedding(t, slices.Repeat([]shedding{holdConnection}, 10_000)...)
	waiting := dial(t, s)
	if _, err := io.WriteString(waiting, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = s.Accept() }()
	start := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the held caller got %v, %v, want status 503", response, err)
	}
	if held := time.Since(start); held < maxHeldTime/2 || held > 3*maxHeldTime {
		t.Errorf("the connection was held for %v, want about %v", held, maxHeldTime)
	}
}

// Load: more callers than may wait to be accepted. Guards against FAIR: a host that is behind
// accepts callers in the order of arrival, each when it is about to leave.
func TestListenerLimitsPendingConnections(t *testing.T) {
	const limit = 4
	s := startShedding(t)
	if err := s.limitPending(limit); err != nil {
		t.Fatal(err)
	}
	connected := 0
	for range 3 * limit {
		if c, err := net.DialTimeout("tcp", s.Addr().String(), 50*time.Millisecond); err == nil {
			connected++
			defer func() { _ = c.Close() }()
		}
	}
	if connected < limit || connected > limit+1 {
		t.Errorf("%d callers are connected, want %d", connected, limit)
	}
}
