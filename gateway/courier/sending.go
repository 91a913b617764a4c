package courier

import (
	"context"
	"sync"
	"time"
)

const (
	// maxSendingBytes bounds the bodies that are being written to one target at a time. A
	// target that reads slowly holds what it has read of them, and crashes when the
	// requests that it holds exceed its memory.
	maxSendingBytes = 4 << 20
	// sendingTimeout bounds the time for which a request waits until others are written.
	// Another target is then better.
	sendingTimeout = 250 * time.Millisecond
)

// Do sends the request and returns the response once its header has been read. The
// context bounds the whole exchange, including reading the body. Errors: ErrNotSent,
// ErrWithdrawn, ErrSendingFull, ErrBroken, ErrInvalid, and the cause of the context's end.
func (c *Client) Do(ctx context.Context, t Target, r Request) (*Response, error) {
	if len(r.Body) <= maxInlineBodyBytes {
		return c.exchange(ctx, t, r, func() {})
	}
	if !c.sending.start(ctx, t, int64(len(r.Body))) {
		c.Stats.SendingFull.Add(1)
		return nil, ErrSendingFull
	}
	return c.exchange(ctx, t, r, sync.OnceFunc(func() { c.sending.end(t, int64(len(r.Body))) }))
}

// sendingBounds counts the bytes of the bodies that are being written to each target. It
// is safe for concurrent use.
type sendingBounds struct {
	mutex   sync.Mutex
	targets map[Target]*sending
}

// sending is the count of one target.
type sending struct {
	bytes int64
	// freed is closed when bytes falls; nil unless a request waits for that.
	freed chan struct{}
}

// start waits until a body may be written to the target. It returns false if that takes
// longer than sendingTimeout or the context ends. A single body is always permitted. end
// must be called once the body is written.
func (b *sendingBounds) start(ctx context.Context, t Target, bytes int64) bool {
	freed, started := b.tryStart(t, bytes)
	if started {
		return true
	}
	timer := time.NewTimer(sendingTimeout)
	defer timer.Stop()
	for !started {
		select {
		case <-freed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
		freed, started = b.tryStart(t, bytes)
	}
	return true
}

// tryStart counts a body if there is room, and else returns a channel that is closed once
// there may be.
func (b *sendingBounds) tryStart(t Target, bytes int64) (freed <-chan struct{}, started bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.targets[t]
	if s == nil {
		s = &sending{}
		b.targets[t] = s
	}
	if s.bytes > 0 && s.bytes+bytes > maxSendingBytes {
		if s.freed == nil {
			s.freed = make(chan struct{})
		}
		return s.freed, false
	}
	s.bytes += bytes
	return nil, true
}

// end ends the count of a body.
func (b *sendingBounds) end(t Target, bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.targets[t]
	s.bytes -= bytes
	if s.freed != nil {
		close(s.freed)
		s.freed = nil
	}
	if s.bytes == 0 {
		delete(b.targets, t)
	}
}
