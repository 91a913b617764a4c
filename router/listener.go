package router

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// acceptDrain is how long the caller listener goes on accepting after the
	// lame-duck time.
	acceptDrain = 50 * time.Millisecond
	// acceptProbe is the deadline of an Accept that finds out whether the queue of
	// the kernel is empty.
	acceptProbe = 2 * time.Millisecond
	// emptyProbes in a row are needed, because a probe also times out when the
	// process did not run between setting the deadline and accepting.
	emptyProbes = 2
)

// drainingListener can stop accepting without resetting connections that wait
// in the accept queue. An expired deadline makes every Accept fail at once, even
// while connections wait, so each Accept of a draining listener has a new
// deadline.
type drainingListener struct {
	*net.TCPListener
	// until is the time in Unix nanoseconds to which the listener accepts at
	// least; 0 while it is not draining.
	until atomic.Int64
	// filtered is set when the kernel was told to take no more connections, and
	// filterError if it could not be told. Only Accept uses them before it has
	// returned net.ErrClosed.
	filtered    bool
	filterError error
}

// drain makes Accept return net.ErrClosed once the queue is empty after the time.
func (l *drainingListener) drain(until time.Time) error {
	l.until.Store(until.UnixNano())
	return errors.Wrap(l.SetDeadline(time.Now()), "wake the listener")
}

// Accept returns the next connection. Once the time of the drain has come, the
// kernel takes no more connections, so that none is established after the last
// Accept and reset by the close, and callers that go on connecting cannot make the
// drain last longer.
func (l *drainingListener) Accept() (net.Conn, error) {
	for empty := 0; ; {
		if until := l.until.Load(); until != 0 {
			if !l.filtered && time.Now().UnixNano() >= until {
				l.filterError, l.filtered = dropNewConnections(l.TCPListener), true
			}
			deadline := max(until, time.Now().Add(acceptProbe).UnixNano())
			if err := l.SetDeadline(time.Unix(0, deadline)); err != nil {
				return nil, err
			}
		}
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if l.filtered {
			empty++
		}
		if empty > emptyProbes {
			return nil, net.ErrClosed
		}
	}
}
