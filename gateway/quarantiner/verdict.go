package quarantiner

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// independent returns the number of crashes that tell independently of each other that
// the part crashes targets, and the last of them.
func (s *suspect) independent() (count int, last incident) {
	var requests []uint64
	var crashes []Crash
	for _, i := range s.incidents {
		if count > 0 && (i.at-last.at < minCrashInterval || slices.Contains(requests, i.Request) || slices.Contains(crashes, i.Crash)) {
			continue
		}
		count, last = count+1, i
		requests, crashes = append(requests, i.Request), append(crashes, i.Crash)
	}
	return count, last
}

// Blocked returns the first part in quarantine because of which a request with the given
// parts is refused, and the time until then; false if the request may be sent.
func (q *Quarantine) Blocked(now time.Duration, parts []Part) (p Part, until time.Duration, blocked bool) {
	for _, p := range parts {
		until := q.Until(p)
		if now >= until {
			continue
		}
		missing := func(companion Part) bool { return !slices.Contains(parts, companion) }
		if !slices.ContainsFunc(q.Companions(p), missing) {
			return p, until, true
		}
	}
	return 0, 0, false
}

// Until returns the time until which a part is or was in quarantine; 0 if it never was.
func (q *Quarantine) Until(p Part) time.Duration {
	s := q.suspects[p]
	if s == nil {
		return 0
	}
	count, last := s.independent()
	threshold := newPartCrashes
	if s.known || last.ofWholePrompt() || count == newPartCrashes && q.hasAlternative(p, s) {
		threshold = provenPartCrashes
	}
	if count < threshold {
		return 0
	}
	return last.at + min(baseDuration<<min(count-threshold, maxIncidents), maxDuration)
}

// Companions returns the other parts that may have caused all crashes in which the part
// is a suspect, since they were in the same prompts, in ascending order. A part that was
// answered before is not one of a part that never was.
func (q *Quarantine) Companions(p Part) []Part {
	s := q.suspects[p]
	if s == nil {
		return nil
	}
	var companions []Part
	for other, o := range q.related(s) {
		if other != p && (s.known || !o.known) && o.explains(s, samePrompt) {
			companions = append(companions, other)
		}
	}
	slices.Sort(companions)
	return companions
}

// hasAlternative reports whether a part of other prompts, of which no answer is known
// either, may have caused all crashes in which the part is a suspect.
func (q *Quarantine) hasAlternative(p Part, s *suspect) bool {
	for other, o := range q.related(s) {
		if other != p && !o.known && o.explains(s, sameCrash) && !o.explains(s, samePrompt) {
			return true
		}
	}
	return false
}

// related returns the suspects with an incident of the first crash of another one. All that
// explain its crashes are among them.
func (q *Quarantine) related(s *suspect) iter.Seq2[Part, *suspect] {
	return func(yield func(Part, *suspect) bool) {
		if len(s.incidents) == 0 {
			return
		}
		for p := range q.byCrash[s.incidents[0].Crash] {
			if o := q.suspects[p]; o != nil && !yield(p, o) {
				return
			}
		}
	}
}

// hasIncident reports whether the suspect, which may be nil, has an incident of a crash.
func (s *suspect) hasIncident(c Crash) bool {
	return s != nil && slices.ContainsFunc(s.incidents, func(i incident) bool { return i.Crash == c })
}

func sameCrash(i, j incident) bool { return i.Crash == j.Crash }

func samePrompt(i, j incident) bool { return i.Crash == j.Crash && i.Request == j.Request }

// explains reports whether each crash in which o is a suspect has incidents of both that
// match.
func (s *suspect) explains(o *suspect, match func(i, j incident) bool) bool {
	for _, i := range o.incidents {
		explained := slices.ContainsFunc(o.incidents, func(k incident) bool {
			return k.Crash == i.Crash && slices.ContainsFunc(s.incidents, func(j incident) bool { return match(k, j) })
		})
		if !explained {
			return false
		}
	}
	return len(o.incidents) > 0
}

// Durable returns the evidence on parts that are or were in quarantine, which must
// outlive the daemons, and the parts that proofs have released.
func (q *Quarantine) Durable(now time.Duration) (e Evidence, released []Part) {
	for _, p := range slices.Sorted(maps.Keys(q.suspects)) {
		s := q.suspects[p]
		if q.Until(p) > 0 {
			e.Incidents = append(e.Incidents, q.Incidents(now, p)...)
			if s.known {
				e.Proofs = append(e.Proofs, Proof{Part: p})
			}
		} else if len(s.incidents) == 0 && len(s.cleared) > 0 {
			released = append(released, p)
		}
	}
	return e, released
}

// Suspected reports whether the part has an incident and no known answer, so that a
// request with it should not be repeated.
func (q *Quarantine) Suspected(p Part) bool {
	s := q.suspects[p]
	return s != nil && !s.known && len(s.incidents) > 0
}

// Quarantined returns the parts in quarantine in ascending order.
func (q *Quarantine) Quarantined(now time.Duration) []Part {
	var parts []Part
	for p := range q.suspects {
		if now < q.Until(p) {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return parts
}
