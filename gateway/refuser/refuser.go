// Package refuser answers the requests on new connections with a refusal, at a small
// part of the cost of the HTTP server. It serves hosts that get many times the requests
// that they can serve: a caller whose connection is closed without an answer does not
// know whether its request was read, and many give up.
//
// A refused request is not parsed, but the server may look at its header, take the connection
// back or choose the response. Unless the whole request has been read, the connection is kept until the
// caller has closed it, since the kernel resets a connection that is closed with unread data,
// and the caller may then lose the response.
package refuser

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// sweepInterval is the time between two looks at the open connections.
	sweepInterval = 20 * time.Millisecond
	// readBytes is the size of the read buffer, enough for most requests.
	readBytes = 16 << 10
)

// Decide decides on a refused connection once the header of a request has arrived: it takes
// the connection over, or returns the response; nil stands for one of the usual ones. It must
// neither block nor keep the slice.
type Decide func(received []byte, descriptor int) (response []byte, taken bool)

// Refuser answers connections. It is safe for concurrent use.
type Refuser struct {
	responses [][]byte
	limit     int
	clock     func() time.Duration
	decide    Decide
	// unanswered is the number of connections that were closed without an answer.
	unanswered atomic.Int64

	// mutex guards the fields below.
	mutex sync.Mutex
	// open holds the connections that are not closed yet.
	open []connection
	// sweeping is set while a goroutine looks after the open connections.
	sweeping bool
	buffer   []byte
}

// connection is a refused connection by its file descriptor.
type connection struct {
	descriptor int
	exchange   exchange
	// received holds what was read before the header had ended, up to readBytes.
	received []byte
}

// New returns a Refuser that answers with one of the responses, chosen at random, and
// keeps at most limit connections open, which must be positive. decide may be nil.
func New(responses [][]byte, limit int, clock func() time.Duration, decide Decide) *Refuser {
	return &Refuser{responses: responses, limit: limit, clock: clock, decide: decide, buffer: make([]byte, readBytes)}
}

// Unanswered returns the number of connections that were closed without an answer.
func (r *Refuser) Unanswered() int64 { return r.unanswered.Load() }

// Refuse answers the connection with the file descriptor, which it owns from now on.
// It does not block. At the limit, it closes another connection: one that has its answer,
// else the oldest one, which gets its answer at once.
func (r *Refuser) Refuse(descriptor int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := connection{descriptor: descriptor, exchange: exchange{accepted: r.clock()}}
	if r.advance(&c) {
		return
	}
	if len(r.open) >= r.limit {
		r.makeRoom()
	}
	r.open = append(r.open, c)
	if !r.sweeping {
		r.sweeping = true
		go r.sweep()
	}
}

// makeRoom closes one connection. The caller holds the mutex.
func (r *Refuser) makeRoom() {
	i := dispensable(r.open)
	c := &r.open[i]
	if c.exchange.answered == 0 {
		r.answer(c, r.usualResponse())
	}
	closeDescriptor(c.descriptor)
	r.open = slices.Delete(r.open, i, i+1)
}

// dispensable returns the index of the connection that needs its place least: the one that
// was answered first, or accepted first if none was answered.
func dispensable(open []connection) int {
	best := 0
	for i, c := range open {
		a, b := c.exchange, open[best].exchange
		switch {
		case a.answered > 0 && (b.answered == 0 || a.answered < b.answered), b.answered == 0 && a.accepted < b.accepted:
			best = i
		}
	}
	return best
}

func (r *Refuser) usualResponse() []byte { return r.responses[rand.IntN(len(r.responses))] }

// answer sends the response and reports whether it was sent.
func (r *Refuser) answer(c *connection, response []byte) bool {
	// The send buffer of a new connection takes the whole response.
	if err := unix.Sendto(c.descriptor, response, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, nil); err != nil {
		r.unanswered.Add(1)
		return false
	}
	return true
}

// endSending tells the caller that the response has ended.
func (r *Refuser) endSending(c *connection) {
	_ = unix.Shutdown(c.descriptor, unix.SHUT_WR) // fails only if the caller is gone
}

// sweep looks after the open connections until there is none.
func (r *Refuser) sweep() {
	for {
		time.Sleep(sweepInterval)
		if r.sweepOnce() {
			return
		}
	}
}

// sweepOnce looks after each open connection once and reports whether none is left.
func (r *Refuser) sweepOnce() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	left := r.open[:0]
	for _, c := range r.open {
		if !r.advance(&c) {
			left = append(left, c)
		}
	}
	r.open = left
	r.sweeping = len(left) > 0
	return !r.sweeping
}

// advance reads what has arrived, answers if it is time, and reports whether the
// connection was closed or taken back. The caller holds the mutex.
func (r *Refuser) advance(c *connection) bool {
	n, _, err := unix.Recvfrom(c.descriptor, r.buffer, unix.MSG_DONTWAIT)
	closed := err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	data := r.buffer[:max(n, 0)]
	switch c.exchange.receive(r.clock(), data, closed) {
	case wait:
		if c.exchange.answered == 0 && len(c.received)+len(data) <= readBytes {
			c.received = append(c.received, data...)
		}
		return false
	case answer:
		received := r.receivedUntil(c, data)
		response := r.usualResponse()
		if received != nil && r.decide != nil {
			decided, taken := r.decide(received, c.descriptor)
			if taken {
				return true
			}
			if decided != nil {
				response = decided
			}
		}
		if r.answer(c, response) && !wholeRequest(received) {
			r.endSending(c)
			return false
		}
	case finish:
		if c.exchange.answered == 0 && !closed {
			r.unanswered.Add(1)
		}
	}
	closeDescriptor(c.descriptor)
	return true
}

// receivedUntil returns all that was received up to the newest data; nil if no whole header
// has arrived, or if a part of it was not kept.
func (r *Refuser) receivedUntil(c *connection, data []byte) []byte {
	if !c.exchange.headEnded() || len(c.received)+len(data) != c.exchange.read || len(data) == len(r.buffer) {
		return nil
	}
	if len(c.received) > 0 {
		data = append(c.received, data...)
	}
	c.received = nil
	return data
}

// closeDescriptor closes a connection. An error changes nothing: the descriptor is gone
// either way.
func closeDescriptor(descriptor int) { _ = unix.Close(descriptor) }
