package detector

import "time"

// Settings holds the durations and bounds of the protocol. Zero selects the
// default.
type Settings struct {
	// Period is the time between direct probes; 1 s.
	Period time.Duration
	// IndirectAfter is the wait for an answer before other members are asked to
	// probe; 300 ms.
	IndirectAfter time.Duration
	// Suspicion is the time between suspicion and removal; 3 s.
	Suspicion time.Duration
	// RejoinPeriod is the time between probes of the addresses of removed members
	// and of seeds; 10 s.
	RejoinPeriod time.Duration
	// Retention is how long removed members are remembered; 6 h. It exceeds the
	// longest expected partition between regions, so that both sides still know
	// each other's addresses when it ends.
	Retention time.Duration
	// IndirectProbes is the number of members asked to probe; 3.
	IndirectProbes int
	// MaxUpdates bounds the facts in a message; 20.
	MaxUpdates int
	// RepeatFactor times log2 of the fleet's size is how often a daemon sends each
	// fact; 3.
	RepeatFactor int
	// MaxChecks bounds the checks of suspects in one period; 8.
	MaxChecks int
	// RejoinProbes bounds the addresses probed in one RejoinPeriod; 3. After a
	// partition, one answer on either side reconnects the fleet.
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
