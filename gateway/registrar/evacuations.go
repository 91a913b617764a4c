package registrar

import (
	"slices"
	"time"
)

// EvacuationState is the set of evacuated data centres at a moment of the store.
type EvacuationState struct {
	Moment
	// DataCentres is sorted, without duplicates.
	DataCentres []string
}

// Evacuations holds the data centres whose targets get nothing. It is not safe for
// concurrent use.
type Evacuations struct {
	state EvacuationState
	// held maps data centres that were evacuated before the store came back with an older
	// state, which lacks them, to the time until which they stay evacuated.
	held map[string]time.Duration
}

// evacuationHold is the time for which evacuations outlast their loss with a store that
// came back from an older state, so that the operator can request them again. A store is
// stable after about this time.
const evacuationHold = 3 * time.Second

const (
	// maxEvacuated bounds the number of evacuated data centres, which is beyond that of any
	// deployment, and maxDataCentreBytes the length of a name. Both protect the size of
	// reports against rows of any content.
	maxEvacuated       = 64
	maxDataCentreBytes = 128
)

// NewEvacuationState returns the state with the given data centres in any order. Names that
// no data centre has are left out.
func NewEvacuationState(m Moment, dataCentres []string) EvacuationState {
	names := slices.DeleteFunc(slices.Clone(dataCentres), func(name string) bool { return name == "" || len(name) > maxDataCentreBytes })
	slices.Sort(names)
	names = slices.Compact(names)
	return EvacuationState{Moment: m, DataCentres: names[:min(len(names), maxEvacuated)]}
}

// NewEvacuations returns Evacuations without any.
func NewEvacuations() *Evacuations { return &Evacuations{held: map[string]time.Duration{}} }

// State returns the newest state of the store.
func (e *Evacuations) State() EvacuationState { return e.state }

// Apply records a state of the store. It ignores one that is older than the known one and
// returns false.
func (e *Evacuations) Apply(now time.Duration, s EvacuationState) bool {
	if s.Before(e.state.Moment) {
		return false
	}
	if e.state.Era > 0 && s.Era > e.state.Era {
		for _, name := range e.state.DataCentres {
			e.held[name] = now + evacuationHold
		}
	}
	e.state = s
	return true
}

// InForce returns the data centres whose targets get nothing, sorted.
func (e *Evacuations) InForce(now time.Duration) []string {
	names := slices.Clone(e.state.DataCentres)
	for name, until := range e.held {
		if now < until {
			names = append(names, name)
		} else {
			delete(e.held, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
