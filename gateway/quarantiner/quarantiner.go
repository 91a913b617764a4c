// Package quarantiner finds prompt parts and whole requests that crash the targets which
// answer them, and keeps such requests away from the targets. It does no I/O; callers
// pass the time.
//
// When a target crashes, each part of a request whose answer had not begun, or had only
// just begun, is a suspect: that is an Incident. An answer that goes on for ProofTime
// proves that the parts of its request are sound, and clears their earlier incidents. A
// part that stays a suspect in several independent crashes is quarantined. If other
// suspects were in all of the same prompts, any of them can be the cause: then only
// requests with all of them are refused, so that sound requests with one can prove it.
//
// The fingerprint of a request takes part in the evidence like a prompt part, so that a
// request which its callers repeat is found, also without a prompt. A sound one that is
// repeated often is at most of the targets that crash for another reason: crashes that
// another suspect in quarantine explains do not count against it.
//
// A part that is in many requests is at many crashes, whatever their cause. Therefore a crash
// does not count against a part if most of the targets that crashed at the same time did so
// without it, and one that was answered before is quarantined only after other targets have
// had the time to answer it again.
//
// Daemons exchange incidents and proofs. The verdict on a part depends on these alone,
// so that all daemons reach the same one, in whatever order they learn of them.
package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ProofTime is the time for which an answer must go on to prove that the parts of
	// its request do not crash targets. A crash within it may be the fault of the request.
	ProofTime = time.Second
	// newPartCrashes is the number of independent crashes from which a part is
	// quarantined of which no answer is known. provenPartCrashes is that for a part with an
	// earlier answer, and for one whose crashes a suspect of other prompts explains as well.
	newPartCrashes    = 2
	provenPartCrashes = 3
	// newRequestCrashes and provenRequestCrashes are the same for whole requests: a sound
	// one that is repeated can be a bystander twice, and oftener if it is popular.
	newRequestCrashes    = 3
	provenRequestCrashes = 5
	// repeatedRequestCrashes is the number of crashes from which a request of which no
	// answer is known is not sent to a second target.
	repeatedRequestCrashes = 2
	// minCrashInterval separates independent crashes: targets that fail together, such as
	// those of one rack, tell as much about their requests as one target does.
	minCrashInterval = 300 * time.Millisecond
	// minRequestCrashInterval is the same for whole requests, which come again within it and
	// would end a small service before two crashes count. It is above the differences of
	// the ages that daemons report for one moment. If there are independent crashes, those
	// within the interval count as one more, so that a request which ends a small service at
	// once is found before its targets are back.
	minRequestCrashInterval = 100 * time.Millisecond
	// settleTime is the time from the crash that would put a part with an earlier answer into
	// quarantine until it does. Answers that begin after the crash, at other targets, have then
	// cleared the part at all daemons.
	settleTime = ProofTime + time.Second
	// baseDuration is how long a part stays in quarantine after its last crash. It doubles
	// with each crash after the quarantine, which costs a target and the streams on it.
	baseDuration = 10 * time.Minute
	maxDuration  = 24 * time.Hour
	// MaxAge is the age from which evidence is forgotten.
	MaxAge = maxDuration
	// maxIncidents bounds the incidents that are kept for a part, maxSuspects the parts with
	// incidents, and the whole requests with incidents.
	maxIncidents = 16
	maxSuspects  = 4096
	// maxCleared bounds the crashes of which a part is known to be cleared. It is above the
	// number of targets that are lost with a data centre: daemons that were cut off with it
	// report all of their crashes again.
	maxCleared = 128
	// maxKnownParts and maxKnownRequests bound each of the two generations of parts and of
	// requests that are known to be sound. Requests are far more numerous.
	maxKnownParts    = 4096
	maxKnownRequests = 16384
	// maxReported bounds the incidents of parts in a report, and the proofs;
	// maxReportedRequests bounds those of whole requests.
	maxReported         = 512
	maxReportedRequests = 256
)

// suspect is what is known about a part with an incident.
type suspect struct {
	// whole is set if the part stands for a whole request.
	whole bool
	// incidents are those that no proof has cleared, in the order of their times.
	incidents []incident
	// cleared holds the crashes of which a proof cleared the part.
	cleared []Crash
	// known is set if the part is known to have been answered.
	known bool
	// lastChange is the time of the last new evidence, triedAt that of the last trial.
	lastChange, triedAt time.Duration
}

