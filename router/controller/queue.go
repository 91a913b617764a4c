package controller

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/router/receiver"
)

// queueKey names the requests of one client account for one pool.
type queueKey struct{ pool, account string }

// waiter is a request that waits for a grant.
type waiter struct {
	request  receiver.Request
	enqueued time.Duration
	// expires is the deadline of the request or the longest wait, whichever
	// is earlier.
	expires time.Duration
	// refused counts grants passed over because of the excluded targets.
	refused int
	// ahead is the length of the queue at arrival.
	ahead int
	// answer is buffered, so that the loop never waits for a traffic goroutine.
	answer chan waitAnswer
}

type waitAnswer struct {
	permit *permit
	err    error
}

// queue holds the waiters of one key in order of arrival.
type queue struct {
	waiters []*waiter
	// served is when a request of the queue last got a grant.
	served time.Duration
}

// estimate is the mean estimated cost in units of the waiting requests.
func (q *queue) estimate() float64 {
	sum := 0.0
	for _, w := range q.waiters {
		sum += w.request.Estimate
	}
	return sum / float64(max(len(q.waiters), 1))
}

// take removes the first waiter that accepts the target. A waiter that
// excludes it keeps its place, but not for ever: the target may be the only
// one that is left.
func (q *queue) take(target string) *waiter {
	for i, w := range q.waiters {
		if slices.Contains(w.request.Exclude, target) && w.refused < maxRefusals {
			w.refused++
			continue
		}
		q.waiters = slices.Delete(q.waiters, i, i+1)
		return w
	}
	return nil
}

// maxRefusals is how many grants a retry passes over before it accepts the
// target that failed it before.
const maxRefusals = 3

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
	if err := c.refusal(w.request); err != nil {
		w.answer <- waitAnswer{err: err}
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
	w.ahead = len(q.waiters)
	q.waiters = append(q.waiters, w)
	c.touch(key)
}

// refusal tells why a request cannot wait at all; nil means that it can.
func (c *Controller) refusal(r receiver.Request) error {
	if c.stopping {
		return receiver.ErrStopping
	}
	if _, ok := c.config.Account(r.Account); !ok {
		return errors.Wrapf(receiver.ErrRemoved, "client account %q", r.Account)
	}
	return nil
}

// cancelMessage removes a waiter whose caller has gone.
type cancelMessage struct{ waiter *waiter }

func (m cancelMessage) apply(c *Controller, _ time.Duration) {
	key := queueKey{m.waiter.request.Pool, m.waiter.request.Account}
	if q := c.queues[key]; q != nil && q.remove(m.waiter) {
		c.touch(key)
		m.waiter.answer <- waitAnswer{err: receiver.ErrDeadline}
	}
}

// touch marks a queue whose length has changed.
func (c *Controller) touch(key queueKey) {
	c.dirty[key] = true
	if !c.spillDue(key, c.now()) {
		c.unspilled[key] = true
	}
}

// expireWaiters ends waiters past their deadline and waiters of client
// accounts that are no longer configured.
func (c *Controller) expireWaiters(now time.Duration) {
	for key, q := range c.queues {
		_, known := c.config.Account(key.account)
		before := len(q.waiters)
		q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
			switch {
			case !known:
				w.answer <- waitAnswer{err: receiver.ErrRemoved}
			case now > w.expires:
				w.answer <- waitAnswer{err: receiver.ErrDeadline}
			default:
				return false
			}
			return true
		})
		if len(q.waiters) != before {
			c.touch(key)
		}
	}
}

// abandonQueues answers every waiter when the loop ends.
func (c *Controller) abandonQueues() {
	for _, q := range c.queues {
		for _, w := range q.waiters {
			w.answer <- waitAnswer{err: receiver.ErrStopping}
		}
		q.waiters = nil
	}
}
