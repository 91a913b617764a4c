package detector

import "time"

// Settings holds the durations and bounds of the protocol. Zero selects the
// default, which follows the semicolon in each comment.
type Settings struct {
	// Period is the time between direct probes; 1 s.
	Period time.Duration
	// IndirectAfter is the wait for an answer to a direct probe before other members
	// are asked to probe its subject; 300 ms.
	IndirectAfter time.Duration
	// Suspicion is the time from the suspicion of a member to its removal; 3 s.
	Suspicion time.Duration
	// RejoinPeriod is the time between probes of the addresses of removed members
	// and of seeds; 10 s.
	RejoinPeriod time.Duration
	// Retention is how long removed members are remembered; 6 h. It exceeds the
	// longest expected partition between regions, so that both sides still know
	// each other's addresses when it ends.
	Retention time.Duration
	// IndirectProbes is the number of members asked for an indirect probe; 3.
	IndirectProbes int
	// MaxUpdates bounds the facts in a message; 20. A fact is a
	// messenger.MemberUpdate: the state of one member in one incarnation.
	MaxUpdates int
	// RepeatFactor times the logarithm to base 2 of the fleet's size is the number
	// of times that a daemon sends each new fact; 3.
	RepeatFactor int
	// MaxChecks bounds the checks of suspects in one Period; 8.
	MaxChecks int
	// RejoinProbes bounds the addresses probed in one RejoinPeriod; 3. Few are
	// enough, because one answer on either side of an ended partition reconnects
	// the fleet.
	RejoinProbes int
	// MaxRemoved bounds the removed members that are remembered; 1024.
	MaxRemoved int
}

func (s Settings) withDefaults() Settings {
	duration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	count := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	duration(&s.Period, time.Second)
	duration(&s.IndirectAfter, 300*time.Millisecond)
	duration(&s.Suspicion, 3*time.Second)
	duration(&s.RejoinPeriod, 10*time.Second)
	duration(&s.Retention, 6*time.Hour)
	count(&s.IndirectProbes, 3)
	count(&s.MaxUpdates, 20)
	count(&s.RepeatFactor, 3)
	count(&s.MaxChecks, 8)
	count(&s.RejoinProbes, 3)
	count(&s.MaxRemoved, 1024)
	return s
}
