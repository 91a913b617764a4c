package detector

import (
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"monsoondeck.example/messenger"
)

// State is what a daemon believes of a member. The order matters: of two facts
// with the same incarnation and refutation, the larger state wins.
type State uint8

// The values are those of messenger.MemberUpdate.State.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Member is one daemon of the fleet.
type Member struct {
	ID, Address, DataCentre string
	// Incarnation is larger for a newer process of the daemon. Refutation is raised
	// by the process to refute a suspicion or removal.
	Incarnation, Refutation uint64
	State                   State
}

func (m Member) live() bool { return m.State <= Suspect }

func (m Member) update() messenger.MemberUpdate {
	return messenger.MemberUpdate{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre,
		State: uint64(m.State), Incarnation: m.Incarnation, Refutation: m.Refutation}
}

// newer reports whether fact u takes precedence over m.
func newer(u messenger.MemberUpdate, m Member) bool {
	if u.Incarnation != m.Incarnation {
		return u.Incarnation > m.Incarnation
	}
	if u.Refutation != m.Refutation {
		return u.Refutation > m.Refutation
	}
	return u.State > uint64(m.State)
}

// hash covers the fields that two daemons must agree on.
func hash(m Member) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.ID + "\x00" + strconv.FormatUint(m.Incarnation, 16)))
	v := h.Sum64()
	return uint32(v ^ v>>32)
}

func compareIDs(a, b string) int { return strings.Compare(a, b) }

// entry is what this daemon knows of another one.
type entry struct {
	Member
	// since is when the state was entered.
	since time.Duration
	// deadline is when a suspect is removed.
	deadline time.Duration
	// checks counts how often the suspect was probed again before its removal, and
	// nonce is that of the last check.
	checks int
	nonce  uint64
	// quiet is set on a suspicion that only the suspect is told of.
	quiet bool
	// reported is set when another daemon has removed the suspect.
	reported bool
	// left is how often the fact is still sent.
	left int
}

// apply takes over a fact if it is newer than what is known, and spreads it.
//
// The removal of a live member is taken as a suspicion at first. When a partition
// ends, each side has removed members that are well on the other side. They must
// not disappear there too before they have had the time to refute it.
func (d *Detector) apply(now time.Duration, u messenger.MemberUpdate) {
	if u.ID == "" || u.State > uint64(Left) {
		return
	}
	if u.ID == d.self.ID {
		d.refute(u)
		return
	}
	e := d.entries[u.ID]
	if e == nil {
		e = d.add(u.ID)
	} else if !newer(u, e.Member) {
		return
	}
	m := Member{ID: e.ID, Address: u.Address, DataCentre: u.DataCentre,
		Incarnation: u.Incarnation, Refutation: u.Refutation, State: State(u.State)}
	reported := m.State == Dead && e.live() && e.Incarnation == m.Incarnation
	if reported {
		if m.State = Suspect; e.Member == m {
			e.reported = true
			return
		}
	}
	d.set(now, e, m)
	e.reported = reported
	e.left = d.repeats()
}

// refute answers a suspicion or removal of this daemon by raising its counter.
func (d *Detector) refute(u messenger.MemberUpdate) {
	switch {
	case u.Incarnation > d.self.Incarnation:
		d.superseded = true
	case u.Incarnation < d.self.Incarnation, u.Refutation < d.self.Refutation, u.Refutation == math.MaxUint64:
	case d.self.State != Left && State(u.State) != Alive:
		d.self.Refutation = u.Refutation + 1
		d.members = nil
	}
}

// add returns a new entry that no fact has been applied to.
func (d *Detector) add(id string) *entry {
	e := &entry{Member: Member{ID: id, State: Dead}}
	d.entries[id] = e
	i, _ := slices.BinarySearchFunc(d.order, id, func(e *entry, id string) int { return compareIDs(e.ID, id) })
	d.order = slices.Insert(d.order, i, e)
	return e
}

// set changes an entry and everything that is derived from it.
func (d *Detector) set(now time.Duration, e *entry, m Member) {
	wasLive, wasSuspect := e.live(), e.State == Suspect
	if wasLive {
		d.digest ^= hash(e.Member)
		d.live--
	}
	if wasSuspect {
		d.suspects--
	}
	e.Member, e.since, e.checks, e.reported, e.quiet = m, now, 0, false, false
	if m.State == Suspect {
		e.deadline = now + d.settings.Suspicion
		d.suspects++
	}
	if m.live() {
		d.digest ^= hash(m)
		d.live++
	}
	if wasLive || m.live() {
		d.members = nil
	}
	if !wasLive && m.live() {
		d.insert(e)
	}
}

// insert adds a new member at a random place in the rest of the probe round.
func (d *Detector) insert(e *entry) {
	if slices.Contains(d.ring[d.next:], e) {
		return
	}
	i := d.next + d.random.IntN(len(d.ring)-d.next+1)
	d.ring = slices.Insert(d.ring, i, e)
}

func (d *Detector) address(id string) string {
	if e := d.entries[id]; e != nil {
		return e.Address
	}
	return ""
}

// forget drops the removed members that are no longer worth remembering.
func (d *Detector) forget(now time.Duration) {
	removed := len(d.order) - d.live
	oldest := now - d.settings.Retention
	if excess := removed - d.settings.MaxRemoved; excess > 0 {
		var times []time.Duration
		for _, e := range d.order {
			if !e.live() {
				times = append(times, e.since)
			}
		}
		slices.Sort(times)
		oldest = max(oldest, times[excess])
	}
	d.order = slices.DeleteFunc(d.order, func(e *entry) bool {
		drop := !e.live() && e.since < oldest
		if drop {
			delete(d.entries, e.ID)
		}
		return drop
	})
}
