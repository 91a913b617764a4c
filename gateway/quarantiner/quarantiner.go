// Package quarantiner finds prompt parts that crash the targets which answer them, and
// keeps requests with such a part away from the targets. It does no I/O; callers pass
// the time.
//
// When a target crashes, each part of a request whose answer had not begun, or had only
// just begun, is a suspect: that is an Incident. An answer that goes on for ProofTime
// proves that the parts of its request are sound, and clears their earlier incidents. A
// part that stays a suspect in several independent crashes is quarantined. If other
// suspects were in all of the same prompts, any of them can be the cause: then only
// requests with all of them are refused, so that sound requests with one can prove it.
//
// Daemons exchange incidents and proofs. The verdict on a part depends on these alone,
// so that all daemons reach the same one, in whatever order they learn of them.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// ProofTime is the time for which an answer must go on to prove that the parts of
	// its request do not crash targets. A crash within it may be the fault of the request.
	ProofTime = time.Second
	// newPartCrashes is the number of independent crashes from which a part is
	// quarantined of which no answer is known. provenPartCrashes is that for a part with an
	// earlier answer, for one whose crashes a part of other prompts explains as well, and
	// for the last part of a prompt: a sound prompt that its caller repeats can be a
	// bystander twice.
	newPartCrashes    = 2
	provenPartCrashes = 3
	// minCrashInterval separates independent crashes: targets that fail together, such as
	// those of one rack, tell as much about their requests as one target does.
	minCrashInterval = 300 * time.Millisecond
	// baseDuration is how long a part stays in quarantine after its last crash. It doubles
	// with each crash after the quarantine, which costs a target and the streams on it.
	baseDuration = 10 * time.Minute
	maxDuration  = 24 * time.Hour
	// MaxAge is the age from which evidence is forgotten.
	MaxAge = maxDuration
	// maxIncidents bounds the incidents that are kept for a part, maxParts the parts with
	// incidents.
	maxIncidents = 16
	maxParts     = 4096
	// maxKnownParts bounds each of the two generations of parts that are known to be
	// sound.
	maxKnownParts = 4096
	// maxReported bounds the incidents in a report, and the proofs.
	maxReported = 512
)

// suspect is what is known about a part with an incident.
type suspect struct {
	// incidents are those that no proof has cleared, in the order of their times.
	incidents []incident
	// cleared holds the crashes of which a proof cleared the part.
	cleared []Crash
	// known is set if the part is known to have been answered.
	known bool
	// lastChange is the time of the last new evidence.
	lastChange time.Duration
}

// Quarantine holds the evidence of one daemon. It is not safe for concurrent use.
type Quarantine struct {
	suspects map[Part]*suspect
	// byCrash holds the parts that had an incident of a crash, so that the parts that may
	// explain the same crashes are found without a look at all suspects.
	byCrash map[Crash]map[Part]bool
	// current and previous hold the time at which the last answered request with a part
	// began its answer, in two generations of bounded size.
	current, previous map[Part]time.Duration
	// excused holds the crashes that are no evidence, with the time from which they are.
	excused map[Crash]time.Duration
	// own and learned hold the evidence of this daemon and of others that TakeNew has not
	// returned yet.
	own, learned news
}

// New returns a Quarantine without evidence.
func New() *Quarantine {
	return &Quarantine{suspects: map[Part]*suspect{}, byCrash: map[Crash]map[Part]bool{}, excused: map[Crash]time.Duration{}, current: map[Part]time.Duration{}, previous: map[Part]time.Duration{}}
}

// RecordAnswer records that the answer to a request with these parts began at the given
// time and proved them sound.
func (q *Quarantine) RecordAnswer(now time.Duration, parts []Part, began time.Duration) {
	for _, p := range parts {
		if len(q.current) >= maxKnownParts {
			q.current, q.previous = make(map[Part]time.Duration, maxKnownParts), q.current
		}
		q.current[p] = max(q.current[p], began)
		if s := q.suspects[p]; s != nil {
			q.testify(now, p, s)
		}
	}
}

// answered returns the time at which the last answer to a request with the part began.
func (q *Quarantine) answered(p Part) (time.Duration, bool) {
	if at, ok := q.current[p]; ok {
		return at, true
	}
	at, ok := q.previous[p]
	return at, ok
}

// testify tells the other daemons what the answers of this one say about a suspect.
func (q *Quarantine) testify(now time.Duration, p Part, s *suspect) {
	began, ok := q.answered(p)
	if !ok {
		return
	}
	if !s.known {
		q.own.proofs = append(q.own.proofs, Proof{Part: p})
		s.known, s.lastChange = true, now
	}
	for _, i := range slices.Clone(s.incidents) {
		if began > i.at {
			q.own.proofs = append(q.own.proofs, Proof{Part: p, Crash: i.Crash})
			s.clear(now, i.Crash)
		}
	}
}

// clear removes the incidents of a crash.
func (s *suspect) clear(now time.Duration, c Crash) {
	if slices.Contains(s.cleared, c) {
		return
	}
	s.incidents = slices.DeleteFunc(s.incidents, func(i incident) bool { return i.Crash == c })
	s.cleared = append(s.cleared, c)
	if len(s.cleared) > maxIncidents {
		s.cleared = slices.Delete(s.cleared, 0, 1)
	}
	s.lastChange = now
}

