package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// outageWindow is the time before and after a crash in which those of other targets may
	// have the same cause, such as the loss of a data centre.
	outageWindow = time.Second
	// minOutageCrashes is the number of other targets that must have crashed without a part in
	// that time, and minOutageRatio that number for each target that crashed with it, for the
	// crashes to have another cause than the part.
	minOutageCrashes = 4
	minOutageRatio   = 3
)

// crashRecord is what is known about a crash.
type crashRecord struct {
	// at is the time of the first incident. Daemons notice the end of a target at different
	// times if its connections are cut off.
	at time.Duration
	// parts holds those that had an incident of the crash, so that the parts that may explain
	// the same crashes are found without a look at all suspects.
	parts map[Part]bool
}

// crashTime is a crash with its time.
type crashTime struct {
	at     time.Duration
	record *crashRecord
}

// addCrash adds an incident to the record of its crash.
func (q *Quarantine) addCrash(i incident) {
	r := q.crashes[i.Crash]
	if r == nil {
		r = &crashRecord{at: i.at, parts: map[Part]bool{}}
		q.crashes[i.Crash] = r
		q.crashTimes = nil
	}
	if i.at < r.at {
		r.at = i.at
		q.crashTimes = nil
	}
	r.parts[i.Part] = true
}

// expireCrashes forgets the crashes without incidents.
func (q *Quarantine) expireCrashes() {
	for c, r := range q.crashes {
		maps.DeleteFunc(r.parts, func(p Part, _ bool) bool { return !q.suspects[p].hasIncident(c) })
		if len(r.parts) == 0 {
			delete(q.crashes, c)
			q.crashTimes = nil
		}
	}
}

// crashedAt returns the time of the crash of an incident.
func (q *Quarantine) crashedAt(i incident) time.Duration {
	if r := q.crashes[i.Crash]; r != nil {
		return r.at
	}
	return i.at
}

// partsOf returns the parts with an incident of a crash.
func (q *Quarantine) partsOf(c Crash) map[Part]bool {
	if r := q.crashes[c]; r != nil {
		return r.parts
	}
	return nil
}

// duringOutage reports whether most targets that crashed at the time of an incident did so
// without its part.
func (q *Quarantine) duringOutage(i incident) bool {
	if q.crashTimes == nil {
		for _, r := range q.crashes {
			q.crashTimes = append(q.crashTimes, crashTime{r.at, r})
		}
		slices.SortFunc(q.crashTimes, func(a, b crashTime) int { return cmp.Compare(a.at, b.at) })
	}
	at := q.crashedAt(i)
	first, _ := slices.BinarySearchFunc(q.crashTimes, at-outageWindow, func(c crashTime, at time.Duration) int { return cmp.Compare(c.at, at) })
	with, without := 0, 0
	for _, c := range q.crashTimes[first:] {
		switch {
		case c.at > at+outageWindow:
			return without >= minOutageCrashes && without >= minOutageRatio*with
		case c.record.parts[i.Part]:
			with++
		default:
			without++
		}
	}
	return without >= minOutageCrashes && without >= minOutageRatio*with
}
