package configurer

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of WithDelta.
var (
	// ErrVersionGap: the delta's base is newer than the configuration; deltas in
	// between are missing.
	ErrVersionGap = errors.New("delta does not follow the configuration's version")
	// ErrStale: the configuration already contains the delta's version.
	ErrStale = errors.New("delta is not newer than the configuration")
	// ErrInvalid: the delta contradicts itself or breaks a rule of the rows.
	ErrInvalid = errors.New("invalid configuration row")
)

// Delta is one change: the rows put and removed between two versions. Removing
// a row that is absent has no effect.
type Delta struct {
	// ID is unique per change; a commit whose answer was lost is recognised by it.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Base is the version that the delta applies to, Version the one it makes;
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

// Rows is the number of rows put and removed.
func (d Delta) Rows() int {
	return len(d.PutAccounts) + len(d.RemoveAccounts) + len(d.PutTargets) + len(d.RemoveTargets) +
		len(d.PutOperators) + len(d.RemoveOperators)
}

// WithDelta returns the configuration after the change. Errors: ErrStale,
// ErrVersionGap, ErrInvalid. On error the configuration is unchanged.
func (c Config) WithDelta(d Delta) (Config, error) {
	switch {
	case d.Version <= d.Base:
		return c, errors.Wrapf(ErrInvalid, "change %s: version %d does not follow base %d", d.ID, d.Version, d.Base)
	case d.Version <= c.version:
		return c, errors.Wrapf(ErrStale, "version %d, have %d", d.Version, c.version)
	case d.Base != c.version:
		return c, errors.Wrapf(ErrVersionGap, "base %d, have %d", d.Base, c.version)
	}
	b := newBuilder(c)
	if err := b.apply(d); err != nil {
		return c, err
	}
	return b.config(d.Version), nil
}

// Difference returns the delta that turns the rows of from into those of to. Its
// Base is the version of from; ID, Author, Time and Version are left to the
// caller.
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
