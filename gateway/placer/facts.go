package placer

import (
	"time"

	"monsoondeck.example/gateway/pacer"
	"monsoondeck.example/gateway/registrar"
)

// factsMemory is how long the facts about a start of a target are kept after its entry
// was last listed. An entry lapses for some seconds when its target cannot reach the
// store; no fact is in force for longer than an hour.
const factsMemory = time.Hour

// start identifies one start of a target.
type start struct {
	id          string
	incarnation int64
}

// facts is what is known about one start of a target that holds whether its entry is
// listed or not. The times are of the clock of this daemon.
type facts struct {
	// listedAt is the last time at which the entry was known to be listed; 0 before the
	// first check.
	listedAt time.Duration
	// closedUntil is the time until which the target wants no requests of this daemon.
	closedUntil time.Duration
	// ownLimit is the last request limit in an answer to this daemon, limit the newest one
	// that any daemon has seen. pacer is set while one is in force, since limitedSince.
	ownLimit, limit observedLimit
	limitedSince    time.Duration
	pacer           *pacer.Pacer
	coldFacts
}

func startOf(e registrar.Entry) start { return start{id: e.ID, incarnation: e.Incarnation} }

// factsOf returns the facts about the start that an entry names, which are empty for a
// new one.
func (f *Fleet) factsOf(e registrar.Entry) *facts {
	known := f.facts[startOf(e)]
	if known == nil {
		known = &facts{}
		f.facts[startOf(e)] = known
	}
	return known
}

// expireFacts forgets the facts about starts whose entries have not been listed for
// factsMemory.
func (f *Fleet) expireFacts(now time.Duration) {
	for _, t := range f.targets {
		t.listedAt = now
	}
	for s, known := range f.facts {
		switch {
		case known.listedAt == 0:
			known.listedAt = now // listed and lapsed since the last check
		case now-known.listedAt > factsMemory:
			delete(f.facts, s)
		}
	}
}
