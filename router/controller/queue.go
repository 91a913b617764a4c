package controller

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/router/receiver"
)

// queueKey identifies the queue of one client account for one pool.
type queueKey struct{ pool, account string }

// waiter is a request that waits for a grant.
type waiter struct {
	request  receiver.PermitRequest
	enqueued time.Duration
	// expires is the request's deadline or the end of Timing.MaxWait, whichever is
	// earlier.
	expires time.Duration
	// skipped counts the grants not taken because the request excludes their target.
	skipped int
	// queueAhead is the length of the queue when the request arrived.
	queueAhead int
	// result is buffered, so that the control loop never blocks on a traffic
	// goroutine.
	result chan waitResult
}

// waitResult ends a wait with either a permit or an error.
type waitResult struct {
	permit *permit
	err    error
}

// queue holds the waiters of one queueKey in order of arrival.
type queue struct {
	waiters []*waiter
	// lastGranted is when a request of the queue last received a grant.
	lastGranted time.Duration
}

// meanEstimate returns the mean estimated cost of the waiting requests, in units.
func (q *queue) meanEstimate() float64 {
	sum := 0.0
	for _, w := range q.waiters {
		sum += w.request.EstimatedUnits
	}
	return sum / float64(max(len(q.waiters), 1))
}

// popFor removes and returns the first waiter that accepts the target; nil if there
// is none. A waiter that excludes the target keeps its place for at most maxSkips
// grants, because the target may be the only one left.
func (q *queue) popFor(target string) *waiter {
	for i, w := range q.waiters {
		if slices.Contains(w.request.Exclude, target) && w.skipped < maxSkips {
			w.skipped++
			continue
		}
		q.waiters = slices.Delete(q.waiters, i, i+1)
		return w
	}
	return nil
}

// maxSkips is the number of grants that a retried request skips before it accepts a
// target at which it failed before.
const maxSkips = 3

// remove removes a waiter and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// enqueueMessage adds a waiter to its queue.
type enqueueMessage struct{ waiter *waiter }

func (m enqueueMessage) apply(c *Controller, now time.Duration) {
	w := m.waiter
	if err := c.checkRequest(w.request); err != nil {
		w.result <- waitResult{err: err}
		return
	}
	w.enqueued = now
	w.expires = now + c.options.Timing.MaxWait
	if !w.request.Deadline.IsZero() {
		w.expires = min(w.expires, now+time.Until(w.request.Deadline))
	}
	key := queueKey{w.request.Pool, w.request.Account}
	q := c.queues[key]
	if q == nil {
		q = &queue{}
		c.queues[key] = q
	}
	w.queueAhead = len(q.waiters)
	q.waiters = append(q.waiters, w)
	c.markDirty(key)
}

// checkRequest returns an error if the request must not wait at all.
func (c *Controller) checkRequest(r receiver.PermitRequest) error {
	if c.stopping {
		return receiver.ErrStopping
	}
	if _, ok := c.config.Account(r.Account); !ok {
		return errors.Wrapf(receiver.ErrAccountRemoved, "client account %q", r.Account)
	}
	return nil
}

// cancelMessage removes a waiter whose context has ended.
type cancelMessage struct{ waiter *waiter }

func (m cancelMessage) apply(c *Controller, _ time.Duration) {
	key := queueKey{m.waiter.request.Pool, m.waiter.request.Account}
	if q := c.queues[key]; q != nil && q.remove(m.waiter) {
		c.markDirty(key)
		m.waiter.result <- waitResult{err: receiver.ErrDeadlinePassed}
	}
}

// markDirty has the demand of a queue reported again after its length or the owner
// of a shard has changed.
func (c *Controller) markDirty(key queueKey) {
	c.dirty[key] = true
	if !c.spillCheckDone(key, c.now()) {
		c.unspilled[key] = true
	}
}

// expireWaiters rejects waiters past their deadline and waiters of client accounts
// that are no longer configured.
func (c *Controller) expireWaiters(now time.Duration) {
	for key, q := range c.queues {
		_, known := c.config.Account(key.account)
		before := len(q.waiters)
		q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
			switch {
			case !known:
				w.result <- waitResult{err: receiver.ErrAccountRemoved}
			case now > w.expires:
				w.result <- waitResult{err: receiver.ErrDeadlinePassed}
			default:
				return false
			}
			return true
		})
		if len(q.waiters) != before {
			c.markDirty(key)
		}
	}
}

// rejectWaiters rejects every waiter because the daemon is stopping.
func (c *Controller) rejectWaiters() {
	for _, q := range c.queues {
		for _, w := range q.waiters {
			w.result <- waitResult{err: receiver.ErrStopping}
		}
		q.waiters = nil
	}
}
