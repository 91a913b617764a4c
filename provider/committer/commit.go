package committer

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
	"monsoondeck.example/sleeper"
)

// ConflictError means that other changes were committed since the version that a
// change was based on. It matches provider.ErrConflict.
type ConflictError struct {
	// Base is the version that the rejected change was based on.
	Base uint64
	// Changes are the changes after Base, oldest first, at most 100; empty if they
	// could not be read.
	Changes []configurer.Delta
}

// Error lists the versions and authors of the newer changes.
func (e *ConflictError) Error() string {
	var list []string
	for _, d := range e.Changes {
		list = append(list, fmt.Sprintf("version %d by %s", d.Version, d.Author))
	}
	if list == nil {
		list = []string{"by an unknown author"}
	}
	return fmt.Sprintf("configuration has changed since version %d: %s", e.Base, strings.Join(list, ", "))
}

// Unwrap makes the error match provider.ErrConflict.
func (e *ConflictError) Unwrap() error { return provider.ErrConflict }

// Commit commits a change of the configuration from, on the condition that from is
// still the current version, and returns the new configuration and the delta. It
// sets the delta's Base, Version, Time and, if empty, ID. The audit trail records
// action as what the operator did.
//
// If a response is lost, Commit reads the rows back to find out the outcome; while
// they do not show it, Commit resends the same transaction, which cannot take effect
// twice. Errors: *ConflictError, ErrEmpty, configurer.ErrInvalid,
// provider.ErrUnavailable and provider.ErrRejected (the change had no effect),
// provider.ErrUnknown (the change may have taken effect or may still do so).
func (c *Committer) Commit(ctx context.Context, from configurer.Config, d configurer.Delta, action string) (configurer.Config, configurer.Delta, error) {
	d.Base, d.Version, d.Time = from.Version(), from.Version()+1, c.o.Now().UTC().Truncate(time.Millisecond)
	if d.ID == "" {
		d.ID = newID()
	}
	if d.Rows() == 0 {
		return from, d, ErrEmpty
	}
	next, err := from.WithDelta(d)
	if err != nil {
		return from, d, err
	}
	if err := c.commit(ctx, d, action); err != nil {
		if errors.Is(err, provider.ErrConflict) {
			c.Note(ctx, recordOf(d, action, ResultConflict))
		}
		return from, d, err
	}
	if next.Version()/c.o.SnapshotEvery != from.Version()/c.o.SnapshotEvery {
		if err := c.Compact(ctx, next); err != nil {
			c.o.Warn(errors.Wrap(err, "write snapshot after commit"))
		}
	}
	return next, d, nil
}

// commit sends the change unless the current version is not its base.
func (c *Committer) commit(ctx context.Context, d configurer.Delta, action string) error {
	h, revision, err := c.readHead(ctx)
	for pause := c.o.Backoff; err == nil && h.Version < d.Base; pause *= 2 {
		// The read is stale: Base has been committed. A later read returns it.
		if pause >= c.o.Backoff<<commitAttempts || !sleeper.Sleep(ctx, pause) {
			return errors.Mark(errors.Wrapf(ErrStaleRead, "head has version %d, change has base %d", h.Version, d.Base), provider.ErrUnavailable)
		}
		h, revision, err = c.readHead(ctx)
	}
	if err != nil {
		return err
	}
	if h.Version > d.Base {
		return c.conflict(ctx, d)
	}
	puts, err := rowsOf(d, action)
	if err != nil {
		return err
	}
	conditions := []provider.Condition{{Key: headKey, Revision: revision}, {Key: changeKey(d.Version)}}
	return c.transact(ctx, d, conditions, puts)
}

// rowsOf returns the rows that commit a change: the change, the new head and an
// audit record.
func rowsOf(d configurer.Delta, action string) ([]provider.Row, error) {
	change, err := encodeChange(d)
	if err != nil {
		return nil, err
	}
	puts := []provider.Row{{Key: changeKey(d.Version), Value: change}}
	for _, p := range []struct {
		key   string
		value any
	}{
		{headKey, head{Version: d.Version, ChangeID: d.ID}},
		{auditKey(d.Version, d.ID), recordOf(d, action, ResultCommitted)},
	} {
		body, err := json.Marshal(p.value)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", p.key)
		}
		puts = append(puts, provider.Row{Key: p.key, Value: body})
	}
	return puts, nil
}

// transact sends the transaction until its outcome is known, at most
// commitAttempts times.
func (c *Committer) transact(ctx context.Context, d configurer.Delta, conditions []provider.Condition, puts []provider.Row) error {
	mayTakeEffect := false // an attempt may have taken effect or may still do so
	pause := c.o.Backoff
	var err error
	for range commitAttempts {
		if err = c.o.Table.Transact(ctx, conditions, puts, nil); err == nil {
			return nil
		}
		if errors.Is(err, provider.ErrRejected) && !mayTakeEffect {
			return errors.Wrap(err, "commit")
		}
		// The conflict can be with this change itself, if an earlier attempt took
		// effect or the HTTP transport resent the request.
		if errors.Is(err, provider.ErrUnknown) || errors.Is(err, provider.ErrConflict) {
			mayTakeEffect = true
			switch outcome, readErr := c.readBack(ctx, d); {
			case outcome == outcomeCommitted:
				return nil
			case outcome == outcomeConflict:
				return c.conflict(ctx, d)
			case readErr != nil:
				err = errors.CombineErrors(err, readErr)
			}
		}
		if !sleeper.Sleep(ctx, pause) {
			break
		}
		pause *= 2
	}
	if mayTakeEffect {
		switch outcome, _ := c.readBack(ctx, d); outcome {
		case outcomeCommitted:
			return nil
		case outcomeConflict:
			return c.conflict(ctx, d)
		}
		return errors.Wrapf(provider.ErrUnknown, "commit of change %s as version %d: %v", d.ID, d.Version, err)
	}
	return errors.Wrap(err, "commit")
}

// outcome is the outcome of a commit, as found by reading its rows back.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeCommitted
	outcomeConflict
)

// readBack finds out whether a change was committed. A change row is never
// overwritten, so a row of the change's version is conclusive, even if the read is
// stale. If there is none, because the transaction has not taken effect or the row
// was compacted, an audit row of the change proves that it was committed.
func (c *Committer) readBack(ctx context.Context, d configurer.Delta) (outcome, error) {
	row, err := c.o.Table.Read(ctx, changeKey(d.Version))
	if err == nil {
		found, err := decodeChange(row)
		switch {
		case err != nil:
			return outcomeUnknown, err
		case found.ID == d.ID:
			return outcomeCommitted, nil
		}
		return outcomeConflict, nil
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return outcomeUnknown, errors.Wrap(err, "read change back")
	}
	if _, err = c.o.Table.Read(ctx, auditKey(d.Version, d.ID)); err == nil {
		return outcomeCommitted, nil
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return outcomeUnknown, errors.Wrap(err, "read audit record back")
	}
	return outcomeUnknown, nil
}

// conflict returns a ConflictError with the changes after the base of d.
func (c *Committer) conflict(ctx context.Context, d configurer.Delta) error {
	changes, err := c.changesAfter(ctx, d.Base, pageRows)
	if err != nil {
		c.o.Warn(errors.Wrap(err, "read conflicting changes"))
	}
	return &ConflictError{Base: d.Base, Changes: changes}
}
