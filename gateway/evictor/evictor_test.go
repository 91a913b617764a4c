package evictor_test

import (
	"io"
	"net"
	"testing"
	"time"

	"monsoondeck.example/gateway/evictor"
)

// open opens a connection and returns both of its ends.
func open(t *testing.T, l *evictor.Listener) (net.Conn, *evictor.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return client, c.(*evictor.Conn)
}

func newListener(t *testing.T, limit int) *evictor.Listener {
	t.Helper()
	inner, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	return evictor.New(inner, limit)
}

// Guards against silent connections that keep others out, and against the close of a
// connection that has just had a request.
func TestConnectionWithoutRequestForLongestIsClosed(t *testing.T) {
	l := newListener(t, 2)
	first, firstServer := open(t, l)
	second, _ := open(t, l)
	firstServer.RecordRequest()
	_, thirdServer := open(t, l)
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Error("the connection without a request is open")
	}
	if _, err := firstServer.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if _, err := io.ReadFull(first, make([]byte, 1)); err != nil {
		t.Error(err)
	}
	if l.Open() != 2 || l.Evicted() != 1 {
		t.Errorf("%d open and %d evicted, want 2 and 1", l.Open(), l.Evicted())
	}
	_ = thirdServer.Close()
	if l.Open() != 1 {
		t.Errorf("%d open after a close, want 1", l.Open())
	}
}

// Guards against authenticated connections that are closed because of others that are not.
func TestReleasedConnectionDoesNotCount(t *testing.T) {
	l := newListener(t, 1)
	client, server := open(t, l)
	server.Release()
	server.RecordRequest() // has no effect
	open(t, l)
	open(t, l)
	if _, err := server.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if _, err := io.ReadFull(client, make([]byte, 1)); err != nil {
		t.Error(err)
	}
	if l.Open() != 1 || l.Evicted() != 1 {
		t.Errorf("%d open and %d evicted, want 1 and 1", l.Open(), l.Evicted())
	}
}

// Guards against a count of timeouts that includes reads which the server interrupts
// itself.
func TestOnlyExpiredDeadlinesCountAsTimeouts(t *testing.T) {
	l := newListener(t, 1)
	_, server := open(t, l)
	for _, deadline := range []time.Time{time.Now().Add(-time.Hour), time.Now().Add(time.Millisecond)} {
		if err := server.SetReadDeadline(deadline); err != nil {
			t.Fatal(err)
		}
		if _, err := server.Read(make([]byte, 1)); err == nil {
			t.Fatal("a read returned data")
		}
	}
	if l.TimedOut() != 1 {
		t.Errorf("%d timeouts, want 1", l.TimedOut())
	}
}
