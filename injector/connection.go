package injector

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readBytes = 32 << 10

	// maxHeldBytes bounds the bytes that wait in one direction. At a delay of 100 ms
	// it allows 40 MB/s.
	maxHeldBytes = 4 << 20
)

// connection is one forwarded connection.
type connection struct {
	link              *Link
	near, far         *net.TCPConn
	forward, backward *pipe
	ctx               context.Context
	cancel            context.CancelFunc
}

func newConnection(l *Link, near, far *net.TCPConn) *connection {
	c := &connection{link: l, near: near, far: far}
	c.ctx, c.cancel = context.WithCancel(l.ctx)
	c.forward = newPipe(c, Forward, near, far)
	c.backward = newPipe(c, Backward, far, near)
	return c
}

func (c *connection) pipe(d Direction) *pipe {
	if d == Backward {
		return c.backward
	}
	return c.forward
}

// run copies in both directions until both have ended or the connection is
// reset.
func (c *connection) run() {
	var readers, writers sync.WaitGroup
	for _, p := range []*pipe{c.forward, c.backward} {
		readers.Go(p.read)
		writers.Go(p.write)
	}
	writers.Wait()
	c.cancel()
	_ = c.near.Close()
	_ = c.far.Close()
	readers.Wait()
}

// reset ends both connections at once.
func (c *connection) reset() {
	c.cancel()
	abort(c.near)
	abort(c.far)
}

// chunk is a part of the stream and the time at which it is delivered. The last
// one of a stream has its end.
type chunk struct {
	data []byte
	due  time.Time
	end  error
}

// pipe copies one direction. Reading and writing are separate, so that a delay
// does not limit the throughput to one chunk at a time.
type pipe struct {
	connection *connection
	direction  Direction
	from, to   *net.TCPConn
	// active is set once bytes were delivered.
	active atomic.Bool
	// finished is closed when the direction is half-closed by a fault.
	finished   chan struct{}
	finishOnce sync.Once

	mutex  sync.Mutex
	chunks []chunk
	// held is the number of bytes that were read and not delivered.
	held int
	// more and room wake the writer and the reader.
	more, room chan struct{}
}

func newPipe(c *connection, d Direction, from, to *net.TCPConn) *pipe {
	return &pipe{connection: c, direction: d, from: from, to: to, finished: make(chan struct{}),
		more: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

func (p *pipe) finish() { p.finishOnce.Do(func() { close(p.finished) }) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// read queues what arrives until the stream ends.
func (p *pipe) read() {
	buffer := make([]byte, readBytes)
	for {
		n, err := p.from.Read(buffer)
		fault, _ := p.connection.link.state()
		due := time.Now().Add(fault.delay(p.direction))
		p.mutex.Lock()
		p.chunks = append(p.chunks, chunk{data: append([]byte(nil), buffer[:n]...), due: due, end: err})
		p.held += n
		full := p.held >= maxHeldBytes
		p.mutex.Unlock()
		wake(p.more)
		if err != nil {
			return
		}
		for full {
			select {
			case <-p.room:
			case <-p.connection.ctx.Done():
				return
			}
			p.mutex.Lock()
			full = p.held >= maxHeldBytes
			p.mutex.Unlock()
		}
	}
}

// next returns the oldest chunk; false if the connection ends first.
func (p *pipe) next() (chunk, bool) {
	for {
		p.mutex.Lock()
		if len(p.chunks) > 0 {
			c := p.chunks[0]
			p.chunks = p.chunks[1:]
			p.mutex.Unlock()
			return c, true
		}
		p.mutex.Unlock()
		select {
		case <-p.more:
		case <-p.finished:
			return chunk{end: io.EOF}, true
		case <-p.connection.ctx.Done():
			return chunk{}, false
		}
	}
}

// release accounts for bytes that are about to be delivered or dropped.
func (p *pipe) release(n int) {
	p.mutex.Lock()
	p.held -= n
	p.mutex.Unlock()
	wake(p.room)
}

// write delivers the queued chunks. The end of the stream is delivered in the
// way it arrived: an orderly end or a reset.
func (p *pipe) write() {
	for {
		c, ok := p.next()
		if !ok || !p.await(c.due) {
			return
		}
		p.release(len(c.data))
		if len(c.data) > 0 && !p.deliver(c.data) {
			return
		}
		switch {
		case errors.Is(c.end, io.EOF):
			_ = p.to.CloseWrite()
			return
		case c.end != nil:
			p.connection.reset()
			return
		}
	}
}

// deliver writes bytes and applies the faults that depend on them; it reports
// whether the direction goes on.
func (p *pipe) deliver(data []byte) bool {
	if p.connection.link.take(KindLoseAnswer, p.direction) {
		p.connection.reset()
		return false
	}
	// Counted before the receiver can see the bytes, so that whoever has read them
	// also finds them in the count.
	carried := p.connection.link.carried[p.direction]
	carried.Add(uint64(len(data)))
	n, err := p.to.Write(data)
	p.active.Store(true)
	if err != nil {
		carried.Add(-uint64(len(data) - n))
		p.connection.reset()
		return false
	}
	if p.connection.link.take(KindHalfClose, p.direction) {
		p.finish()
	}
	select {
	case <-p.finished:
		_ = p.to.CloseWrite()
		return false
	default:
		return true
	}
}

// await waits until the time is due and the direction is not held back; false if
// the connection ends first.
func (p *pipe) await(due time.Time) bool {
	if d := time.Until(due); d > 0 {
		select {
		case <-time.After(d):
		case <-p.connection.ctx.Done():
			return false
		}
	}
	for {
		fault, changed := p.connection.link.state()
		if !fault.holds(p.direction) {
			return p.connection.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-p.connection.ctx.Done():
			return false
		}
	}
}
