package meter

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/limiter"
)

// Conn is a connection of a caller. The HTTP server uses it as any net.Conn.
type Conn struct {
	net.Conn
	meter *Meter
	// charge is the memory that the connection holds.
	charge limiter.Charge
	// refused is set if there was no memory for the connection.
	refused bool

	// phase says who may end the connection: any goroutine by EndIdle in waiting, else only
	// the one that reads, so that no request is dropped of which a byte was read.
	phase atomic.Int32
	// mutex guards the read deadline while the phase is waiting or ending.
	mutex sync.Mutex

	// The fields below describe the header while the phase is not active, and are only used
	// by the goroutine that reads.
	scanner  headerScanner
	charged  int64
	deadline time.Time
	// deadlineSet is set once the deadline is in force.
	deadlineSet bool
	// ended is set after a refusal or a timeout; no further response is sent.
	ended bool
	// watched is set while the charge is watched because of the header.
	watched bool
	// unread is set while unreadBytes are charged.
	unread bool
	// served is set once a request was read.
	served bool

	// arrivedAt is the time at which the last request arrived; zero before the first. It is only
	// used by handlers, of which one runs at a time.
	arrivedAt time.Time

	// written is the number of bytes that were written.
	written atomic.Int64
	// The fields below are only used by the sweep: whether the last one found bytes that the
	// caller had not acknowledged, the number of those that it had, the time since which
	// that has not grown, and the bytes that are charged for the others.
	unsent                        bool
	acknowledged, outgoingCharged int64
	acknowledgedAt                time.Duration
}

// longAgo is a deadline that ends every read at once.
var longAgo = time.Unix(1, 0)

// errRefused ends the connection after a refusal. The HTTP server sends no response of its
// own after an error of a read.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	phase := c.phase.Load()
	if phase == active {
		return c.readActive(p)
	}
	if c.ended {
		return 0, errRefused
	}
	if phase == header && !c.deadlineSet {
		c.deadlineSet = true
		if err := c.Conn.SetReadDeadline(c.deadline); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n == 0 && c.phase.Load() == ending {
		n, err = c.readArrived(p, err)
	}
	if n == 0 {
		if c.watched && c.charge.Evicted() {
			return c.refuse(HeaderMemory, http.StatusServiceUnavailable, p)
		}
		if phase == header && errors.Is(err, os.ErrDeadlineExceeded) {
			c.ended = true
			c.meter.record(HeaderTimeout, c)
		}
		return n, err
	}
	limits := c.meter.Limits()
	if phase != header {
		c.begin(limits)
	}
	c.scanner.scan(p[:n])
	maxSize, maxFields := HeaderLimits(limits)
	switch {
	case c.refused:
		return c.refuse(ConnectionMemory, http.StatusServiceUnavailable, p)
	case c.scanner.exceeds(maxSize, maxFields):
		return c.refuse(HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, p)
	case !c.chargeHeader(c.scanner.cost()):
		return c.refuse(HeaderMemory, http.StatusServiceUnavailable, p)
	}
	c.watchHeader(n)
	return n, err
}

// watchHeader makes the read of a large header end if it stalls while memory is short. n
// bytes of it have just arrived.
func (c *Conn) watchHeader(n int) {
	switch {
	case c.watched && c.scanner.ended:
		c.watched = false
		c.charge.Unwatch()
	case c.watched:
		c.charge.Progress(c.meter.Clock(), int64(n))
	case !c.scanner.ended && c.charged > watchedHeaderBytes:
		c.watched = true
		c.charge.Watch(c.meter.Clock(), func() { _ = c.Conn.SetReadDeadline(longAgo) }) // fails if it is closed
	}
}

// readActive reads the body of a request, or one byte of what follows while the request is
// served.
func (c *Conn) readActive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	// The HTTP server reads a single byte while a handler runs, to notice the end of the
	// connection. The byte is the start of data that nobody reads until the response is
	// complete.
	if n > 0 && len(p) == 1 && !c.unread {
		if c.unread = c.charge.Grow(limiter.KindKernel, unreadBytes) == nil; !c.unread {
			c.meter.record(UnreadRequests, c)
			_ = c.Close() // the connection is gone either way
			return 0, errRefused
		}
	}
	return n, err
}

// chargeHeader raises the charge for the header to the cost, and reports whether there is
// memory for it.
func (c *Conn) chargeHeader(cost int64) bool {
	if cost <= c.charged {
		return true
	}
	if c.charge.Grow(limiter.KindHeader, cost-c.charged) != nil {
		return false
	}
	c.charged = cost
	return true
}

// ChargeHeader charges a parsed header of the size and the number of fields. The scan
// misses what was read together with an earlier request. It is called by the handler of
// the request.
func (c *Conn) ChargeHeader(size, fields int) error {
	if !c.chargeHeader(headerCost(size, fields)) {
		c.meter.record(HeaderMemory, c)
		return limiter.ErrBytesFull
	}
	return nil
}

// RecordArrival records the time at which a request arrived, and returns it. Requests arrive in
// their order: no request has arrived before the one before it. It is called by the handler of
// the request.
func (c *Conn) RecordArrival(at time.Time) time.Time {
	if at.After(c.arrivedAt) {
		c.arrivedAt = at
	}
	return c.arrivedAt
}

// refuse answers a request that was not read and ends the connection.
func (c *Conn) refuse(reason Reason, status int, buffer []byte) (int, error) {
	c.ended = true
	c.meter.record(reason, c)
	if _, err := c.write(c.meter.Refusal(status)); err != nil {
		return 0, errRefused
	}
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return 0, errRefused
	}
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			break
		}
		left -= n
	}
	return 0, errRefused
}

// Write implements net.Conn. Each write has a deadline of its own.
func (c *Conn) Write(p []byte) (int, error) {
	if c.ended {
		return 0, errRefused // the HTTP server answers a part of a request line
	}
	return c.write(p)
}

func (c *Conn) write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.meter.record(SlowReader, c)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.charge.Release()
	c.meter.forget(c)
	return c.Conn.Close()
}

// CloseWrite ends the sending direction. The HTTP server uses it before it closes a
// connection with unread data.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// setState follows the requests of the connection. The HTTP server calls it on the
// goroutine that reads, or before that one starts.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		if c.watched {
			c.charge.Unwatch() // the HTTP server may see the end of a header elsewhere
		}
		if c.phase.Load() < header {
			c.begin(c.meter.Limits()) // all of the header was read together with an earlier request
		}
		c.served = true
		c.phase.Store(active)
	case http.StateIdle:
		c.scanner, c.charged, c.deadlineSet, c.watched = headerScanner{}, 0, false, false
		c.charge.Shrink(limiter.KindHeader)
		c.phase.Store(waiting)
		if c.unread {
			c.unread = false
			c.charge.Shrink(limiter.KindKernel)
			c.begin(c.meter.Limits()) // readActive has read the first byte
		}
	case http.StateClosed, http.StateHijacked:
		c.charge.Release()
		c.meter.forget(c)
	case http.StateNew:
	}
}
