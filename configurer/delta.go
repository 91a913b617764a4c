package configurer

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of WithDelta.
var (
	// ErrVersionGap means that the delta's base is not the configuration's version:
	// deltas in between are missing.
	ErrVersionGap = errors.New("base of the delta is not the version of the configuration")
	// ErrStale means that the configuration already contains the delta's version.
	ErrStale = errors.New("delta is not newer than the configuration")
	// ErrInvalid means that the delta is inconsistent or contains an invalid row.
	ErrInvalid = errors.New("invalid configuration")
)

// Delta is one change of the configuration: the rows that are put (inserted or
// replaced) and removed between two versions. Removing an absent row has no
// effect.
type Delta struct {
	// ID is unique per change. It identifies a change in the table service when the
	// response to its commit was lost.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Base is the version that the delta applies to, Version the one that results;
	// Version is greater than Base.
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`

	PutAccounts     []Account  `json:"putAccounts,omitempty"`
	RemoveAccounts  []string   `json:"removeAccounts,omitempty"`
	PutTargets      []Target   `json:"putTargets,omitempty"`
	RemoveTargets   []string   `json:"removeTargets,omitempty"`
	PutOperators    []Operator `json:"putOperators,omitempty"`
	RemoveOperators []string   `json:"removeOperators,omitempty"`
}

// Rows returns the number of rows put and removed.
func (d Delta) Rows() int {
	return len(d.PutAccounts) + len(d.RemoveAccounts) + len(d.PutTargets) + len(d.RemoveTargets) +
		len(d.PutOperators) + len(d.RemoveOperators)
}

// WithDelta returns the configuration with the delta applied, or c itself on
// error. Errors: ErrStale, ErrVersionGap, ErrInvalid.
func (c Config) WithDelta(d Delta) (Config, error) {
	switch {
	case d.Version <= d.Base:
		return c, errors.Wrapf(ErrInvalid, "change %s: version %d is not greater than base %d", d.ID, d.Version, d.Base)
	case d.Version <= c.version:
		return c, errors.Wrapf(ErrStale, "delta has version %d, configuration has version %d", d.Version, c.version)
	case d.Base != c.version:
		return c, errors.Wrapf(ErrVersionGap, "delta has base %d, configuration has version %d", d.Base, c.version)
	}
	b := newBuilder(c)
	if err := b.apply(d); err != nil {
		return c, err
	}
	return b.config(d.Version), nil
}

// Difference returns the delta that turns the rows of from into those of to. Its
// Base is the version of from; the caller sets ID, Author, Time and Version.
func Difference(from, to Config) Delta {
	d := Delta{Base: from.version}
	d.PutAccounts, d.RemoveAccounts = rowDifference(from.accounts, to.accounts, Account.Equal)
	d.PutTargets, d.RemoveTargets = rowDifference(from.targets, to.targets, Target.Equal)
	d.PutOperators, d.RemoveOperators = rowDifference(from.operators, to.operators,
		func(a, b Operator) bool { return a == b })
	return d
}

func rowDifference[V any](from, to index[V], equal func(a, b V) bool) (puts []V, removes []string) {
	for id, v := range to.entries() {
		if old, ok := from.get(id); !ok || !equal(old, v) {
			puts = append(puts, v)
		}
	}
	for id := range from.entries() {
		if _, ok := to.get(id); !ok {
			removes = append(removes, id)
		}
	}
	return puts, removes
}

func compareTargets(a, b Target) int { return cmp.Compare(a.ID, b.ID) }
