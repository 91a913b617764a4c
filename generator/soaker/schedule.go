package soaker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Kinds of events. "Half" of a fleet is every second member. Length is the duration
// of the events that last.
const (
	KindKill           Kind = "kill"           // a daemon is killed, and started again after Length
	KindHerdKill       Kind = "herdKill"       // half of the daemons are killed at the same time
	KindPause          Kind = "pause"          // a daemon is paused by SIGSTOP
	KindStop           Kind = "stop"           // a daemon is stopped gracefully and started again
	KindRoll           Kind = "roll"           // several daemons are restarted gracefully, one second apart
	KindReload         Kind = "reload"         // the settings name the other link to the store, and SIGHUP is sent
	KindQuietReload    Kind = "quietReload"    // the same without SIGHUP
	KindStoreAway      Kind = "storeAway"      // the store responds with 503
	KindStoreBusy      Kind = "storeBusy"      // the store responds with 429
	KindStoreSilent    Kind = "storeSilent"    // the store does not respond
	KindStoreSlow      Kind = "storeSlow"      // the store delays its responses
	KindStoreLoses     Kind = "storeLoses"     // the responses to writes are lost
	KindStoreForgets   Kind = "storeForgets"   // the store drops its history of changes
	KindStoreRestored  Kind = "storeRestored"  // the store loses what was written during Length; operator and targets write theirs again
	KindRegistryLost   Kind = "registryLost"   // the store responds with 503 and the entries of targets expire
	KindStoreLink      Kind = "storeLink"      // the link of a daemon to the store fails
	KindPeerLink       Kind = "peerLink"       // the link of the other daemons to a daemon fails
	KindTargetLink     Kind = "targetLink"     // the link to a target fails
	KindIdleDrop       Kind = "idleDrop"       // connections to a target are reset when the next bytes are sent
	KindTargetCrash    Kind = "targetCrash"    // a target ends abruptly and starts again
	KindTargetFlap     Kind = "targetFlap"     // a target crashes and starts again three times
	KindTargetLeave    Kind = "targetLeave"    // a target drains and leaves, and another instance takes its address
	KindRelease        Kind = "release"        // half of the targets are replaced one after the other
	KindTargetFault    Kind = "targetFault"    // a target fails a share of its requests
	KindForeignEntries Kind = "foreignEntries" // the registry holds rows that do not describe a valid target
	KindChange         Kind = "change"         // the configuration changes
	KindChanges        Kind = "changes"        // the configuration changes several times in a row
	KindTornHead       Kind = "tornHead"       // a target closes connections in the middle of the heads of its responses
	KindDeadly         Kind = "deadly"         // a request crashes each target that runs it, and comes again
	KindLateStop       Kind = "lateStop"       // a daemon is stopped gracefully while callers send until it has exited
	KindNewVersion     Kind = "newVersion"     // half or all of the engines are replaced by a new software version
	KindMassKill       Kind = "massKill"       // all daemons are killed at the same time
	KindSilence        Kind = "silence"        // all engines are full, and some streams are silent for Length
)

// Event is one entry of the schedule.
type Event struct {
	At, Length time.Duration
	Kind       Kind
	// Subject and Choice are random numbers of at least 0. Subject selects the daemon or
	// the target, Choice the way in which it fails.
	Subject, Choice int
}

// kindSpec describes how events of a kind are drawn.
type kindSpec struct {
	name Kind
	// weight is the relative frequency of the kind.
	weight int
	// minSeconds and maxSeconds bound the length of an event.
	minSeconds, maxSeconds float64
}

