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
	// Version is that of the software of the target. Versions have no order, and what two of
	// them write does not fit together; empty stands for a version of its own.
	Version string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining is set if the target should get no new requests.
	Draining bool
	// WarmUp is how much longer the target is cold, as of the read that returned the entry;
	// 0 if it is warm, or if that is not known.
	WarmUp time.Duration
	// Cold is set by Registry while the target is cold by the latest state. Unlike WarmUp
	// it is a part of the state on which daemons agree.
	Cold bool
}

// Moment is a point in the history of the store.
type Moment struct {
	// Era increases whenever the store comes back with an older state; Revision increases
	// with each change within an era.
	Era, Revision uint64
}

// Before reports whether the moment is earlier than another one.
func (m Moment) Before(other Moment) bool {
	return m.Era < other.Era || m.Era == other.Era && m.Revision < other.Revision
}

// Read is a complete read of the registry.
type Read struct {
	Moment
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
	// moment is that of the newest read. Older reads are ignored.
	moment Moment
	// entries holds the entries by the IDs of their targets.
	entries map[string]*record
	// graceEnd is the time from which missing entries are removed: the first successful
	// read after an outage or in a new era plus Settings.Grace.
	graceEnd time.Duration
	// outage is set from a failed read until a successful read or a call of
	// ConfirmByPeer.
	outage bool
	// departures holds the time at which this daemon learned of each departure that it
	// remembers. A departure is permanent.
	departures map[Departure]time.Duration
	// removals holds, of targets whose entries were removed, the time of the removal. A
	// store that comes back with an older state has the entries again; until eraSettled,
	// they are not used.
	removals   map[Departure]time.Duration
	eraSettled time.Duration
}

// unknownWarmUp is the WarmUp of the last own read of an entry that has not been read.
const unknownWarmUp = -1

// departureMemory is how long a departure is remembered: longer than any target takes to
// end after it has announced that it leaves.
const departureMemory = time.Hour

// Settings configures a Registry.
type Settings struct {
	// Grace is the time after an outage of the registry in which a missing entry does
	// not mean that the target has ended: entries expire during an outage, and targets
	// need this long to write them again. It also is the time for which a store that came
	// back with an older state may have entries that were removed.
	Grace time.Duration
	// Cold is set if the deployment limits the requests to cold targets. Otherwise no
	// target counts as cold.
	Cold bool
}

// record is an entry with its state over successive reads.
type record struct {
	entry Entry
	// missing is set if the last read did not contain the entry.
	missing bool
	// hidden is set if the entry was removed and only came back with an older state of the
	// store.
	hidden bool
	// warmUp is the WarmUp of the last own read, coldUntil the time until which the target
	// is cold by it. An entry that is read again with the same WarmUp was not written again.
	warmUp, coldUntil time.Duration
}

// New returns an empty Registry.
func New(s Settings) *Registry {
	return &Registry{settings: s, entries: map[string]*record{}, departures: map[Departure]time.Duration{}, removals: map[Departure]time.Duration{}}
}

// RecordFailedRead records a failed read, which starts an outage.
func (r *Registry) RecordFailedRead() { r.outage = true }

// Outage reports whether a failed read was recorded and no successful read since,
// neither of this daemon nor of another one.
func (r *Registry) Outage() bool { return r.outage }

// ApplyRead replaces the entries by those of a complete read, except that entries missing
// during the grace are kept. It ignores a read that is older than the last one and
// returns false.
func (r *Registry) ApplyRead(now time.Duration, read Read) bool {
	if read.Before(r.moment) {
		return false
	}
	if r.startEra(now, read.Moment) || r.outage {
		r.graceEnd = now + r.settings.Grace
	}
	r.moment, r.outage = read.Moment, false
	r.setEntries(now, read.Entries, (*record).recordWarmUp)
	return true
}

// startEra records that a read is the first one after the store came back with an older
// state, and reports whether it is.
func (r *Registry) startEra(now time.Duration, m Moment) bool {
	started := r.moment != Moment{} && m.Era > r.moment.Era
	if started {
		r.eraSettled = now + r.settings.Grace
	}
	return started
}

// ApplyPeerRead replaces the entries by those that another daemon has read. That
// daemon had no outage, so that missing entries are removed without a grace. It
// ignores a read that is older than the last one and returns false.
func (r *Registry) ApplyPeerRead(now time.Duration, read Read) bool {
	if read.Before(r.moment) {
		return false
	}
	r.startEra(now, read.Moment)
	r.moment, r.outage, r.graceEnd = read.Moment, false, now
	r.setEntries(now, read.Entries, (*record).recordPeerWarmUp)
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
// are draining. warmUp updates a record by the WarmUp of its entry.
func (r *Registry) setEntries(now time.Duration, entries []Entry, warmUp func(rec *record, now time.Duration, e Entry)) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		old := r.entries[e.ID]
		if old == nil || old.entry.Incarnation != e.Incarnation || old.entry.Address != e.Address {
			old = &record{warmUp: unknownWarmUp}
			r.entries[e.ID] = old
		}
		if r.settings.Cold {
			warmUp(old, now, e)
		}
		e.Cold = now < old.coldUntil
		old.entry, old.missing = e, false
		if e.Draining {
			r.RecordDeparture(now, departureOf(e))
		}
		_, removed := r.removals[departureOf(e)]
		if old.hidden = removed && now < r.eraSettled; !old.hidden {
			delete(r.removals, departureOf(e))
		}
	}
	for id, rec := range r.entries {
		if present[id] {
			continue
		}
		rec.missing = true
		if now >= r.graceEnd || r.departed(rec.entry) {
			delete(r.entries, id)
			remember(r.removals, now, departureOf(rec.entry))
		}
	}
}

// Settle makes the entries usable that came back with an older state of the store and are
// still there. It reports whether there are any.
func (r *Registry) Settle(now time.Duration) bool {
	settled := false
	for _, rec := range r.entries {
		if rec.hidden && now >= r.eraSettled {
			rec.hidden, settled = false, true
			delete(r.removals, departureOf(rec.entry))
		}
	}
	return settled
}

// remember adds a departure and drops those that are older than departureMemory.
func remember(known map[Departure]time.Duration, now time.Duration, d Departure) {
	for old, at := range known {
		if now-at > departureMemory {
			delete(known, old)
		}
	}
	known[d] = now
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
	remember(r.departures, now, d)
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

// Moment returns the moment of the newest read.
func (r *Registry) Moment() Moment { return r.moment }

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
		if !rec.hidden && !r.departed(rec.entry) {
			usable = append(usable, rec.entry)
		}
	}
	slices.SortFunc(usable, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return usable
}
