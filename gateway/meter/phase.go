package meter

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/resolver"
)

// Phases of a connection, in the order of a request.
const (
	// waiting: no byte of the next request was read.
	waiting int32 = iota
	// ending: EndIdle has ended the read. The goroutine that reads closes the connection,
	// or returns to header if it has a byte of a request.
	ending
	// header: a part of the header was read.
	header
	// active: the header was read, and the response is not complete.
	active
)

// begin marks that a byte of a request was read, and starts the time for its header. It
// takes the connection back if EndIdle was called meanwhile.
func (c *Conn) begin(l resolver.Limits) {
	timeout := l.HeaderTimeout
	if timeout <= 0 {
		timeout = HeaderStartTimeout
	}
	c.deadline, c.deadlineSet = time.Now().Add(timeout), false
	if c.phase.CompareAndSwap(waiting, header) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase.Store(header)
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails if it is closed, which the next read reports
}

// readArrived reads what had arrived when EndIdle ended a read with the error, since a read
// with a deadline in the past returns no data. It does not wait.
func (c *Conn) readArrived(p []byte, ended error) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil || !errors.Is(ended, os.ErrDeadlineExceeded) {
		return 0, ended
	}
	c.mutex.Lock() // EndIdle may not have returned
	err = c.Conn.SetReadDeadline(time.Time{})
	c.mutex.Unlock()
	if err != nil {
		return 0, ended
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _ = unix.Read(int(fd), p) // after an error, n is negative
		return true
	})
	if err != nil || n <= 0 {
		return 0, ended
	}
	return n, nil
}

// SetReadDeadline implements net.Conn. The HTTP server sets a deadline when the first
// bytes of a header have arrived, perhaps together with an earlier request; that of the
// configuration in force replaces it. The first deadline of a connection also bounds the
// time without any byte.
func (c *Conn) SetReadDeadline(t time.Time) error {
	switch c.phase.Load() {
	case waiting, ending:
		if !c.served || t.IsZero() {
			return c.setWaitingDeadline(t)
		}
		c.begin(c.meter.Limits())
		fallthrough
	case header:
		if !t.IsZero() {
			c.deadlineSet = true
			t = c.deadline
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// setWaitingDeadline sets the deadline of the first byte of a request, unless EndIdle was
// called.
func (c *Conn) setWaitingDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase.Load() == ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// EndIdle ends the read in which the server waits for the next request, so that the server
// closes the connection. It does nothing and returns false if a byte of the request was
// read. Unlike SetReadDeadline, it may be called by any goroutine.
func (c *Conn) EndIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.phase.CompareAndSwap(waiting, ending) {
		return false
	}
	_ = c.Conn.SetReadDeadline(longAgo) // fails if it is closed already
	return true
}

// HasBegun reports whether a byte was read of a request whose response is not complete.
func (c *Conn) HasBegun() bool { return c.phase.Load() >= header }
