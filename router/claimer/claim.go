package claimer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/deduplicator"
	"monsoondeck.example/provider"
	"monsoondeck.example/sleeper"
)

// Verdict is VerdictNone if the request may run, otherwise the reason why not.
func (cl *Claim) Verdict() deduplicator.Verdict {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.attempt.Verdict()
}

// Found returns the record of the earlier attempt that led to the verdict.
func (cl *Claim) Found() deduplicator.Record {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.attempt.Found()
}

// Dispatch is called right before the first byte of the request is sent. It
// returns an error if the request must not run.
func (cl *Claim) Dispatch() error {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.attempt.Dispatch()
}

// Cancel releases the claim if the request was not dispatched.
func (cl *Claim) Cancel() {
	cl.mutex.Lock()
	release := cl.attempt.Cancel() == deduplicator.ActionRelease
	cl.mutex.Unlock()
	if release {
		cl.writeResult(cl.tryRelease)
	}
}

// Finish stores the outcome of the run and its response, which is nil if it is not
// to be replayed.
func (cl *Claim) Finish(o deduplicator.Outcome, a *deduplicator.Answer) {
	cl.mutex.Lock()
	store := cl.attempt.Finish(o, a) == deduplicator.ActionStore
	record := cl.attempt.Record()
	cl.mutex.Unlock()
	if store {
		cl.writeResult(func(ctx context.Context) bool { return cl.tryStore(ctx, record) })
	}
}

// writeResult calls write until it reports true: for Options.SyncTimeout while the
// caller waits, then for Options.BackgroundTimeout in the background.
func (cl *Claim) writeResult(write func(context.Context) bool) {
	o := cl.claimer.options
	if retryFor(o.SyncTimeout, write) {
		return
	}
	cl.claimer.background.Go(func() {
		if !retryFor(o.BackgroundTimeout, write) {
			cl.claimer.abandoned.Add(1)
		}
	})
}

// retryFor calls write until it reports true or the timeout has passed. It does
// not use the context of the request, which ends when the caller disconnects.
func retryFor(timeout time.Duration, write func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for try := 1; ctx.Err() == nil; try++ {
		if write(ctx) {
			return true
		}
		sleeper.Sleep(ctx, time.Duration(try)*retryInterval)
	}
	return false
}

// readOwnRow reads the claim row. The result ok is false if the row does not hold
// the unfinished claim of this attempt.
func (cl *Claim) readOwnRow(ctx context.Context) (row provider.Row, ok bool, err error) {
	row, record, err := cl.readRow(ctx)
	own := record.Attempt == cl.attemptID && !record.Done
	return row, err == nil && own, err
}

// tryRelease deletes the row if it holds the claim of this attempt, and reports
// whether nothing is left to do. An absent row is reported as not done, because an
// insert whose response was lost may still take effect; the caller tries again
// until its timeout.
func (cl *Claim) tryRelease(ctx context.Context) bool {
	row, own, err := cl.readOwnRow(ctx)
	if err != nil {
		return false
	}
	if !own {
		return true
	}
	unchanged := []provider.Condition{{Key: row.Key, Revision: row.Revision}}
	return cl.claimer.options.Table.Transact(ctx, unchanged, nil, []string{row.Key}) == nil
}

// tryStore writes the finished record if the row holds the claim of this attempt,
// and reports whether nothing is left to do.
func (cl *Claim) tryStore(ctx context.Context, record deduplicator.Record) bool {
	row, own, err := cl.readOwnRow(ctx)
	if err != nil {
		return false
	}
	if !own {
		return true
	}
	value, err := json.Marshal(record)
	if err != nil {
		return true
	}
	unchanged := []provider.Condition{{Key: row.Key, Revision: row.Revision}}
	err = cl.claimer.options.Table.Transact(ctx, unchanged, []provider.Row{{Key: row.Key, Value: value}}, nil)
	return err == nil || errors.Is(err, provider.ErrRejected)
}