// kindSpecs returns how the events of all kinds are drawn.
func kindSpecs() []kindSpec {
	return []kindSpec{
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
	// No event begins in the first quietStart or the last quietEnd of the load, except
	// that a series may run into quietEnd.
	quietStart = time.Second
	quietEnd   = 2 * time.Second
	// DefaultGap is the mean time between two events, whatever the size of the fleet.
	// Most events last longer, so that several overlap.
	DefaultGap = 700 * time.Millisecond
	// seriesShare is the share of events that are repeated as a series of one kind.
	seriesShare = 0.2
	// seriesGap is the time between the events of a series.
	seriesGap = 250 * time.Millisecond
)

// restoreSchedule returns events in which the store is restored from a copy. They are drawn
// apart from the others, so that the schedules of known seeds stay as they are.
func restoreSchedule(seed uint64, duration time.Duration, restores int) []Event {
	r := rand.New(rand.NewPCG(seed, 11))
	var out []Event
	for range restores {
		at := quietStart + time.Duration(r.Float64()*float64(duration-quietStart-quietEnd))
		out = append(out, Event{At: at, Length: time.Duration(r.Float64() * float64(8*time.Second)), Kind: KindStoreRestored, Choice: r.IntN(1 << 20)})
	}
	return out
}

// tornHeadSchedule returns events of KindTornHead, drawn apart like those of restoreSchedule.
func tornHeadSchedule(seed uint64, duration time.Duration, count int) []Event {
	r := rand.New(rand.NewPCG(seed, 12))
	var out []Event
	for range count {
		at := quietStart + time.Duration(r.Float64()*float64(duration-quietStart-quietEnd))
		out = append(out, Event{At: at, Length: seconds(1 + 2*r.Float64()), Kind: KindTornHead, Subject: r.IntN(1 << 20), Choice: r.IntN(1 << 20)})
	}
	return out
}

// deadlySchedule returns events of KindDeadly. Each lasts from the second quarter of the
// load to its end. Choice is the number of the request.
func deadlySchedule(seed uint64, duration time.Duration, count int) []Event {
	r := rand.New(rand.NewPCG(seed, 13))
	var out []Event
	for i := range count {
		at := duration/4 + time.Duration(r.Float64()*float64(duration/8))
		out = append(out, Event{At: at, Length: duration - at, Kind: KindDeadly, Subject: r.IntN(1 << 20), Choice: i})
	}
	return out
}

// versionSchedule returns events of KindNewVersion, each followed by one of KindMassKill while
// two versions are in service or when one has just left, drawn apart like those of
// restoreSchedule. Choice is the number of the version.
func versionSchedule(seed uint64, duration time.Duration, count int) []Event {
	r := rand.New(rand.NewPCG(seed, 15))
	var out []Event
	for i := range count {
		at := quietStart + time.Duration((float64(i)+r.Float64()/2)/float64(count)*float64(duration-quietStart-quietEnd))
		out = append(out, Event{At: at, Length: seconds(0.2 + r.Float64()), Kind: KindNewVersion, Subject: r.IntN(1 << 20), Choice: i + 1})
		out = append(out, Event{At: at + seconds(0.5+4*r.Float64()), Length: seconds(0.5 + r.Float64()), Kind: KindMassKill})
	}
	return out
}

// calmSchedule returns the events that take place one after the other, after all others.
func calmSchedule(seed uint64, lateStops, silences int) []Event {
	r := rand.New(rand.NewPCG(seed, 14))
	var out []Event
	for range lateStops {
		out = append(out, Event{Kind: KindLateStop, Subject: r.IntN(1 << 20), Choice: r.IntN(1 << 20)})
	}
	for range silences {
		out = append(out, Event{Kind: KindSilence, Length: seconds(3 + 2*r.Float64()), Choice: r.IntN(1 << 20)})
	}
	return out
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Schedule returns the events of a run in order of time. The result depends only on
// the arguments.
func Schedule(seed uint64, duration, gap time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 7))
	all := kindSpecs()
	total := 0
	for _, k := range all {
		total += k.weight
	}
	draw := func() kindSpec {
		n := r.IntN(total)
		for _, k := range all {
			if n -= k.weight; n < 0 {
				return k
			}
		}
		return all[0]
	}
	var out []Event
	for at := quietStart; ; {
		at += time.Duration(r.ExpFloat64() * float64(gap))
		if at > duration-quietEnd {
			break
		}
		k, repeats := draw(), 1
		if r.Float64() < seriesShare {
			repeats = 2 + r.IntN(3)
		}
		for i := range repeats {
			length := time.Duration((k.minSeconds + r.Float64()*(k.maxSeconds-k.minSeconds)) * float64(time.Second))
			out = append(out, Event{At: at + time.Duration(i)*seriesGap, Length: length, Kind: k.name, Subject: r.IntN(1 << 20), Choice: r.IntN(1 << 20)})
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}
