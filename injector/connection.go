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

	// maxHeldBytes limits the bytes that wait in one direction of a connection. At a
	// delay of 100 ms it allows 40 MB/s.
	maxHeldBytes = 4 << 20
)

// connection is one forwarded connection: client is the accepted end, server the one
// to the forward address.
type connection struct {
	link              *Link
	client, server    *net.TCPConn
	forward, backward *pipe
	ctx               context.Context
	cancel            context.CancelFunc
}

func newConnection(l *Link, client, server *net.TCPConn) *connection {
	c := &connection{link: l, client: client, server: server}
	c.ctx, c.cancel = context.WithCancel(l.ctx)
	c.forward = newPipe(c, Forward, client, server)
	c.backward = newPipe(c, Backward, server, client)
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
	_ = c.client.Close()
	_ = c.server.Close()
	readers.Wait()
}

// reset resets the connections at both ends.
func (c *connection) reset() {
	c.cancel()
	abort(c.client)
	abort(c.server)
}

// chunk is a part of a stream and the time from which it may be delivered. In the
// last chunk of a stream, end is the error with which reading ended.
type chunk struct {
	data []byte
	due  time.Time
	end  error
}

// pipe copies one direction of a connection. Reading and writing have goroutines of
// their own, so that a delay does not limit the throughput to one chunk at a time.
type pipe struct {
	connection *connection
	direction  Direction
	from, to   *net.TCPConn
	// active is set once bytes were delivered.
	active atomic.Bool
	// finished is closed when a fault half-closes the direction.
	finished   chan struct{}
	finishOnce sync.Once

	// mutex guards chunks and held.
	mutex  sync.Mutex
	chunks []chunk
	// held is the number of bytes that were read and not yet delivered.
	held int
	// queued wakes the writer, and room the reader.
	queued, room chan struct{}
}

func newPipe(c *connection, d Direction, from, to *net.TCPConn) *pipe {
	return &pipe{connection: c, direction: d, from: from, to: to, finished: make(chan struct{}),
		queued: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

func (p *pipe) finish() { p.finishOnce.Do(func() { close(p.finished) }) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// read queues the received bytes until the stream ends.
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
		wake(p.queued)
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

// next waits for the oldest queued chunk. It reports false if the connection ends
// first.
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
		case <-p.queued:
		case <-p.finished:
			return chunk{end: io.EOF}, true
		case <-p.connection.ctx.Done():
			return chunk{}, false
		}
	}
}

// release subtracts bytes that are about to be delivered or dropped from held.
func (p *pipe) release(n int) {
	p.mutex.Lock()
	p.held -= n
	p.mutex.Unlock()
	wake(p.room)
}

// write delivers the queued chunks. The end of the stream is forwarded as it arrived:
// as an orderly close or a reset.
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

// deliver writes bytes and applies the faults that act on delivery. It reports
// whether the direction stays open.
func (p *pipe) deliver(data []byte) bool {
	if p.connection.link.affect(KindLoseAnswer, p.direction) {
		p.connection.reset()
		return false
	}
	// Count the bytes before the receiver can read them, so that a receiver that has read
	// them finds them in the count.
	delivered := p.connection.link.delivered[p.direction]
	delivered.Add(uint64(len(data)))
	n, err := p.to.Write(data)
	p.active.Store(true)
	if err != nil {
		delivered.Add(-uint64(len(data) - n))
		p.connection.reset()
		return false
	}
	if p.connection.link.affect(KindHalfClose, p.direction) {
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

// await waits until due and until no fault holds the direction back. It reports false
// if the connection ends first.
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
