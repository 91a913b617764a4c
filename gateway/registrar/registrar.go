// Package registrar computes the usable targets from successive reads of the
// registry, in which targets enter themselves. The package does no I/O; callers pass
// the time.
package registrar

import (
	"slices"
	"strings"
	"time"
)

// Entry is the registry entry of a target.
type Entry struct {
	ID      string
	Service string
	// Address is IP:PORT. The address of an ended target may be used again by another
	// one.
	Address    string
	DataCentre string
	// Incarnation distinguishes the starts of a target under the same ID.
	Incarnation int64
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining is set if the target should get no new requests.
	Draining bool
	// WarmUp is how much longer the target is slow after its start.
	WarmUp time.Duration
}

// Read is a complete read of the registry.
type Read struct {
	// Revision is that of the store at the read.
	Revision uint64
	// StoreTime is the time of the store's clock at the read; 0 means unknown.
	StoreTime time.Duration
	Entries   []Entry
}

// Departure is one start of a target that is known to leave, whatever its entry says.
type Departure struct {
	ID          string
	Incarnation int64
}

// Registry holds the entries that are in effect. It is not safe for concurrent use.
type Registry struct {
	settings Settings
	// revision is the revision of the newest read. Older reads are ignored.
	revision uint64
	// entries holds the entries by the IDs of their targets.
	entries map[string]*record
	// graceEnd is the time from which missing entries are removed: the first successful
	// read after an outage plus Settings.Grace.
	graceEnd time.Duration
	// outage is set from a failed read until a successful read or a call of
	// ConfirmByPeer.
	outage bool
	// departures holds the time at which this daemon learned of each departure that it
	// remembers. A departure is permanent.
	departures map[Departure]time.Duration
}

// departureMemory is how long a departure is remembered: longer than any target takes to
// end after it has announced that it leaves.
const departureMemory = time.Hour

// Settings configures a Registry.
type Settings struct {
	// Grace is the time after an outage of the registry in which a missing entry does
	// not mean that the target has ended: entries expire during an outage, and targets
	// need this long to write them again.
	Grace time.Duration
}

// record is an entry with its state over successive reads.
type record struct {
	entry Entry
	// missing is set if the last read did not contain the entry.
	missing bool
}

// New returns an empty Registry.
func New(s Settings) *Registry {
	return &Registry{settings: s, entries: map[string]*record{}, departures: map[Departure]time.Duration{}}
}

// RecordFailedRead records a failed read, which starts an outage.
func (r *Registry) RecordFailedRead() { r.outage = true }

// Outage reports whether a failed read was recorded and no successful read since,
// neither of this daemon nor of another one.
func (r *Registry) Outage() bool { return r.outage }

// ApplyRead replaces the entries by those of a complete read at the given revision,
// except that entries missing during the grace are kept. It ignores a read that is
// older than the last one and returns false.
func (r *Registry) ApplyRead(now time.Duration, revision uint64, entries []Entry) bool {
	if revision < r.revision {
		return false
	}
	r.revision = revision
	if r.outage {
		r.outage, r.graceEnd = false, now+r.settings.Grace
	}
	r.setEntries(now, entries)
	return true
}

// ApplyPeerRead replaces the entries by those that another daemon has read. That
// daemon had no outage, so that missing entries are removed without a grace. It
// ignores a read that is older than the last one and returns false.
func (r *Registry) ApplyPeerRead(now time.Duration, revision uint64, entries []Entry) bool {
	if revision < r.revision {
		return false
	}
	r.revision, r.outage, r.graceEnd = revision, false, now
	r.setEntries(now, entries)
	return true
}

// ConfirmByPeer records that another daemon has just read the same entries from the
// registry, which ends an outage without a grace.
func (r *Registry) ConfirmByPeer(now time.Duration) {
	if r.outage {
		r.outage, r.graceEnd = false, now
	}
}

// setEntries replaces the entries. Missing ones are kept until graceEnd unless they
// are draining.
func (r *Registry) setEntries(now time.Duration, entries []Entry) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		old := r.entries[e.ID]
		if old == nil || old.entry.Incarnation != e.Incarnation || old.entry.Address != e.Address {
			old = &record{}
			r.entries[e.ID] = old
		}
		old.entry, old.missing = e, false
		if e.Draining {
			r.RecordDeparture(now, departureOf(e))
		}
	}
	for id, rec := range r.entries {
		if present[id] {
			continue
		}
		rec.missing = true
		if now >= r.graceEnd || r.departed(rec.entry) {
			delete(r.entries, id)
		}
	}
}

func departureOf(e Entry) Departure { return Departure{ID: e.ID, Incarnation: e.Incarnation} }

func (r *Registry) departed(e Entry) bool {
	_, ok := r.departures[departureOf(e)]
	return ok
}

// RecordDeparture records that a target leaves. It reports whether that is news.
func (r *Registry) RecordDeparture(now time.Duration, d Departure) bool {
	if _, ok := r.departures[d]; ok {
		return false
	}
	for old, at := range r.departures {
		if now-at > departureMemory {
			delete(r.departures, old)
		}
	}
	r.departures[d] = now
	return true
}

// RecentDepartures returns the departures of which this daemon has learned since the
// given time.
func (r *Registry) RecentDepartures(since time.Duration) []Departure {
	var recent []Departure
	for d, at := range r.departures {
		if at >= since {
			recent = append(recent, d)
		}
	}
	return recent
}

// Revision returns the revision of the newest read.
func (r *Registry) Revision() uint64 { return r.revision }

// Entries returns all entries in effect, including those of targets that leave, sorted
// by ID and without their WarmUp.
func (r *Registry) Entries() []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, rec := range r.entries {
		e := rec.entry
		e.WarmUp = 0
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Usable returns the entries of the targets that may get new requests, sorted by ID.
func (r *Registry) Usable() []Entry {
	var usable []Entry
	for _, rec := range r.entries {
		if !r.departed(rec.entry) {
			usable = append(usable, rec.entry)
		}
	}
	slices.SortFunc(usable, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return usable
}
