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

// Verdict says whether the request may run (VerdictNone) or why not.
func (m *Claim) Verdict() deduplicator.Verdict {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.attempt.Verdict()
}

// Found is the record that led to the verdict.
func (m *Claim) Found() deduplicator.Record {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.attempt.Found()
}

// Dispatch is called right before the first byte is sent; it permits one run.
func (m *Claim) Dispatch() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.attempt.Dispatch()
}

// Cancel releases the claim if the request was not dispatched.
func (m *Claim) Cancel() {
	m.mutex.Lock()
	release := m.attempt.Cancel() == deduplicator.ActionRelease
	m.mutex.Unlock()
	if release {
		m.settle(m.release)
	}
}

// Finish stores the outcome of the run and its answer, if there is one.
func (m *Claim) Finish(o deduplicator.Outcome, a *deduplicator.Answer) {
	m.mutex.Lock()
	store := m.attempt.Finish(o, a) == deduplicator.ActionStore
	record := m.attempt.Record()
	m.mutex.Unlock()
	if store {
		m.settle(func(ctx context.Context) bool { return m.store(ctx, record) })
	}
}

// settle tries write until it reports true: first while the reply waits, then
// in the background.
func (m *Claim) settle(write func(context.Context) bool) {
	o := m.claimer.options
	if repeat(o.SyncTimeout, write) {
		return
	}
	m.claimer.background.Go(func() {
		if !repeat(o.KeepTrying, write) {
			m.claimer.abandoned.Add(1)
		}
	})
}

// repeat calls write until it reports true or the time is over. It does not use
// the context of the request, which ends when the caller goes away.
func repeat(limit time.Duration, write func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for try := 1; ctx.Err() == nil; try++ {
		if write(ctx) {
			return true
		}
		sleeper.Sleep(ctx, time.Duration(try)*retryPause)
	}
	return false
}

// ownRow reads the row; ok is false if it is not this attempt's open claim.
func (m *Claim) ownRow(ctx context.Context) (row provider.Row, ok bool, err error) {
	row, record, err := m.readRow(ctx)
	own := record.Attempt == m.id && !record.Done
	return row, err == nil && own, err
}

// release deletes the row if it is this attempt's. A lost insert may still
// arrive, so an absent row is read again until the time is over.
func (m *Claim) release(ctx context.Context) bool {
	row, own, err := m.ownRow(ctx)
	if err != nil {
		return false
	}
	if !own {
		return true
	}
	at := []provider.Condition{{Key: row.Key, Revision: row.Revision}}
	return m.claimer.options.Table.Transact(ctx, at, nil, []string{row.Key}) == nil
}

func (m *Claim) store(ctx context.Context, record deduplicator.Record) bool {
	row, own, err := m.ownRow(ctx)
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
	at := []provider.Condition{{Key: row.Key, Revision: row.Revision}}
	err = m.claimer.options.Table.Transact(ctx, at, []provider.Row{{Key: row.Key, Value: value}}, nil)
	return err == nil || errors.Is(err, provider.ErrRefused)
}
