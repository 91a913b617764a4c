package controller

import (
	"context"
	"time"

	"monsoondeck.example/router/receiver"
)

// Wait queues a request until a shard owner grants it a target. It returns
// receiver.ErrQueueFull, ErrDeadline, ErrRemoved or ErrStopping; in each case
// the request was not sent anywhere.
func (c *Controller) Wait(ctx context.Context, r receiver.Request) (receiver.Permit, error) {
	if account, ok := c.Snapshot().Config.Account(r.Account); ok {
		c.admission.SetAccountRequests(r.Account, account.QueueLimit)
	}
	release, err := c.admission.Admit(r.Account, r.Bytes)
	if err != nil {
		return nil, c.queueFull(r, err)
	}
	defer release()
	w := &waiter{request: r, answer: make(chan waitAnswer, 1)}
	c.post(enqueueMessage{w})
	select {
	case a := <-w.answer:
		return a.result()
	case <-c.done:
		return nil, receiver.ErrStopping
	case <-ctx.Done():
	}
	c.post(cancelMessage{w})
	select {
	case a := <-w.answer:
		return a.result()
	case <-c.done:
		return nil, receiver.ErrStopping
	}
}

// result avoids an interface that holds a nil permit.
func (a waitAnswer) result() (receiver.Permit, error) {
	if a.err != nil {
		return nil, a.err
	}
	return a.permit, nil
}

// queueFullError tells when a place in the queue should be free again.
type queueFullError struct {
	cause      error
	retryAfter time.Duration
}

func (e queueFullError) Error() string { return e.cause.Error() }

// Unwrap makes the error match receiver.ErrQueueFull.
func (queueFullError) Unwrap() error { return receiver.ErrQueueFull }

// RetryAfter is the expected time until the queue has been served.
func (e queueFullError) RetryAfter() time.Duration { return e.retryAfter }

// queueFull estimates from the client account's recent rate of service when its
// queue will have room.
func (c *Controller) queueFull(r receiver.Request, cause error) error {
	return queueFullError{cause: cause, retryAfter: c.rates.untilRoom(r.Account, c.now())}
}
