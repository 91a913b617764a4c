// Package registrar keeps the targets that may be used, from successive reads of
// the registry in which targets enter themselves. It is pure.
package registrar

import (
	"slices"
	"strings"
	"time"
)

// Entry is what a target says of itself.
type Entry struct {
	ID      string
	Service string
	// Address is IP:PORT. Addresses of ended targets are used again by others.
	Address    string
	DataCentre string
	// Incarnation differs between two starts of a target under one ID.
	Incarnation int64
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// WarmUp is how much longer the target is slow after its start.
	WarmUp time.Duration
}

// Registry holds the usable targets.
type Registry struct {
	settings Settings
	// revision is that of the newest read; older reads are ignored.
	revision uint64
	entries  map[string]*record
	// outageEnd is the time of the first successful read after failed ones.
	outageEnd time.Duration
	outage    bool
}

// Settings configures a Registry.
type Settings struct {
	// Grace is the time after an outage of the registry in which a missing entry
	// does not mean that the target has gone: entries lapse during an outage and
	// targets need this long to write them again.
	Grace time.Duration
}

type record struct {
	entry Entry
	// draining stays set for the life of the incarnation.
	draining bool
	// missing is set while the last read did not contain the entry.
	missing bool
}

// New returns an empty Registry.
func New(s Settings) *Registry {
	return &Registry{settings: s, entries: map[string]*record{}}
}

// Fail notes a failed read.
func (r *Registry) Fail() { r.outage = true }

// Outage reports whether the last read failed.
func (r *Registry) Outage() bool { return r.outage }

// Apply takes a whole read of the registry at the given revision. It reports
// false for a read that is older than one already applied.
func (r *Registry) Apply(now time.Duration, revision uint64, entries []Entry) bool {
	if revision < r.revision {
		return false
	}
	r.revision = revision
	if r.outage {
		r.outage, r.outageEnd = false, now+r.settings.Grace
	}
	r.replace(now, entries)
	return true
}

// Follow takes the entries that another daemon has read. Since that daemon had
// no outage, entries that are missing are gone.
func (r *Registry) Follow(now time.Duration, revision uint64, entries []Entry) bool {
	if revision < r.revision {
		return false
	}
	r.revision, r.outage, r.outageEnd = revision, false, now
	r.replace(now, entries)
	return true
}

// Confirm notes that another daemon has just read the entries that are known here,
// so that an outage is over.
func (r *Registry) Confirm(now time.Duration) {
	if r.outage {
		r.outage, r.outageEnd = false, now
	}
}

// replace puts the entries in the place of those known before.
func (r *Registry) replace(now time.Duration, entries []Entry) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		old := r.entries[e.ID]
		if old == nil || old.entry.Incarnation != e.Incarnation || old.entry.Address != e.Address {
			old = &record{}
			r.entries[e.ID] = old
		}
		old.entry, old.missing = e, false
		old.draining = old.draining || e.Draining
	}
	for id, rec := range r.entries {
		if present[id] {
			continue
		}
		rec.missing = true
		if now >= r.outageEnd || rec.draining {
			delete(r.entries, id)
		}
	}
}

// Revision returns that of the newest read.
func (r *Registry) Revision() uint64 { return r.revision }

// Entries returns all entries that count, draining ones included, sorted by ID.
func (r *Registry) Entries() []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, rec := range r.entries {
		e := rec.entry
		e.Draining, e.WarmUp = rec.draining, 0
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Usable returns the targets that may get new requests, sorted by ID.
func (r *Registry) Usable() []Entry {
	var usable []Entry
	for _, rec := range r.entries {
		if !rec.draining {
			usable = append(usable, rec.entry)
		}
	}
	slices.SortFunc(usable, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return usable
}
