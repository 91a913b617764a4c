package chaos

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned operation.
type Kind string

// Kinds of events. Length has a meaning for those that last.
const (
	KindKill         Kind = "kill"         // a daemon is killed and started again after Length
	KindPause        Kind = "pause"        // a daemon is paused for longer than the lease
	KindStop         Kind = "stop"         // a daemon is stopped gracefully and started again
	KindCut          Kind = "cut"          // a data centre is cut off
	KindCutOneWay    Kind = "cutOneWay"    // a daemon's outgoing messages are lost
	KindPlatformOut  Kind = "platformOut"  // the platform's services have an outage
	KindPlatformSlow Kind = "platformSlow" // the platform's services are slow
	KindLoseCommits  Kind = "loseCommits"  // answers of the table service are lost
	KindLoseAnswers  Kind = "loseAnswers"  // answers of a target are lost
	KindBreakStreams Kind = "breakStreams" // streams of an engine break
	KindForeignIDs   Kind = "foreignIds"   // an engine answers with ids of other requests
	KindRestart      Kind = "restart"      // an engine restarts with loss of state
	KindSlow         Kind = "slow"         // an engine is slow
	KindRace         Kind = "race"         // two operators change the configuration at once
	KindDrain        Kind = "drain"        // a target is drained and put back
	KindChange       Kind = "change"       // an operator changes the configuration
)

// Event is one entry of the schedule.
type Event struct {
	At, Length time.Duration
	Kind       Kind
	// Subject is the index of the daemon or of the engine.
	Subject int
}

const (
	// block is the period of the schedule: faults that can delay a change begin in
	// its first part only, so that some changes have no excuse.
	block          = 20 * time.Second
	disturbingPart = 7 * time.Second
	// calm is kept free at the start, where limits are learnt, and at the end,
	// where the fleet must come together again.
	calmStart = 3 * time.Second
	calmEnd   = 12 * time.Second
)

// disturbing kinds can keep a change from reaching a daemon in time. A planned
// stop is none: the daemon announces it.
func (k Kind) disturbing() bool {
	switch k {
	case KindKill, KindPause, KindCut, KindCutOneWay, KindPlatformOut, KindPlatformSlow, KindLoseCommits:
		return true
	}
	return false
}

// onDaemon kinds act on the process of a daemon.
func (k Kind) onDaemon() bool { return k == KindKill || k == KindPause || k == KindStop }

func kinds() []Kind {
	return []Kind{
		KindKill, KindPause, KindStop, KindCut, KindCutOneWay, KindPlatformOut, KindPlatformSlow, KindLoseCommits, KindLoseAnswers,
		KindBreakStreams, KindForeignIDs, KindRestart, KindSlow, KindRace, KindDrain, KindChange,
	}
}

// length draws how long an event lasts. A pause exceeds the lease of grants
// (3 s) and the time to remove a silent member (about 4.3 s) in most cases.
func (k Kind) length(r *rand.Rand) time.Duration {
	between := func(low, high float64) time.Duration {
		return time.Duration((low + r.Float64()*(high-low)) * float64(time.Second))
	}
	switch k {
	case KindPause:
		return between(3.5, 6)
	case KindKill:
		return between(0.2, 4)
	case KindCut, KindCutOneWay, KindPlatformOut, KindPlatformSlow:
		return between(2, 6)
	case KindDrain:
		return between(6, 9)
	case KindSlow:
		return between(3, 8)
	}
	return 0
}

// Schedule returns the events of a run in order of time. It depends on its
// arguments only. Every kind occurs once per block where there is time; a daemon
// is the subject of one event at a time.
func Schedule(seed uint64, duration time.Duration, daemons, engines int) []Event {
	r := rand.New(rand.NewPCG(seed, 2))
	busy := make([]time.Duration, daemons) // until when a daemon is a subject
	var out []Event
	for start := time.Duration(0); start < duration; start += block {
		for _, k := range kinds() {
			part := block
			if k.disturbing() {
				part = disturbingPart
			}
			e := Event{Kind: k, At: start + time.Duration(r.Float64()*float64(part)), Length: k.length(r)}
			if e.At < calmStart || e.At+e.Length > duration-calmEnd {
				continue
			}
			e.Subject = r.IntN(engines)
			if k.onDaemon() || k == KindCutOneWay {
				e.Subject = freeDaemon(r, busy, e)
			}
			if e.Subject >= 0 {
				out = append(out, e)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

// stopTime is how long a graceful stop and the start after it may take.
const stopTime = 40 * time.Second

// freeDaemon chooses a daemon that is not the subject of another event, or -1.
func freeDaemon(r *rand.Rand, busy []time.Duration, e Event) int {
	until := e.At + e.Length + time.Second
	if e.Kind == KindStop {
		until = e.At + stopTime
	}
	first := r.IntN(len(busy))
	for i := range busy {
		// Events of a block are not drawn in order of time, so a daemon is taken
		// for the rest of the block.
		n := (first + i) % len(busy)
		if block*time.Duration(e.At/block) >= busy[n] {
			busy[n] = until
			return n
		}
	}
	return -1
}
