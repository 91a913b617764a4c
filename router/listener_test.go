package router

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a connection that is established after the last look at the
// accept queue, and then reset when the listener closes: its caller cannot know
// whether its request ran.
func TestNoConnectionIsEstablishedAfterTheQueueWasDrained(t *testing.T) {
	s := &server{name: "caller"}
	if err := s.listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	d := s.listener
	defer func() { _ = d.Close() }()
	early, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = early.Close() }()
	if err := d.drain(time.Now()); err != nil {
		t.Fatal(err)
	}
	accepted, err := d.Accept()
	if err != nil {
		t.Fatalf("the connection that waited was not accepted: %v", err)
	}
	defer func() { _ = accepted.Close() }()
	if c, err := d.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("Accept of a drained listener returned %v, %v", c, err)
	}
	// The listener is still open: a connection that it takes now would be reset.
	if d.filterError != nil {
		t.Fatal(d.filterError)
	}
	late, err := net.DialTimeout("tcp", d.Addr().String(), 300*time.Millisecond)
	if err == nil {
		_ = late.Close()
		t.Fatal("a connection was established that nobody will accept")
	}
}
