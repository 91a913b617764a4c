package meter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
)

// deadlineConn records the last read deadline.
type deadlineConn struct {
	scriptedConn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a request that is cancelled since its connection was told to close just
// before the first byte was read or the HTTP server reported that it had read the request.
func TestRequestBeginsWithoutTheDeadlineOfAnIdleConnection(t *testing.T) {
	m := New(Options{Memory: limiter.NewAdmission(limiter.AdmissionSettings{}), Clock: clock, Limits: func() resolver.Limits { return resolver.Limits{} }})
	for name, read := range map[string]bool{"read": true, "read together with an earlier one": false} {
		inner := &deadlineConn{scriptedConn: scriptedConn{parts: []string{"GET / HTTP/1.1\r\n\r\n"}}}
		c := m.wrap(inner)
		if !c.EndIdle() || inner.deadline.IsZero() {
			t.Fatalf("%s: the idle connection was not told to close", name)
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil || inner.deadline.IsZero() {
			t.Fatalf("%s: the HTTP server waits for a request after it was told to close, error %v", name, err)
		}
		if read {
			if _, err := c.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		c.setState(http.StateActive)
		if !inner.deadline.IsZero() {
			t.Errorf("%s: the request begins with the read deadline %v", name, inner.deadline)
		}
		if c.EndIdle() || !inner.deadline.IsZero() {
			t.Errorf("%s: a connection with a request counts as idle", name)
		}
		c.setState(http.StateIdle)
		if !c.EndIdle() {
			t.Errorf("%s: the connection does not count as idle after the response", name)
		}
	}
}

// Guards against a request that arrives while its connection is told to close, and is
// dropped though the server has not closed it yet.
func TestRequestThatArrivesBeforeTheConnectionClosesIsRead(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	m := New(Options{Memory: limiter.NewAdmission(limiter.AdmissionSettings{}), Clock: clock, Limits: func() resolver.Limits { return resolver.Limits{} }})
	caller, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	accepted, err := m.Listener(l, l.(*net.TCPListener)).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	c := accepted.(*Conn)
	if !c.EndIdle() {
		t.Fatal("the idle connection was not told to close")
	}
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	for arrived := false; !arrived; {
		arrived = unread(t, c) > 0
	}
	buffer := make([]byte, 100)
	if n, err := c.Read(buffer); err != nil || string(buffer[:n]) != "GET / HTTP/1.1\r\n" {
		t.Fatalf("read %q, error %v", buffer[:n], err)
	}
	if _, err := io.WriteString(caller, "\r\n"); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(buffer); err != nil || string(buffer[:n]) != "\r\n" {
		t.Errorf("read %q, error %v for the rest of the header", buffer[:n], err)
	}
}

// Guards against a caller that holds a connection for as long as it likes by a part of a
// request that it sends ahead.
func TestPartOfARequestSentAheadHasTheHeaderTimeout(t *testing.T) {
	for name, together := range map[string]bool{"with the first request": true, "while the first request is served": false} {
		entered, serve := make(chan struct{}), make(chan struct{})
		f := start(t, resolver.Limits{HeaderTimeout: 50 * time.Millisecond}, limiter.AdmissionSettings{TotalBytes: 16 << 20}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(entered)
			<-serve
		}))
		c := f.dial(t)
		data := "GET / HTTP/1.1\r\nHost:\r\n\r\n"
		if together {
			data += "GET /"
		}
		if _, err := io.WriteString(c, data); err != nil {
			t.Fatal(err)
		}
		<-entered
		if !together {
			if _, err := io.WriteString(c, "G"); err != nil {
				t.Fatal(err)
			}
			for charged := int64(0); charged == 0; charged, _ = f.memory.Charged(limiter.KindKernel) {
				time.Sleep(time.Millisecond)
			}
		}
		close(serve)
		reader := bufio.NewReader(c)
		if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v, %v; want a response", name, response, err)
		}
		if _, err := reader.ReadByte(); err != io.EOF || f.meter.Closed(HeaderTimeout) != 1 {
			t.Errorf("%s: %v, %d header timeouts; want the end of the connection by its timeout", name, err, f.meter.Closed(HeaderTimeout))
		}
		f.wantReleased(t)
	}
}

// unread returns the number of bytes, at most one, that wait on a connection.
func unread(t *testing.T, c *Conn) (n int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) // no byte if it fails
	}); err != nil {
		t.Fatal(err)
	}
	return n
}
