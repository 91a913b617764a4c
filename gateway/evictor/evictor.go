// Package evictor limits the open connections of a listener. It accepts every connection;
// when there are more than the limit, it closes the one that has been without a request
// for longest. Connections that send nothing, or a request that never ends, so cannot keep
// others out.
package evictor

import (
	"container/list"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Listener is a net.Listener whose open connections are limited.
type Listener struct {
	*net.TCPListener
	// OnEvict, unless nil, is called after a connection was closed because of the limit. It
	// is set before the first connection is accepted.
	OnEvict func()
	limit   int
	// evicted is the number of connections closed because of the limit, timedOut that of
	// connections on which a read or a write took too long.
	evicted, timedOut atomic.Int64

	// mutex guards order and the fields of connections that refer to it.
	mutex sync.Mutex
	// order holds the counted connections, those without a request for longest first.
	order *list.List
}

// New returns a Listener that keeps at most limit connections of the other listener open.
func New(l *net.TCPListener, limit int) *Listener {
	return &Listener{TCPListener: l, limit: limit, order: list.New()}
}

// Accept implements net.Listener. The connections are of type *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &Conn{TCPConn: inner, listener: l}
	if oldest := l.add(c); oldest != nil {
		l.evicted.Add(1)
		_ = oldest.TCPConn.Close() // an error changes nothing: the connection is gone either way
		if l.OnEvict != nil {
			l.OnEvict()
		}
	}
	return c, nil
}

// add counts a connection. If there are too many, it returns the one to close, which no
// longer counts.
func (l *Listener) add(c *Conn) (oldest *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.place = l.order.PushBack(c)
	if l.order.Len() <= l.limit {
		return nil
	}
	oldest = l.order.Remove(l.order.Front()).(*Conn)
	oldest.place = nil
	return oldest
}

// Open returns the number of counted connections.
func (l *Listener) Open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.order.Len()
}

// Evicted returns the number of connections that were closed because of the limit.
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// TimedOut returns the number of reads and writes that took longer than their deadlines.
func (l *Listener) TimedOut() int64 { return l.timedOut.Load() }

// Conn is a connection of a Listener.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// place is the element of the connection in the order of the listener; nil if it does
	// not count.
	place *list.Element
	// waits is set while the deadline for reads was in the future when it was set. A
	// deadline in the past only interrupts a read.
	waits atomic.Bool
}

// RecordRequest records that a whole header was received now.
func (c *Conn) RecordRequest() {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.place != nil {
		c.listener.order.MoveToBack(c.place)
	}
}

// Release stops counting the connection, which stays open.
func (c *Conn) Release() {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.place != nil {
		c.listener.order.Remove(c.place)
		c.place = nil
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.Release()
	return c.TCPConn.Close()
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.waits.Store(time.Now().Before(t))
	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.waits.Load() {
		c.countTimeout(err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.countTimeout(err)
	return n, err
}

func (c *Conn) countTimeout(err error) {
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.timedOut.Add(1)
	}
}
