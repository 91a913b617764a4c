package pacer

import (
	"math"
	"time"
)

const (
	// clockSlack is by how much the times at which two daemons open the same slot may
	// differ, because each knows the common clock only by its calls.
	clockSlack = 100 * time.Millisecond
	// membershipSlack is the share of further slots for which a bound has room: daemons that
	// do not know of each other yet have slots that overlap.
	membershipSlack = 0.1
	// minTurnLifetime is the shortest time for which a slot is open. A shorter one passes
	// before a waiting request is looked at.
	minTurnLifetime = 50 * time.Millisecond
	// maxTurnLifetime keeps slots from being used long after they opened, however much room
	// a bound has.
	maxTurnLifetime = 2 * time.Second
	// exactDaemons is the number of daemons up to which a cycle has exactly one slot for each,
	// and cycleStep the factor between the lengths of longer cycles. Daemons that know a
	// slightly different number of others must have the same cycle: else their slots would
	// not be spread evenly.
	exactDaemons = 16
	cycleStep    = 1.125
	// restShare is the share of a cycle for which a daemon has no slot after one that it has
	// used, also if its place changes: while daemons join, the place of each moves on again
	// and again, and its next slot would come too soon.
	restShare = 0.75
	// unknownTurn is the wait for a slot that will never open by what is known now.
	unknownTurn = time.Second
)

// Bound limits the requests that a target gets in any second from all daemons together.
type Bound struct {
	// PerSecond is the rate that the target takes. In any second, it may get at most
	// Overshoot times PerSecond requests, plus Tolerance.
	PerSecond, Overshoot, Tolerance float64
}

// Requests returns the number of requests that the target may get in any second.
func (b Bound) Requests() float64 { return b.PerSecond*b.Overshoot + b.Tolerance }

// plan returns the rate of the slots and the time for which each is open. The requests of
// any second use slots that were opened in that second or within one lifetime before, so
// that the bound holds whatever the demand.
func (b Bound) plan() (perSecond float64, lifetime time.Duration) {
	room := (b.Requests() - 1) / (1 + membershipSlack)
	shortest := (time.Second + clockSlack + minTurnLifetime).Seconds()
	perSecond = min(b.PerSecond, max(room/shortest, 0))
	if perSecond <= 0 {
		return 0, 0
	}
	longest := time.Duration((room/perSecond-1)*float64(time.Second)) - clockSlack
	return perSecond, min(max(longest, minTurnLifetime), maxTurnLifetime)
}

// Place is the place of a daemon among all daemons of the fleet, whether it hears from
// them or not: their number, and how many come before it in the order of their names.
type Place struct{ Rank, Daemons int }

// Turns divides a Bound among the daemons of a fleet by time. The slots of a target open
// at equal intervals of a clock that the daemons have in common, and belong to them in the
// order of their names, one for each in a cycle. A slot that its daemon does not use in
// time is lost. So the bound holds without messages, on both sides of a partition, and
// while daemons restart. Turns are not safe for concurrent use.
type Turns struct {
	bound Bound
	place Place
	// cycle is the time between two slots of this daemon in seconds, 0 if it has none, phase
	// the time of the first one, and lifetime the time for which each is open.
	cycle, phase float64
	lifetime     time.Duration
	// next is the number of the first slot of this daemon that it may still use.
	next int64
	// restUntil is the time before which no slot opens that this daemon may use because of
	// a change of its place.
	restUntil time.Duration
	// known is set once the other fields are.
	known bool
}

// Set sets the bound and the place of this daemon. offset is the same at all daemons and
// differs between targets, so that a daemon does not have its slots at all of them
// together. After a change, only slots that open from now on are used: a daemon that has
// just started begins without an open slot.
func (t *Turns) Set(now time.Duration, b Bound, p Place, offset uint64) {
	if t.known && b == t.bound && p == t.place {
		return
	}
	perSecond, lifetime := b.plan()
	rest := min(t.restUntil, now+time.Duration(t.cycle*float64(time.Second)))
	*t = Turns{bound: b, place: p, lifetime: lifetime, restUntil: rest, known: true}
	if perSecond <= 0 || p.Daemons <= 0 {
		return
	}
	t.cycle = slotsPerCycle(p.Daemons) / perSecond
	_, part := math.Modf(float64(p.Rank)/float64(p.Daemons) + float64(offset)/math.MaxUint64)
	t.phase = part * t.cycle
	t.next = t.firstFrom(max(now, rest))
}

// slotsPerCycle returns the number of slots in a cycle of a fleet, which is at least that
// of its daemons.
func slotsPerCycle(daemons int) float64 {
	if daemons <= exactDaemons {
		return float64(daemons)
	}
	steps := math.Ceil(math.Log(float64(daemons)/exactDaemons)/math.Log(cycleStep) - 1e-9)
	return exactDaemons * math.Pow(cycleStep, steps)
}

// Wait returns the time until this daemon has a slot; 0 if it has one now. now is a time
// of the common clock.
func (t *Turns) Wait(now time.Duration) time.Duration {
	if t.cycle <= 0 {
		return unknownTurn
	}
	return max(t.opens(t.slot(now))-now, 0)
}

// OpenUntil returns the time at which the slot that is open, or else the next one, ends.
func (t *Turns) OpenUntil(now time.Duration) time.Duration {
	if t.cycle <= 0 {
		return now
	}
	return t.opens(t.slot(now)) + t.lifetime
}

// Use uses the slot that is open.
func (t *Turns) Use(now time.Duration) {
	if t.cycle <= 0 {
		return
	}
	if slot := t.slot(now); t.opens(slot) <= now {
		t.next = slot + 1
		t.restUntil = t.opens(slot) + time.Duration(restShare*t.cycle*float64(time.Second))
	}
}

// opens returns the time at which a slot opens.
func (t *Turns) opens(slot int64) time.Duration {
	return time.Duration((float64(slot)*t.cycle + t.phase) * float64(time.Second))
}

// firstFrom returns the first slot that opens at the given time or later.
func (t *Turns) firstFrom(at time.Duration) int64 {
	return int64(math.Ceil((at.Seconds() - t.phase) / t.cycle))
}

// slot returns the first slot that has neither been used nor expired.
func (t *Turns) slot(now time.Duration) int64 {
	if t.next > t.firstFrom(now)+1 {
		t.next = t.firstFrom(now) // the common clock was set back
	}
	return max(t.next, t.firstFrom(now-t.lifetime))
}