// Quarantine holds the evidence of one daemon. It is not safe for concurrent use.
type Quarantine struct {
	suspects map[Part]*suspect
	// wholeRequests is the number of suspects that are whole requests.
	wholeRequests int
	// crashes holds the crashes with an incident, crashTimes their times in ascending order;
	// nil if these are not known.
	crashes    map[Crash]*crashRecord
	crashTimes []crashTime
	// parts and requests hold the time at which the last answer to a request with a part
	// began, and to a whole request.
	parts, requests *generations
	// excused holds the crashes that are no evidence, with the time from which they are.
	excused map[Crash]time.Duration
	// own and learned hold the evidence of this daemon and of others that TakeNew has not
	// returned yet.
	own, learned news
}

// New returns a Quarantine without evidence.
func New() *Quarantine {
	return &Quarantine{suspects: map[Part]*suspect{}, crashes: map[Crash]*crashRecord{}, excused: map[Crash]time.Duration{}, parts: newGenerations(maxKnownParts), requests: newGenerations(maxKnownRequests)}
}

// RecordAnswer records that the answer to a request with these shared parts began at the
// given time and proved them sound.
func (q *Quarantine) RecordAnswer(now time.Duration, parts []Part, began time.Duration) {
	for _, p := range parts {
		q.parts.record(p, began)
		if s := q.suspects[p]; s != nil {
			q.testify(now, p, s)
		}
	}
}

// RecordRequestAnswer records that the answer to a whole request began at the given time
// and proved it sound.
func (q *Quarantine) RecordRequestAnswer(now time.Duration, whole Part, began time.Duration) {
	q.requests.record(whole, began)
	if s := q.suspects[whole]; s != nil {
		q.testify(now, whole, s)
	}
}

// answered returns the time at which the last answer to a request with the part, or to the
// whole request, began.
func (q *Quarantine) answered(p Part) (time.Duration, bool) {
	if at, ok := q.parts.began(p); ok {
		return at, true
	}
	return q.requests.began(p)
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
	if len(s.cleared) > maxCleared {
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
		case p.Part == 0 && p.Crash != 0:
			if q.refuteCrash(now, p.Crash, now) {
				q.learned.proofs = append(q.learned.proofs, p)
			}
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
		s = &suspect{whole: i.ofWholeRequest(), lastChange: now}
		q.makeRoom(s.whole)
		q.suspects[i.Part] = s
		if s.whole {
			q.wholeRequests++
		}
	}
	if slices.ContainsFunc(s.incidents, func(o incident) bool { return o.Crash == i.Crash && o.Request == i.Request }) {
		return false
	}
	if slices.Contains(s.cleared, i.Crash) {
		q.refute(i) // the sender has not heard of the proof
		return false
	}
	q.addCrash(i)
	if !s.add(i) {
		return false
	}
	s.lastChange = now
	q.testify(now, i.Part, s)
	return true
}

// add adds an incident, and drops one beyond the bound. It returns false if that is the added
// one.
func (s *suspect) add(i incident) bool {
	s.incidents = append(s.incidents, i)
	slices.SortFunc(s.incidents, func(a, b incident) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Crash, b.Crash)) })
	if len(s.incidents) <= maxIncidents {
		return true
	}
	n := s.dispensable()
	dropped := s.incidents[n]
	s.incidents = slices.Delete(s.incidents, n, n+1)
	return dropped != i
}

// dispensable returns the index of the incident that tells least: the first one that follows
// another too closely to count. Otherwise it is the second one, since the verdict depends on
// the first ones, on the last one and on the number.
func (s *suspect) dispensable() int {
	last := s.incidents[0].at
	for n, i := range s.incidents[:len(s.incidents)-1] {
		if n > 0 && i.at-last < s.interval() {
			return n
		}
		last = i.at
	}
	return 1
}

// interval returns the time that separates independent crashes.
func (s *suspect) interval() time.Duration {
	if s.whole {
		return minRequestCrashInterval
	}
	return minCrashInterval
}

// makeRoom forgets the suspect of a kind without news for the longest time if there are
// too many. Those of a single crash go before the others, which may be in quarantine.
func (q *Quarantine) makeRoom(whole bool) {
	count := q.wholeRequests
	if !whole {
		count = len(q.suspects) - q.wholeRequests
	}
	if count < maxSuspects {
		return
	}
	var oldest Part
	var found *suspect
	for p, s := range q.suspects {
		if s.whole == whole && (found == nil || s.removedBefore(found)) {
			oldest, found = p, s
		}
	}
	q.remove(oldest)
}

// remove forgets a suspect.
func (q *Quarantine) remove(p Part) {
	if q.suspects[p].whole {
		q.wholeRequests--
	}
	delete(q.suspects, p)
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
			q.remove(p)
		}
	}
	q.expireCrashes()
	for c, until := range q.excused {
		if now-until > MaxAge {
			delete(q.excused, c)
		}
	}
}
