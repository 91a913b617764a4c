package placer

import (
	"slices"
	"time"

	"monsoondeck.example/gateway/registrar"
)

// obstacle is a reason for which a target must not get a request now, however much room
// it has.
type obstacle int

const (
	noObstacle obstacle = iota
	// failing: the target is unreachable or in a back-off.
	failing
	// paused: the target wants no requests of this daemon for some time.
	paused
	// excluded: the target has failed or refused the request before.
	excluded
	// outside: the target is in no region that the request may use.
	outside
	// otherVersion: the target has another software version than the request needs.
	otherVersion
	// evacuated: the operator wants no requests in the data centre of the target.
	evacuated
)

// obstacle is the only place that decides whether a request may be sent to a target now.
// Targets that leave are not in the fleet: registrar removes them for good.
func (f *Fleet) obstacle(now time.Duration, r Request, t *target) obstacle {
	switch o := f.lastingObstacle(t); {
	case o != noObstacle:
		return o
	case !f.inAllowedRegion(r, t):
		return outside
	case !r.Version.Allows(t.entry.Version):
		return otherVersion
	case !t.health.usable(now):
		return failing
	case now < t.closedUntil:
		return paused
	case slices.Contains(r.Excluded, t.entry.ID):
		return excluded
	}
	return noObstacle
}

// lastingObstacle returns the obstacle that holds for every request and ends only by
// news from the store or from a peer. It is checked once more just before a request is
// written. Facts about the data centre of a target belong here.
func (f *Fleet) lastingObstacle(t *target) obstacle {
	if slices.Contains(f.evacuatedCentres, t.entry.DataCentre) {
		return evacuated
	}
	return noObstacle
}

// slotWait returns the time until the target has a slot for a request of this daemon; 0
// if it has one now. Without one, the target counts as full.
func (f *Fleet) slotWait(now time.Duration, t *target) time.Duration {
	return max(f.paceWait(now, t), f.coldWait(now, t))
}

// Start is one start of a target.
type Start struct {
	Incarnation int64
	// Version is that of the software of the target.
	Version string
}

// StartOf returns the start of the target with the entry.
func StartOf(e registrar.Entry) Start { return Start{e.Incarnation, e.Version} }

// Sendable returns the starts of the targets without a lasting obstacle, by ID.
func (f *Fleet) Sendable() map[string]Start {
	starts := make(map[string]Start, len(f.targets))
	for id, t := range f.targets {
		if f.lastingObstacle(t) == noObstacle {
			starts[id] = StartOf(t.entry)
		}
	}
	return starts
}
