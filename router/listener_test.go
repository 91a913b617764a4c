package router

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a connection that is established after the last Accept and reset
// when the listener closes: its caller cannot know whether the request ran.
func TestNoConnectionIsEstablishedAfterTheQueueWasDrained(t *testing.T) {
	s := &server{name: "caller"}
	if err := s.listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	l := s.listener
	defer func() { _ = l.Close() }()
	early, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = early.Close() }()
	if err := l.drain(time.Now()); err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatalf("the connection in the accept queue was not accepted: %v", err)
	}
	defer func() { _ = accepted.Close() }()
	if c, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("Accept of a drained listener returned %v, %v", c, err)
	}
	// The listener is still open; its close would reset a connection established now.
	if l.filterError != nil {
		t.Fatal(l.filterError)
	}
	late, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
	if err == nil {
		_ = late.Close()
		t.Fatal("a connection was established after the last Accept")
	}
}
