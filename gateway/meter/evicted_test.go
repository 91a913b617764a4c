package meter

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
)

// scriptedConn is a net.Conn whose reads return the parts, and then its end.
type scriptedConn struct {
	net.Conn
	parts   []string
	written int
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	c.parts = c.parts[1:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *scriptedConn) RemoteAddr() net.Addr             { return nil }

// Guards against a refusal that is sent on an idle connection, where a caller takes it for
// the response to its next request: the end of an earlier header was ordered just as it
// arrived.
func TestIdleConnectionGetsNoRefusalOfAnEarlierHeader(t *testing.T) {
	m := New(Options{
		Memory: limiter.NewAdmission(limiter.AdmissionSettings{}), Clock: clock, OnClose: func(Reason, net.Addr) {},
		Limits:  func() resolver.Limits { return resolver.Limits{HeaderBytes: 16384} },
		Refusal: func(int) []byte { return []byte("refusal") },
	})
	inner := &scriptedConn{parts: []string{"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 2000), "\r\n"}}
	c := m.wrap(inner)
	buffer := make([]byte, 16384)
	read := func() error {
		_, err := c.Read(buffer)
		return err
	}
	if err := read(); err != nil {
		t.Fatal(err)
	}
	if n := m.Memory.EvictStalled(clock()+time.Second, time.Second, 1); n != 1 {
		t.Fatalf("%d headers were ended, want 1", n)
	}
	if err := read(); err != nil {
		t.Fatal(err)
	}
	c.setState(http.StateActive)
	c.setState(http.StateIdle)
	if err := read(); err != io.EOF || inner.written != 0 {
		t.Errorf("the idle connection got %d bytes and %v, want its end only", inner.written, err)
	}
}

// Guards against a header that arrives slowly and is taken for a connection that sends
// nothing.
func TestConnectionWithAPartOfAHeaderHasBegun(t *testing.T) {
	m := New(Options{Memory: limiter.NewAdmission(limiter.AdmissionSettings{}), Clock: clock, Limits: func() resolver.Limits { return resolver.Limits{} }})
	c := m.wrap(&scriptedConn{parts: []string{"G"}})
	if c.HasBegun() {
		t.Error("a new connection has begun a request")
	}
	if _, err := c.Read(make([]byte, 1)); err != nil || !c.HasBegun() {
		t.Errorf("a connection with a byte has not begun a request, error %v", err)
	}
}
