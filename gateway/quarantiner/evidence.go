package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a prompt part at a service.
type Part uint64

// PartOf returns the Part for the ID of a prompt part at a service.
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
	// count once, except for its last part, for which Request repeats Crash.
	Request uint64
	// Age is the time since the crash. Daemons have no common clock, so that the age omits
	// the transmission time.
	Age time.Duration
}

// Incidents returns the incidents of the parts of a prompt at a crash of the given age.
// Each crash counts against the last part, which stands for the prompt itself.
func Incidents(prompt []Part, c Crash, age time.Duration) []Incident {
	incidents := make([]Incident, len(prompt))
	for i, part := range prompt {
		incidents[i] = Incident{Part: part, Crash: c, Request: uint64(prompt[len(prompt)-1]), Age: age}
		if i == len(prompt)-1 {
			incidents[i].Request = uint64(c)
		}
	}
	return incidents
}

// ofWholePrompt reports whether the part is the last one of its prompt.
func (i Incident) ofWholePrompt() bool { return i.Request == uint64(i.Crash) }

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
// began after the crash, so that the part did not cause it.
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
