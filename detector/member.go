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

// State is the state of a member in the view of a daemon. The order matters: of two
// facts with the same incarnation and refutation, the larger state takes precedence.
type State uint8

// States of a member. The values are those of messenger.MemberUpdate.State.
const (
	// Alive means that the member answers probes.
	Alive State = iota
	// Suspect means that the member did not answer and will be removed unless it
	// refutes the suspicion.
	Suspect
	// Dead means that the member was removed after a suspicion.
	Dead
	// Left means that the member announced its shutdown.
	Left
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Member is one daemon of the fleet.
type Member struct {
	ID, Address, DataCentre string
	// Incarnation is larger for a newer process of the daemon. Refutation is a
	// counter that the process raises to refute a suspicion or removal.
	Incarnation, Refutation uint64
	State                   State
}

// live reports whether the member is listed: alive or suspect.
func (m Member) live() bool { return m.State <= Suspect }

// update returns the member as a fact for a message.
func (m Member) update() messenger.MemberUpdate {
	return messenger.MemberUpdate{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre,
		State: uint64(m.State), Incarnation: m.Incarnation, Refutation: m.Refutation}
}

// supersedes reports whether fact u takes precedence over m.
func supersedes(u messenger.MemberUpdate, m Member) bool {
	if u.Incarnation != m.Incarnation {
		return u.Incarnation > m.Incarnation
	}
	if u.Refutation != m.Refutation {
		return u.Refutation > m.Refutation
	}
	return u.State > uint64(m.State)
}

// memberHash returns a hash of the fields that two daemons must agree on.
func memberHash(m Member) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.ID + "\x00" + strconv.FormatUint(m.Incarnation, 16)))
	v := h.Sum64()
	return uint32(v ^ v>>32)
}

func compareIDs(a, b string) int { return strings.Compare(a, b) }

// entry is the view of another daemon. Its Member is the fact known about it.
type entry struct {
	Member
	// stateSince is when the fact about the daemon last changed.
	stateSince time.Duration
	// removalDeadline is when a suspect is removed.
	removalDeadline time.Duration
	// checks counts the checks of the suspect, and checkNonce is the nonce of the
	// last one.
	checks     int
	checkNonce uint64
	// unannounced is set on a fact that gossip leaves out. Only the daemon that it is
	// about receives it.
	unannounced bool
	// removedByOthers is set when another daemon has removed the suspect.
	removedByOthers bool
	// sendsLeft is the number of times that the fact is still to be sent.
	sendsLeft int
}

// applyUpdate adopts a fact if it supersedes the known one, and sends it on.
//
// The removal of a live member is first treated as a suspicion. When a partition
// ends, each side has removed members that are alive on the other side. They must
// not be removed there too before they have had time to refute it.
func (d *Detector) applyUpdate(now time.Duration, u messenger.MemberUpdate) {
	if u.ID == "" || u.State > uint64(Left) {
		return
	}
	if u.ID == d.self.ID {
		d.refute(u)
		return
	}
	e := d.entries[u.ID]
	if e == nil {
		e = d.addEntry(u.ID)
	} else if !supersedes(u, e.Member) {
		return
	}
	m := Member{ID: e.ID, Address: u.Address, DataCentre: u.DataCentre,
		Incarnation: u.Incarnation, Refutation: u.Refutation, State: State(u.State)}
	removedByOthers := m.State == Dead && e.live() && e.Incarnation == m.Incarnation
	if removedByOthers {
		if m.State = Suspect; e.Member == m {
			e.removedByOthers = true
			return
		}
	}
	d.setState(now, e, m)
	e.removedByOthers = removedByOthers
	e.sendsLeft = d.sendsPerFact()
}

// refute handles a fact about this daemon. It refutes a suspicion or removal by
// raising the refutation counter, and notes a newer incarnation.
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

// addEntry adds an entry to which no fact has been applied.
func (d *Detector) addEntry(id string) *entry {
	e := &entry{Member: Member{ID: id, State: Dead}}
	d.entries[id] = e
	i, _ := slices.BinarySearchFunc(d.sortedEntries, id, func(e *entry, id string) int { return compareIDs(e.ID, id) })
	d.sortedEntries = slices.Insert(d.sortedEntries, i, e)
	return e
}

// setState replaces the fact of an entry and updates everything derived from it.
func (d *Detector) setState(now time.Duration, e *entry, m Member) {
	wasLive, wasSuspect := e.live(), e.State == Suspect
	if wasLive {
		d.digest ^= memberHash(e.Member)
		d.liveCount--
	}
	if wasSuspect {
		d.suspectCount--
	}
	e.Member, e.stateSince, e.checks, e.removedByOthers, e.unannounced = m, now, 0, false, false
	if m.State == Suspect {
		e.removalDeadline = now + d.settings.Suspicion
		d.suspectCount++
	}
	if m.live() {
		d.digest ^= memberHash(m)
		d.liveCount++
	}
	if wasLive || m.live() {
		d.members = nil
	}
	if !wasLive && m.live() {
		d.insertInRound(e)
	}
}

// insertInRound adds a new member at a random position in the rest of the probe
// round.
func (d *Detector) insertInRound(e *entry) {
	if slices.Contains(d.probeRound[d.probePosition:], e) {
		return
	}
	i := d.probePosition + d.random.IntN(len(d.probeRound)-d.probePosition+1)
	d.probeRound = slices.Insert(d.probeRound, i, e)
}

// address returns the address of a daemon, or an empty string if it is unknown.
func (d *Detector) address(id string) string {
	if e := d.entries[id]; e != nil {
		return e.Address
	}
	return ""
}

// dropOldRemoved drops removed members after Settings.Retention, and the oldest ones
// above Settings.MaxRemoved.
func (d *Detector) dropOldRemoved(now time.Duration) {
	removed := len(d.sortedEntries) - d.liveCount
	oldest := now - d.settings.Retention
	if excess := removed - d.settings.MaxRemoved; excess > 0 {
		var times []time.Duration
		for _, e := range d.sortedEntries {
			if !e.live() {
				times = append(times, e.stateSince)
			}
		}
		slices.Sort(times)
		oldest = max(oldest, times[excess])
	}
	d.sortedEntries = slices.DeleteFunc(d.sortedEntries, func(e *entry) bool {
		drop := !e.live() && e.stateSince < oldest
		if drop {
			delete(d.entries, e.ID)
		}
		return drop
	})
}
