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

// ConflictError tells the loser of a race what was committed instead. It matches
// provider.ErrConflict.
type ConflictError struct {
	// Base is the version that the refused change was made for.
	Base uint64
	// Changes are the changes after Base, oldest first, at most 100. It is empty
	// when they could not be read.
	Changes []configurer.Delta
}

// Error names the authors of the newer changes.
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

// Commit makes a change of the configuration from durable, on condition that
// from is still the current version, and returns the new configuration. It sets
// the delta's Base, Version, Time and, when empty, ID; action says what the
// operator did, for the audit trail.
//
// A lost answer is resolved by reading back; while that shows no outcome, the
// same transaction is sent again, which cannot take effect twice. Errors:
// *ConflictError, ErrEmpty, configurer.ErrInvalid, provider.ErrUnavailable and
// provider.ErrRefused (no effect), provider.ErrUnknown (may have or get effect).
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
		if err := c.Maintain(ctx, next); err != nil {
			c.o.Warn(errors.Wrap(err, "write a snapshot after the commit"))
		}
	}
	return next, d, nil
}

func (c *Committer) commit(ctx context.Context, d configurer.Delta, action string) error {
	h, revision, err := c.readHead(ctx)
	for pause := c.o.Backoff; err == nil && h.Version < d.Base; pause *= 2 {
		// A late read; a few more tries see the version that from was loaded at.
		if pause >= c.o.Backoff<<commitAttempts || !sleeper.Sleep(ctx, pause) {
			return errors.Mark(errors.Wrapf(ErrStaleRead, "version %d, have %d", h.Version, d.Base), provider.ErrUnavailable)
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

// transact sends the transaction until its outcome is known.
func (c *Committer) transact(ctx context.Context, d configurer.Delta, conditions []provider.Condition, puts []provider.Row) error {
	possible := false // an attempt has or may yet get effect
	pause := c.o.Backoff
	var err error
	for range commitAttempts {
		if err = c.o.Table.Transact(ctx, conditions, puts, nil); err == nil {
			return nil
		}
		if errors.Is(err, provider.ErrRefused) && !possible {
			return errors.Wrap(err, "commit")
		}
		// A conflict can be with the change itself, when an earlier attempt or a
		// repetition by the transport took effect.
		if errors.Is(err, provider.ErrUnknown) || errors.Is(err, provider.ErrConflict) {
			possible = true
			switch outcome, readErr := c.readBack(ctx, d); {
			case outcome == outcomeCommitted:
				return nil
			case outcome == outcomeLost:
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
	if possible {
		switch outcome, _ := c.readBack(ctx, d); outcome {
		case outcomeCommitted:
			return nil
		case outcomeLost:
			return c.conflict(ctx, d)
		}
		return errors.Wrapf(provider.ErrUnknown, "commit of change %s as version %d: %v", d.ID, d.Version, err)
	}
	return errors.Wrap(err, "commit")
}

type outcome int

const (
	outcomeUnclear outcome = iota
	outcomeCommitted
	outcomeLost
)

// readBack finds out whether a change was committed. Change rows never change
// once written, so a row of the version decides, even when the read is late.
// When there is none, because the transaction has not taken effect or the row
// was compacted, an audit row of the change proves that it was committed.
func (c *Committer) readBack(ctx context.Context, d configurer.Delta) (outcome, error) {
	row, err := c.o.Table.Read(ctx, changeKey(d.Version))
	if err == nil {
		found, err := decodeChange(row)
		switch {
		case err != nil:
			return outcomeUnclear, err
		case found.ID == d.ID:
			return outcomeCommitted, nil
		}
		return outcomeLost, nil
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return outcomeUnclear, errors.Wrap(err, "read the change back")
	}
	if _, err = c.o.Table.Read(ctx, auditKey(d.Version, d.ID)); err == nil {
		return outcomeCommitted, nil
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return outcomeUnclear, errors.Wrap(err, "read the audit record back")
	}
	return outcomeUnclear, nil
}

func (c *Committer) conflict(ctx context.Context, d configurer.Delta) error {
	changes, err := c.changesAfter(ctx, d.Base, pageRows)
	if err != nil {
		c.o.Warn(errors.Wrap(err, "read the changes that won"))
	}
	return &ConflictError{Base: d.Base, Changes: changes}
}