// RecordIncident records an incident that this daemon has observed.
func (q *Quarantine) RecordIncident(now time.Duration, i Incident) {
	if added := i.incidentAt(now); !q.isExcused(added) && q.addIncident(now, added) {
		q.own.incidents = append(q.own.incidents, added)
	}
}

// Learn records the evidence of another daemon.
func (q *Quarantine) Learn(now time.Duration, e Evidence) {
	for _, i := range e.Incidents {
		if i.Age > MaxAge {
			continue
		}
		added := i.incidentAt(now)
		if q.isExcused(added) {
			q.refute(added)
			continue
		}
		if q.addIncident(now, added) {
			q.learned.incidents = append(q.learned.incidents, added)
		}
	}
	for _, p := range e.Proofs {
		s := q.suspects[p.Part]
		switch {
		case s == nil:
		case p.Crash == 0 && !s.known:
			s.known, s.lastChange = true, now
			q.learned.proofs = append(q.learned.proofs, p)
		case p.Crash != 0 && !slices.Contains(s.cleared, p.Crash):
			s.clear(now, p.Crash)
			q.learned.proofs = append(q.learned.proofs, p)
		}
	}
}

// addIncident adds an incident and reports whether it was new.
func (q *Quarantine) addIncident(now time.Duration, i incident) bool {
	s := q.suspects[i.Part]
	if s == nil {
		if len(q.suspects) >= maxParts {
			q.removeOldest()
		}
		s = &suspect{lastChange: now}
		q.suspects[i.Part] = s
	}
	if slices.ContainsFunc(s.incidents, func(o incident) bool { return o.Crash == i.Crash && o.Request == i.Request }) {
		return false
	}
	if slices.Contains(s.cleared, i.Crash) {
		q.refute(i) // the sender has not heard of the proof
		return false
	}
	if n := len(s.incidents); n == maxIncidents && i.at >= s.incidents[0].at && i.at <= s.incidents[1].at {
		return false // it would be dropped at once
	}
	s.incidents = append(s.incidents, i)
	if q.byCrash[i.Crash] == nil {
		q.byCrash[i.Crash] = map[Part]bool{}
	}
	q.byCrash[i.Crash][i.Part] = true
	slices.SortFunc(s.incidents, func(a, b incident) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Crash, b.Crash)) })
	if len(s.incidents) > maxIncidents {
		s.incidents = slices.Delete(s.incidents, 1, 2) // the verdict depends on the number and on the last one
	}
	s.lastChange = now
	q.testify(now, i.Part, s)
	return true
}

// removeOldest forgets the suspect without news for the longest time. Those of a single
// crash go before the others, which may be in quarantine.
func (q *Quarantine) removeOldest() {
	var oldest Part
	var found *suspect
	for p, s := range q.suspects {
		if found == nil || s.removedBefore(found) {
			oldest, found = p, s
		}
	}
	delete(q.suspects, oldest)
}

// removedBefore reports whether the suspect is forgotten before another one.
func (s *suspect) removedBefore(other *suspect) bool {
	single, otherSingle := len(s.incidents) < newPartCrashes, len(other.incidents) < newPartCrashes
	if single != otherSingle {
		return single
	}
	return s.lastChange < other.lastChange
}

// Expire forgets evidence that is too old for any verdict.
func (q *Quarantine) Expire(now time.Duration) {
	for p, s := range q.suspects {
		age := now - s.lastChange
		if age > MaxAge || len(s.incidents) < newPartCrashes && age > baseDuration {
			delete(q.suspects, p)
		}
	}
	for c, parts := range q.byCrash {
		maps.DeleteFunc(parts, func(p Part, _ bool) bool { return !q.suspects[p].hasIncident(c) })
		if len(parts) == 0 {
			delete(q.byCrash, c)
		}
	}
	for c, until := range q.excused {
		if now-until > MaxAge {
			delete(q.excused, c)
		}
	}
}

// TakeNew returns the evidence since the last call: that of this daemon, and that which
// others have sent.
func (q *Quarantine) TakeNew(now time.Duration) (own, learned Evidence) {
	own, learned = q.own.evidence(now), q.learned.evidence(now)
	q.own, q.learned = news{}, news{}
	return own, learned
}

// All returns all evidence, for daemons that lack some of it. Evidence on parts in
// quarantine comes first; the rest is bounded.
func (q *Quarantine) All(now time.Duration) Evidence {
	parts := make([]Part, 0, len(q.suspects))
	for p := range q.suspects {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(len(q.suspects[b].incidents), len(q.suspects[a].incidents)), cmp.Compare(q.suspects[b].lastChange, q.suspects[a].lastChange), cmp.Compare(a, b))
	})
	var all news
	for _, p := range parts {
		s := q.suspects[p]
		if len(s.incidents) == 0 || len(all.incidents)+len(s.incidents) > maxReported || len(all.proofs)+len(s.cleared)+1 > maxReported {
			break // the parts without incidents come last
		}
		all.incidents = append(all.incidents, s.incidents...)
		if s.known {
			all.proofs = append(all.proofs, Proof{Part: p})
		}
		for _, c := range s.cleared {
			all.proofs = append(all.proofs, Proof{Part: p, Crash: c})
		}
	}
	return all.evidence(now)
}
