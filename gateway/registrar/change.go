package registrar

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Change is the difference between two successive states of the registry.
type Change struct {
	// Base is the digest of the state before the change, Digest that of the state after
	// it.
	Base, Digest uint64
	// Moment is that of the state after the change.
	Moment
	// Entries are the new and changed entries, RemovedIDs the IDs of the removed ones.
	Entries    []Entry
	RemovedIDs []string
}

// WithWarmUp returns the change with the WarmUp of its entries, as of the given time.
func (c Change) WithWarmUp(now time.Duration, coldUntil map[Departure]time.Duration) Change {
	c.Entries = slices.Clone(c.Entries)
	for i, e := range c.Entries {
		c.Entries[i].WarmUp = max(coldUntil[departureOf(e)]-now, e.WarmUp)
	}
	return c
}

// Digest returns a hash of the entries that does not depend on their order. It does
// not include WarmUp.
func Digest(entries []Entry) uint64 {
	sum := uint64(0)
	for _, e := range entries {
		text := fmt.Sprintf("%s %s %s %s %d %d %t", e.ID, e.Service, e.Address, e.DataCentre, e.Incarnation, e.Slots, e.Draining)
		if e.Version != "" {
			text += " version " + e.Version
		}
		if e.Cold { // daemons that do not know of cold targets have the same digest without any
			text += " cold"
		}
		sum += xxhash.Sum64String(text)
	}
	return sum
}

// Difference returns the change from one state to another.
func Difference(before, after []Entry, m Moment) Change {
	c := Change{Base: Digest(before), Digest: Digest(after), Moment: m}
	old := make(map[string]Entry, len(before))
	for _, e := range before {
		old[e.ID] = e
	}
	for _, e := range after {
		if o, ok := old[e.ID]; !ok || o != e {
			c.Entries = append(c.Entries, e)
		}
		delete(old, e.ID)
	}
	for id := range old {
		c.RemovedIDs = append(c.RemovedIDs, id)
	}
	return c
}

// Apply returns the state after the change. It returns false if the change does not
// start from the given state, or if the result does not have the expected digest.
func (c Change) Apply(entries []Entry) ([]Entry, bool) {
	if Digest(entries) != c.Base {
		return nil, false
	}
	replaced := make(map[string]bool, len(c.Entries)+len(c.RemovedIDs))
	for _, id := range c.RemovedIDs {
		replaced[id] = true
	}
	for _, e := range c.Entries {
		replaced[e.ID] = true
	}
	var after []Entry
	for _, e := range entries {
		if !replaced[e.ID] {
			after = append(after, e)
		}
	}
	after = append(after, c.Entries...)
	return after, Digest(after) == c.Digest
}
