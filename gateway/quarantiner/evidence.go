package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a prompt part at a service, or a whole request by its fingerprint.
type Part uint64

// PartOf returns the Part for the ID of a prompt part or the fingerprint of a request at a
// service.
func PartOf(service string, id uint64) Part {
	return Part(xxhash.Sum64String(service) ^ id*0x9e3779b97f4a7c15)
}

// Crash identifies the crash of one incarnation of a target, as all daemons see it.
type Crash uint64

// CrashOf returns the Crash of a target's incarnation.
func CrashOf(target string, incarnation int64) Crash {
	return Crash(xxhash.Sum64String(target) ^ uint64(incarnation)*0x9e3779b97f4a7c15)
}

// Incident says that a part was in a request whose answer had not begun, or had only
// just begun, when its target crashed.
type Incident struct {
	Part  Part
	Crash Crash
	// Request identifies the prompt. The crashes of one prompt that is sent repeatedly
	// count once against its parts. Each crash counts against the whole request, for which
	// Request repeats Crash.
	Request uint64
	// Age is the time since the crash. Daemons have no common clock, so that the age omits
	// the transmission time.
	Age time.Duration
}

// Incidents returns the incidents of a request at a crash of the given age: of the shared
// parts of its prompt and, last among the parts, of the whole request. prompt identifies
// the prompt.
func Incidents(parts []Part, prompt uint64, c Crash, age time.Duration) []Incident {
	incidents := make([]Incident, len(parts))
	for i, part := range parts {
		incidents[i] = Incident{Part: part, Crash: c, Request: prompt, Age: age}
		if i == len(parts)-1 {
			incidents[i].Request = uint64(c)
		}
	}
	return incidents
}

// ofWholeRequest reports whether the part stands for a whole request.
func (i Incident) ofWholeRequest() bool { return i.Request == uint64(i.Crash) }

// incident is an Incident with the time of the crash by the clock of this daemon.
type incident struct {
	Incident
	at time.Duration
}

// incidentAt returns the incident with its time, given the present one.
func (i Incident) incidentAt(now time.Duration) incident {
	return incident{Incident: i, at: now - i.Age}
}

// withAge returns the Incident with its present age.
func (i incident) withAge(now time.Duration) Incident {
	i.Age = max(now-i.at, 0)
	return i.Incident
}

// Proof says that a part was in an answered request. If Crash is not 0, that answer
// began after the crash, so that the part did not cause it. If Part is 0, the target answers
// and has not crashed.
type Proof struct {
	Part  Part
	Crash Crash
}

// Evidence holds incidents and proofs that daemons tell each other.
type Evidence struct {
	Incidents []Incident
	Proofs    []Proof
}

// Empty reports whether there is no evidence.
func (e Evidence) Empty() bool { return len(e.Incidents) == 0 && len(e.Proofs) == 0 }

// news is evidence that was not reported yet.
type news struct {
	incidents []incident
	proofs    []Proof
}

// evidence returns the news as Evidence.
func (n news) evidence(now time.Duration) Evidence {
	e := Evidence{Proofs: n.proofs}
	for _, i := range n.incidents {
		e.Incidents = append(e.Incidents, i.withAge(now))
	}
	return e
}

// Incidents returns the incidents of a part that no proof has cleared.
func (q *Quarantine) Incidents(now time.Duration, p Part) []Incident {
	if s := q.suspects[p]; s != nil {
		return news{incidents: s.incidents}.evidence(now).Incidents
	}
	return nil
}

// TakeNew returns the evidence since the last call: that of this daemon, and that which
// others have sent.
func (q *Quarantine) TakeNew(now time.Duration) (own, learned Evidence) {
	own, learned = q.own.evidence(now), q.learned.evidence(now)
	q.own, q.learned = news{}, news{}
	return own, learned
}

// All returns all evidence, for daemons that lack some of it. Evidence on parts in
// quarantine comes first, as does that on whole requests in quarantine; the rest is
// bounded.
func (q *Quarantine) All(now time.Duration) Evidence {
	var all news
	q.addAll(&all, false, maxReported)
	q.addAll(&all, true, maxReportedRequests)
	return all.evidence(now)
}

// addAll adds the evidence on the suspects of a kind, with at most the given number of
// incidents and proofs.
func (q *Quarantine) addAll(all *news, whole bool, most int) {
	parts := make([]Part, 0, len(q.suspects))
	for p, s := range q.suspects {
		if s.whole == whole {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(len(q.suspects[b].incidents), len(q.suspects[a].incidents)), cmp.Compare(q.suspects[b].lastChange, q.suspects[a].lastChange), cmp.Compare(a, b))
	})
	incidentLimit, proofLimit := len(all.incidents)+most, len(all.proofs)+most
	for _, p := range parts {
		s := q.suspects[p]
		cleared := s.cleared[max(len(s.cleared)-maxIncidents, 0):]
		if len(s.incidents) == 0 || len(all.incidents)+len(s.incidents) > incidentLimit || len(all.proofs)+len(cleared)+1 > proofLimit {
			break // the parts without incidents come last
		}
		all.incidents = append(all.incidents, s.incidents...)
		if s.known {
			all.proofs = append(all.proofs, Proof{Part: p})
		}
		for _, c := range cleared {
			all.proofs = append(all.proofs, Proof{Part: p, Crash: c})
		}
	}
}
