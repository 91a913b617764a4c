package router

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// acceptGracePeriod is how long the caller listener continues to accept new
	// connections after the lame-duck time.
	acceptGracePeriod = 50 * time.Millisecond
	// acceptProbeTimeout is the timeout of an Accept that probes whether the accept
	// queue of the kernel is empty.
	acceptProbeTimeout = 2 * time.Millisecond
	// The accept queue is taken to be empty after more than maxEmptyProbes timeouts in
	// a row. One timeout proves nothing, because a probe also times out if the process
	// was not scheduled between setting the deadline and accepting.
	maxEmptyProbes = 2
)

// drainingListener is a listener that can be drained: it stops accepting without
// resetting connections in the accept queue. Once a deadline has passed, Accept fails
// at once even if the queue holds connections, so each Accept of a draining listener
// sets a new deadline.
type drainingListener struct {
	*net.TCPListener
	// drainUntil is the time in Unix nanoseconds until which a draining listener
	// accepts new connections; 0 while it is not draining.
	drainUntil atomic.Int64
	// filterAttempted is set once Accept has tried to make the kernel drop new
	// connections; filterError is the error of that call. Only Accept uses both until
	// it has returned net.ErrClosed.
	filterAttempted bool
	filterError     error
}

// drain makes Accept return net.ErrClosed once the time has passed and the accept
// queue is empty.
func (l *drainingListener) drain(until time.Time) error {
	l.drainUntil.Store(until.UnixNano())
	return errors.Wrap(l.SetDeadline(time.Now()), "interrupt the pending Accept")
}

// Accept returns the next connection. From the time passed to drain, the kernel
// drops new connections. Otherwise a connection could be established after the last
// Accept and be reset by the close of the listener, and callers that continue to
// connect could delay the end of the drain.
func (l *drainingListener) Accept() (net.Conn, error) {
	for emptyProbes := 0; ; {
		if until := l.drainUntil.Load(); until != 0 {
			if !l.filterAttempted && time.Now().UnixNano() >= until {
				l.filterError, l.filterAttempted = dropNewConnections(l.TCPListener), true
			}
			deadline := max(until, time.Now().Add(acceptProbeTimeout).UnixNano())
			if err := l.SetDeadline(time.Unix(0, deadline)); err != nil {
				return nil, err
			}
		}
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if l.filterAttempted {
			emptyProbes++
		}
		if emptyProbes > maxEmptyProbes {
			return nil, net.ErrClosed
		}
	}
}
