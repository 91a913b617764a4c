package controller

import (
	"context"
	"time"

	"monsoondeck.example/router/receiver"
)

// Wait queues a request until a shard owner grants it a slot of a target. Its errors
// match receiver.ErrQueueFull, ErrDeadlinePassed, ErrAccountRemoved or ErrStopping;
// in each case the request was not sent to any target.
func (c *Controller) Wait(ctx context.Context, r receiver.PermitRequest) (receiver.Permit, error) {
	if account, ok := c.Snapshot().Config.Account(r.Account); ok {
		c.admission.SetAccountRequests(r.Account, account.QueueLimit)
	}
	release, err := c.admission.Admit(r.Account, r.BodyBytes)
	if err != nil {
		return nil, c.queueFull(r, err)
	}
	defer release()
	w := &waiter{request: r, result: make(chan waitResult, 1)}
	c.post(enqueueMessage{w})
	select {
	case a := <-w.result:
		return a.permitOrError()
	case <-c.done:
		return nil, receiver.ErrStopping
	case <-ctx.Done():
	}
	c.post(cancelMessage{w})
	select {
	case a := <-w.result:
		return a.permitOrError()
	case <-c.done:
		return nil, receiver.ErrStopping
	}
}

// permitOrError returns a nil interface with an error, never an interface that holds
// a nil permit.
func (a waitResult) permitOrError() (receiver.Permit, error) {
	if a.err != nil {
		return nil, a.err
	}
	return a.permit, nil
}

// queueFullError is receiver.ErrQueueFull with the time after which the queue should
// have room.
type queueFullError struct {
	cause      error
	retryAfter time.Duration
}

func (e queueFullError) Error() string { return e.cause.Error() }

// Unwrap makes the error match receiver.ErrQueueFull.
func (queueFullError) Unwrap() error { return receiver.ErrQueueFull }

// RetryAfter returns the expected time until the queue has room.
func (e queueFullError) RetryAfter() time.Duration { return e.retryAfter }

// queueFull returns the error for a full queue. It estimates from the client
// account's recent grant rate when the queue will have room.
func (c *Controller) queueFull(r receiver.PermitRequest, cause error) error {
	return queueFullError{cause: cause, retryAfter: c.rates.retryAfter(r.Account, c.now())}
}
