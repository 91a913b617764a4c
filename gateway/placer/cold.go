package placer

import (
	"math"
	"time"

	"monsoondeck.example/gateway/pacer"
	"monsoondeck.example/gateway/registrar"
)

// restartNotice is the time after a refused connection for which a target counts as cold.
// The connection shows that the process has ended. The next one may answer under the same
// entry for as long as it takes to write a new entry that reaches all daemons.
const restartNotice = 4 * time.Second

// ColdBounds limits the requests to cold targets of services with a rate for them.
type ColdBounds struct {
	// Bounded is set if there is a limit: in any second, all daemons together send a cold
	// target at most Overshoot times the rate of its service, plus Tolerance.
	Bounded              bool
	Overshoot, Tolerance float64
}

// coldFacts is what is known about the cold time of one start of a target.
type coldFacts struct {
	// coldUntil is the end of the cold time by the registry. The registry also states
	// whether the target is cold at all (registrar.Entry.Cold), which wins unless the store
	// does not answer.
	coldUntil time.Duration
	// restartedUntil is the time until which the target counts as cold because it may have
	// started anew without the registry showing it yet.
	restartedUntil time.Duration
	// turns is set while the target is cold.
	turns *pacer.Turns
}

// SetCold sets the ends of the cold times by the registry, and whether the store does not
// answer, so that only these tell when a target is warm.
func (f *Fleet) SetCold(until map[registrar.Departure]time.Duration, outage bool) {
	f.storeOutage = outage
	if !f.settings.Cold.Bounded {
		return
	}
	for d, end := range until {
		if known := f.facts[start{id: d.ID, incarnation: d.Incarnation}]; known != nil {
			known.coldUntil = end
		}
	}
}

// SetPlace sets the place of this daemon in the fleet, which is zero while the fleet is not
// known, and the time of the clock that the daemons have in common, given the time of this
// daemon; false if that is not known.
func (f *Fleet) SetPlace(now time.Duration, p pacer.Place, common time.Duration, known bool) {
	f.place = p
	if known {
		f.clockOffset = common - now
		return
	}
	if f.clockOffset == 0 { // a random offset spreads the slots of daemons without the clock
		f.clockOffset = time.Duration(1 + f.random.Int64N(int64(time.Hour)))
	}
}

// RecordRefusedConnection records that the host of a target refused a connection, so that
// the process of the target has ended.
func (f *Fleet) RecordRefusedConnection(now time.Duration, id string) {
	if t := f.targets[id]; t != nil {
		t.restartedUntil = now + restartNotice
	}
}

// cold reports whether the rate of the requests to a target is limited because it is cold.
func (f *Fleet) cold(now time.Duration, t *target) bool {
	if !f.settings.Cold.Bounded || f.coldRates[t.entry.Service] <= 0 {
		return false
	}
	return now < t.restartedUntil || t.entry.Cold && (now < t.coldUntil || !f.storeOutage)
}

// coldWait returns the time until this daemon has a slot at a cold target; 0 if it has one
// now or the target is warm.
func (f *Fleet) coldWait(now time.Duration, t *target) time.Duration {
	if !f.cold(now, t) {
		return 0
	}
	if t.turns == nil {
		t.turns = &pacer.Turns{}
	}
	bound := pacer.Bound{PerSecond: f.coldRates[t.entry.Service], Overshoot: f.settings.Cold.Overshoot, Tolerance: f.settings.Cold.Tolerance}
	t.turns.Set(now+f.clockOffset, bound, f.place, math.MaxUint64-t.idHash)
	return t.turns.Wait(now + f.clockOffset)
}

// sendBy returns the time by which a request that is placed at a target now must be
// written; 0 means no limit. One that waits for its connection for longer would arrive
// together with those of later slots.
func (f *Fleet) sendBy(now time.Duration, t *target) time.Duration {
	if t.turns == nil || !f.cold(now, t) {
		return 0
	}
	return t.turns.OpenUntil(now+f.clockOffset) - f.clockOffset
}

// useTurn uses the open slot at a target that is cold.
func (f *Fleet) useTurn(now time.Duration, t *target) {
	if t.turns != nil && f.cold(now, t) {
		t.turns.Use(now + f.clockOffset)
	}
}

// ColdTarget is a target that counts as cold.
type ColdTarget struct {
	Incarnation int64
	// Registered is set if it is cold by the registry, and not only because its process has
	// just ended.
	Registered bool
}

// ColdTargets returns the targets that are cold, by ID. It drops the slots of those that
// are not.
func (f *Fleet) ColdTargets(now time.Duration) map[string]ColdTarget {
	cold := map[string]ColdTarget{}
	if !f.settings.Cold.Bounded {
		return cold
	}
	for id, t := range f.targets {
		if f.cold(now, t) {
			cold[id] = ColdTarget{Incarnation: t.entry.Incarnation, Registered: t.entry.Cold}
		} else {
			t.turns = nil
		}
	}
	return cold
}
