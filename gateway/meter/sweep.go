package meter

import (
	"time"

	"golang.org/x/sys/unix"

	"monsoondeck.example/limiter"
)

// sweep charges the data that the caller has not read since the last sweep. It returns
// false if the connection should be closed: the caller has read nothing for writeTimeout, or
// there is no memory.
func (c *Conn) sweep(now time.Duration) bool {
	written, n := c.written.Load(), int64(0)
	if written > c.acknowledged {
		var err error
		if n, err = c.unacknowledged(); err != nil {
			return true // closed meanwhile
		}
	}
	acknowledged := max(written-n, c.acknowledged)
	if n == 0 || !c.unsent || acknowledged > c.acknowledged {
		c.unsent, c.acknowledged, c.acknowledgedAt = n > 0, acknowledged, now
		if c.outgoingCharged > 0 {
			c.outgoingCharged = 0
			c.charge.Shrink(limiter.KindResponse)
		}
		return true
	}
	if n > c.outgoingCharged {
		if c.charge.Grow(limiter.KindResponse, n-c.outgoingCharged) != nil {
			return false
		}
		c.outgoingCharged = n
	}
	return now-c.acknowledgedAt < writeTimeout
}

// unacknowledged returns the number of bytes that the other side has not acknowledged.
// Those that it acknowledged are in its own memory.
func (c *Conn) unacknowledged() (int64, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var errQueue error
	if err := raw.Control(func(fd uintptr) { n, errQueue = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0, err
	}
	return int64(n), errQueue
}
