package limiter

import (
	"time"
)

// Kind says what the memory of a charge is used for.
type Kind int

// Kinds of memory.
const (
	// KindBody is memory for bodies of requests.
	KindBody Kind = iota
	// KindHeader is memory for header fields of requests.
	KindHeader
	// KindConnection is memory for buffers of connections.
	KindConnection
	// KindKernel is memory of the kernel for data that the process has not read.
	KindKernel
	// KindRequest is the fixed cost of requests that wait or are in progress.
	KindRequest
	// KindResponse is memory for responses that are read before they are forwarded, and
	// for those that wait for slow readers.
	KindResponse
	// KindStream is memory for incomplete events of streams.
	KindStream
	kindCount
)

// kindNames are the names of the kinds in metrics.
var kindNames = [kindCount]string{"body", "header", "connection", "kernel", "request", "response", "stream"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Charge is the memory that one request or one connection holds. The zero value is not
// open. A Charge must not be copied while it is open. It is safe for concurrent use.
type Charge struct {
	admission *Admission
	// queue is that of the account, or nil if the charge belongs to none.
	queue   *accountQueue
	account string
	// bytes is the memory by kind, total its sum.
	bytes [kindCount]int64
	total int64
	open  bool

	// progressAt is the time of the last progress, unreported the bytes that were
	// transferred since.
	progressAt time.Duration
	unreported int64
	// closeStalled is called, with the mutex of the Admission held, to end a transfer
	// that has stalled. It is nil unless the charge is watched.
	closeStalled func()
	// evicted is set if the last watched transfer was ended.
	evicted bool
}

// Open opens a charge that belongs to no account.
func (a *Admission) Open(c *Charge) {
	*c = Charge{admission: a, open: true}
}

// OpenRequest opens the charge of a request, or returns ErrQueueFull. The account has one
// request more until Release.
func (a *Admission) OpenRequest(c *Charge, account string) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	q := a.queues[account]
	if q == nil {
		q = &accountQueue{}
	}
	requests, found := a.requestLimits[account]
	if !found {
		requests = a.settings.AccountRequests
	}
	if requests > 0 && q.requests >= requests {
		return ErrQueueFull
	}
	q.requests++
	a.queues[account] = q
	*c = Charge{admission: a, queue: q, account: account, open: true}
	return nil
}

// Grow adds bytes to the charge, or returns ErrBytesFull and adds none. It returns
// ErrReleased if the charge is not open.
func (c *Charge) Grow(k Kind, bytes int64) error {
	if c.admission == nil {
		return ErrReleased
	}
	a := c.admission
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !c.open {
		return ErrReleased
	}
	bytes = max(bytes, 0)
	if !a.fits(c, k, bytes) {
		a.refusals[k]++
		a.signalShortage()
		return ErrBytesFull
	}
	c.add(k, bytes)
	return nil
}

// Shrink gives back the memory of one kind.
func (c *Charge) Shrink(k Kind) {
	if c.admission == nil {
		return
	}
	c.admission.mutex.Lock()
	defer c.admission.mutex.Unlock()
	c.add(k, -c.bytes[k])
}

// Release gives back all memory of the charge. Further calls have no effect.
func (c *Charge) Release() {
	a := c.admission
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !c.open {
		return
	}
	for k := range c.bytes {
		c.add(Kind(k), -c.bytes[k])
	}
	c.open = false
	delete(a.watched, c)
	c.closeStalled = nil
	if c.queue == nil {
		return
	}
	if c.queue.requests--; c.queue.requests == 0 {
		delete(a.queues, c.account)
	}
}

// add changes the bytes of one kind. The caller holds the mutex.
func (c *Charge) add(k Kind, bytes int64) {
	c.bytes[k] += bytes
	c.total += bytes
	c.admission.kinds[k] += bytes
	c.admission.bytes += bytes
	if c.queue != nil {
		c.queue.bytes += bytes
	}
}

// fits reports whether a charge may grow. The caller holds the mutex.
func (a *Admission) fits(c *Charge, k Kind, bytes int64) bool {
	s := a.settings
	if c.queue != nil && s.AccountBytes > 0 && c.queue.bytes+bytes > s.AccountBytes {
		return false
	}
	total, headers := s.TotalBytes, s.HeaderBytes
	if c.total+bytes > s.SmallBytes {
		total -= s.ReservedBytes
		headers -= s.ReservedHeaderBytes
	}
	if k == KindHeader && s.HeaderBytes > 0 && a.kinds[k]+bytes > headers {
		return false
	}
	return s.TotalBytes <= 0 || a.bytes+bytes <= total
}

// signalShortage makes Shortage readable. The caller holds the mutex.
func (a *Admission) signalShortage() {
	select {
	case a.shortage <- struct{}{}:
	default: // signalled already
	}
}
