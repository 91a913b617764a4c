package quarantiner

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// independent returns the number of crashes that tell independently of each other that
// the part crashes targets, and the last of them. Explained incidents do not count;
// explained may be nil.
func (s *suspect) independent(explained func(incident) bool) (count int, last incident) {
	interval := minCrashInterval
	if s.whole {
		interval = minRequestCrashInterval
	}
	var requests []uint64
	var crashes []Crash
	near := 0
	for _, i := range s.incidents {
		if explained != nil && explained(i) {
			continue
		}
		if count > 0 && i.at-last.at < interval {
			near++
			continue
		}
		if count > 0 && (slices.Contains(requests, i.Request) || slices.Contains(crashes, i.Crash)) {
			continue
		}
		count, last = count+1, i
		requests, crashes = append(requests, i.Request), append(crashes, i.Crash)
	}
	if s.whole && count > 1 && near > 0 {
		count++
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
	if s := q.suspects[p]; s != nil {
		return q.until(p, s, nil)
	}
	return 0
}

// until returns the Until of a suspect. found holds the results for whole requests that
// were found already; nil stands for none.
func (q *Quarantine) until(p Part, s *suspect, found map[Part]time.Duration) time.Duration {
	threshold, proven := newPartCrashes, provenPartCrashes
	if s.whole {
		threshold, proven = newRequestCrashes, provenRequestCrashes
	}
	if len(s.incidents) < threshold {
		return 0
	}
	var explained func(incident) bool
	if s.whole {
		if until, ok := found[p]; ok {
			return until
		}
		if found == nil {
			found = map[Part]time.Duration{}
		}
		explained = func(i incident) bool { return q.explained(p, s, i, found) }
	}
	count, last := s.independent(explained)
	if s.known || count >= threshold && count < proven && q.hasAlternative(p, s) {
		threshold = proven
	}
	until := time.Duration(0)
	if count >= threshold {
		until = last.at + min(baseDuration<<min(count-threshold, maxIncidents), maxDuration)
	}
	if s.whole {
		found[p] = until
	}
	return until
}

// explained reports whether a crash does not count against a whole request because a part
// that is or was in quarantine, or such a request that is likelier to crash targets, was
// in it.
func (q *Quarantine) explained(p Part, s *suspect, i incident, found map[Part]time.Duration) bool {
	for other := range q.byCrash[i.Crash] {
		o := q.suspects[other]
		if other != p && o.hasIncident(i.Crash) && (!o.whole || o.likelier(s)) && q.until(other, o, found) > 0 {
			return true
		}
	}
	return false
}

// likelier reports whether one whole request is likelier to crash targets than another
// one: because no answer to it is known, or else because it was in more crashes. Of any
// two, at most one is.
func (s *suspect) likelier(than *suspect) bool {
	if s.known != than.known {
		return than.known
	}
	count, _ := s.independent(nil)
	other, _ := than.independent(nil)
	return count > other
}

// Companions returns the other parts that may have caused all crashes in which the part
// is a suspect, since they were in the same prompts, in ascending order. A part that was
// answered before is not one of a part that never was. A whole request has none.
func (q *Quarantine) Companions(p Part) []Part {
	s := q.suspects[p]
	if s == nil || s.whole {
		return nil
	}
	var companions []Part
	for other, o := range q.related(s) {
		if other != p && !o.whole && (s.known || !o.known) && o.explains(s, samePrompt) {
			companions = append(companions, other)
		}
	}
	slices.Sort(companions)
	return companions
}

// hasAlternative reports whether a part of other prompts or another whole request, of
// which no answer is known either, may have caused all crashes in which the part is a
// suspect. Parts are no alternative to a whole request, which may contain them.
func (q *Quarantine) hasAlternative(p Part, s *suspect) bool {
	for other, o := range q.related(s) {
		if other == p || o.known || s.whole && !o.whole || !o.explains(s, sameCrash) {
			continue
		}
		if s.whole || !o.explains(s, samePrompt) {
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

// SuspectedRequest reports whether a whole request has been in several crashes, or may
// have been in view of others that are not confirmed yet, and no answer to it is known, so
// that it should not be repeated.
func (q *Quarantine) SuspectedRequest(whole Part, unconfirmed int) bool {
	if s := q.suspects[whole]; s != nil {
		return !s.known && len(s.incidents)+unconfirmed >= repeatedRequestCrashes
	}
	_, known := q.answered(whole)
	return !known && unconfirmed >= repeatedRequestCrashes
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
