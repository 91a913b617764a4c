package chaos

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned operation in the schedule.
type Kind string

// Kinds of events. Only those that last for a time use Event.Length.
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
	KindForeignIDs   Kind = "foreignIds"   // an engine answers with IDs of other requests
	KindRestart      Kind = "restart"      // an engine restarts with loss of state
	KindSlow         Kind = "slow"         // an engine is slow
	KindRace         Kind = "race"         // two operators change the configuration at once
	KindDrain        Kind = "drain"        // a target is drained and made active again
	KindChange       Kind = "change"       // an operator changes the configuration
)

// Event is one entry of the schedule.
type Event struct {
	// At is the start, counted from the start of the run. Length is 0 for kinds that
	// have none.
	At, Length time.Duration
	Kind       Kind
	// Subject is the index of the daemon or of the engine. Other kinds derive what
	// they act on from it or ignore it.
	Subject int
}

const (
	// blockLength is the period of the schedule. Faults that can delay a change begin
	// only in the first disturbingPart of a block, so that some changes are
	// undisturbed.
	blockLength    = 20 * time.Second
	disturbingPart = 7 * time.Second
	// faultFreeStart and faultFreeEnd are kept free of events: at the start the
	// routers learn the limits of the targets, and at the end the fleet must converge.
	faultFreeStart = 3 * time.Second
	faultFreeEnd   = 12 * time.Second
)

// disturbing reports whether an event of the kind can keep a change from reaching a
// daemon in time. A planned stop cannot, as the daemon announces it.
func (k Kind) disturbing() bool {
	switch k {
	case KindKill, KindPause, KindCut, KindCutOneWay, KindPlatformOut, KindPlatformSlow, KindLoseCommits:
		return true
	}
	return false
}

// onDaemon reports whether an event of the kind acts on the process of a daemon.
func (k Kind) onDaemon() bool { return k == KindKill || k == KindPause || k == KindStop }

// kinds returns all kinds in the order in which Schedule draws them.
func kinds() []Kind {
	return []Kind{
		KindKill, KindPause, KindStop, KindCut, KindCutOneWay, KindPlatformOut, KindPlatformSlow, KindLoseCommits, KindLoseAnswers,
		KindBreakStreams, KindForeignIDs, KindRestart, KindSlow, KindRace, KindDrain, KindChange,
	}
}

// length draws how long an event lasts. A pause always exceeds the lease of grants
// (3 s), and in most cases the time to remove an unresponsive member (about 4.3 s).
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

// Schedule returns the events of a run in order of time, which depend only on its
// arguments. Every kind occurs at most once per block; events that fall into the
// fault-free times or find no free daemon are left out. A daemon is the subject of
// one event at a time.
func Schedule(seed uint64, duration time.Duration, daemons, engines int) []Event {
	r := rand.New(rand.NewPCG(seed, 2))
	busy := make([]time.Duration, daemons) // end of the last event on each daemon
	var out []Event
	for start := time.Duration(0); start < duration; start += blockLength {
		for _, k := range kinds() {
			part := blockLength
			if k.disturbing() {
				part = disturbingPart
			}
			e := Event{Kind: k, At: start + time.Duration(r.Float64()*float64(part)), Length: k.length(r)}
			if e.At < faultFreeStart || e.At+e.Length > duration-faultFreeEnd {
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

// stopTime is the time reserved for a graceful stop and the start after it.
const stopTime = 40 * time.Second

// freeDaemon chooses a daemon that is not the subject of another event, or -1.
func freeDaemon(r *rand.Rand, busy []time.Duration, e Event) int {
	until := e.At + e.Length + time.Second
	if e.Kind == KindStop {
		until = e.At + stopTime
	}
	first := r.IntN(len(busy))
	for i := range busy {
		// Events of a block are not drawn in order of time, so a daemon with an event
		// is busy for the rest of the block.
		n := (first + i) % len(busy)
		if blockLength*time.Duration(e.At/blockLength) >= busy[n] {
			busy[n] = until
			return n
		}
	}
	return -1
}
