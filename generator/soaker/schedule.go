package soaker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Kinds of events. Length has a meaning for those that last.
const (
	KindKill           Kind = "kill"           // a daemon is killed and started again after Length
	KindHerdKill       Kind = "herdKill"       // half of the daemons are killed at one moment
	KindPause          Kind = "pause"          // a daemon stands still
	KindStop           Kind = "stop"           // a daemon is stopped gracefully and started again
	KindRoll           Kind = "roll"           // several daemons are stopped, each before the last is back
	KindReload         Kind = "reload"         // the settings name another way to the store, with a signal
	KindQuietReload    Kind = "quietReload"    // the same without a signal
	KindStoreAway      Kind = "storeAway"      // the store answers 503
	KindStoreBusy      Kind = "storeBusy"      // the store answers 429
	KindStoreSilent    Kind = "storeSilent"    // the store does not answer
	KindStoreSlow      Kind = "storeSlow"      // the store is slow
	KindStoreLoses     Kind = "storeLoses"     // the answers to writes are lost
	KindStoreForgets   Kind = "storeForgets"   // the history of changes is dropped
	KindRegistryLost   Kind = "registryLost"   // the store is away and the entries of targets expire
	KindStoreLink      Kind = "storeLink"      // the link of a daemon to the store fails
	KindPeerLink       Kind = "peerLink"       // the link of the others to a daemon fails
	KindTargetLink     Kind = "targetLink"     // the link to a target fails
	KindIdleDrop       Kind = "idleDrop"       // connections to a target are reset at the next bytes
	KindTargetCrash    Kind = "targetCrash"    // a target ends and starts again
	KindTargetFlap     Kind = "targetFlap"     // a target ends and starts by turns
	KindTargetLeave    Kind = "targetLeave"    // a target drains, leaves, and another one takes its address
	KindRelease        Kind = "release"        // half of the targets leave one after the other
	KindTargetFault    Kind = "targetFault"    // a target fails part of its requests
	KindForeignEntries Kind = "foreignEntries" // other writers enter rows into the registry
	KindChange         Kind = "change"         // the configuration changes
	KindChanges        Kind = "changes"        // the configuration changes several times in a row
)

// Event is one entry of the schedule.
type Event struct {
	At, Length time.Duration
	Kind       Kind
	// Subject draws the daemon or the target, Choice the way in which it fails.
	Subject, Choice int
}

// kind tells how a kind of event is drawn.
type kind struct {
	name Kind
	// weight is how often the kind is drawn compared with others.
	weight int
	// low and high bound the length in seconds.
	low, high float64
}

func kinds() []kind {
	return []kind{
		{KindKill, 3, 0, 3}, {KindHerdKill, 1, 0, 2}, {KindPause, 3, 0.2, 5}, {KindStop, 3, 0, 1}, {KindRoll, 1, 0, 1},
		{KindReload, 1, 0, 0}, {KindQuietReload, 1, 0, 0},
		{KindStoreAway, 2, 0.5, 5}, {KindStoreBusy, 1, 0.5, 3}, {KindStoreSilent, 2, 0.5, 5}, {KindStoreSlow, 2, 1, 6}, {KindStoreLoses, 1, 1, 4},
		{KindStoreForgets, 1, 0, 0}, {KindRegistryLost, 1, 1, 4},
		{KindStoreLink, 3, 0.5, 6}, {KindPeerLink, 3, 0.5, 6}, {KindTargetLink, 4, 0.3, 5}, {KindIdleDrop, 2, 0.5, 2},
		{KindTargetCrash, 3, 0, 3}, {KindTargetFlap, 2, 0.3, 1}, {KindTargetLeave, 3, 2, 4}, {KindRelease, 1, 1, 2}, {KindTargetFault, 5, 1, 5},
		{KindForeignEntries, 1, 1, 5}, {KindChange, 3, 0, 0}, {KindChanges, 1, 0, 0},
	}
}

const (
	// calmStart is kept free at the start, calmEnd at the end of the load.
	calmStart = time.Second
	calmEnd   = 2 * time.Second
	// DefaultGap is the mean time between two events of a fleet of any size; most last
	// longer, so that several overlap.
	DefaultGap = 700 * time.Millisecond
	// seriesShare is the part of the events that come as a series of one kind.
	seriesShare = 0.2
	// seriesGap is the time between the events of a series.
	seriesGap = 250 * time.Millisecond
)

// Schedule returns the events of a run in order of time. It depends on its
// arguments only.
func Schedule(seed uint64, duration, gap time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 7))
	all := kinds()
	total := 0
	for _, k := range all {
		total += k.weight
	}
	draw := func() kind {
		n := r.IntN(total)
		for _, k := range all {
			if n -= k.weight; n < 0 {
				return k
			}
		}
		return all[0]
	}
	var out []Event
	for at := calmStart; ; {
		at += time.Duration(r.ExpFloat64() * float64(gap))
		if at > duration-calmEnd {
			break
		}
		k, repeats := draw(), 1
		if r.Float64() < seriesShare {
			repeats = 2 + r.IntN(3)
		}
		for i := range repeats {
			length := time.Duration((k.low + r.Float64()*(k.high-k.low)) * float64(time.Second))
			out = append(out, Event{At: at + time.Duration(i)*seriesGap, Length: length, Kind: k.name, Subject: r.IntN(1 << 20), Choice: r.IntN(1 << 20)})
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}
