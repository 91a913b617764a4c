package quarantiner

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// verdict says from when until when a part is or was in quarantine; until is 0 if it never
// was.
type verdict struct {
	from, until time.Duration
	// crashes is the number of crashes that count against the part, last the time of the last
	// one.
	crashes int
	last    time.Duration
}

// includes reports whether the part is in quarantine.
func (v verdict) includes(now time.Duration) bool { return now >= v.from && now < v.until }

// independent returns the incidents of crashes that tell independently of each other that the
// part crashes targets, and whether others followed them too closely to count. Explained
// incidents do not count; explained may be nil.
func (q *Quarantine) independent(s *suspect, explained func(incident) bool) (counted []incident, near bool) {
	var last time.Duration
	for _, i := range s.incidents {
		if explained != nil && explained(i) || q.duringOutage(i) {
			continue
		}
		at := q.crashedAt(i)
		same := func(o incident) bool { return o.Request == i.Request || o.Crash == i.Crash }
		switch {
		case len(counted) > 0 && at-last < s.interval():
			near = true
		case !slices.ContainsFunc(counted, same):
			counted, last = append(counted, i), at
		}
	}
	return counted, near
}

// count returns the number of crashes that count against the part.
func (q *Quarantine) count(s *suspect, explained func(incident) bool) (int, []incident) {
	counted, near := q.independent(s, explained)
	count := len(counted)
	if s.whole && count > 1 && near {
		count++
	}
	return count, counted
}

// Blocked returns the first part in quarantine because of which a request with the given
// parts is refused, and the time at which the caller may try again; false if the request may
// be sent.
func (q *Quarantine) Blocked(now time.Duration, parts []Part) (p Part, retryAt time.Duration, blocked bool) {
	for p, v := range q.blocking(now, parts) {
		if v.inDoubt(q.suspects[p]) {
			return p, min(v.until, now+trialDelay), true
		}
		return p, v.until, true
	}
	return 0, 0, false
}

// blocking returns the parts in quarantine because of which a request with the given parts is
// refused.
func (q *Quarantine) blocking(now time.Duration, parts []Part) iter.Seq2[Part, verdict] {
	return func(yield func(Part, verdict) bool) {
		for _, p := range parts {
			v := q.verdict(p)
			if !v.includes(now) {
				continue
			}
			missing := func(companion Part) bool { return !slices.Contains(parts, companion) }
			if !slices.ContainsFunc(q.Companions(p), missing) && !yield(p, v) {
				return
			}
		}
	}
}

// Until returns the time until which a part is or was in quarantine; 0 if it never was.
func (q *Quarantine) Until(p Part) time.Duration { return q.verdict(p).until }

func (q *Quarantine) verdict(p Part) verdict {
	if s := q.suspects[p]; s != nil {
		return q.judge(p, s, nil)
	}
	return verdict{}
}

// judge returns the verdict on a suspect. found holds the verdicts on whole requests that were
// found already; nil stands for none.
func (q *Quarantine) judge(p Part, s *suspect, found map[Part]verdict) verdict {
	threshold, proven := newPartCrashes, provenPartCrashes
	if s.whole {
		threshold, proven = newRequestCrashes, provenRequestCrashes
	}
	if len(s.incidents) < threshold {
		return verdict{}
	}
	var explained func(incident) bool
	if s.whole {
		if v, ok := found[p]; ok {
			return v
		}
		if found == nil {
			found = map[Part]verdict{}
		}
		explained = func(i incident) bool { return q.explained(p, s, i, found) }
	}
	count, counted := q.count(s, explained)
	if s.known || count >= threshold && count < proven && q.hasAlternative(p, s) {
		threshold = proven
	}
	var v verdict
	if count >= threshold {
		v.crashes, v.last = count, counted[len(counted)-1].at
		v.until = v.last + min(baseDuration<<min(count-threshold, maxIncidents), maxDuration)
		if s.known {
			v.from = counted[min(threshold, len(counted))-1].at + settleTime
		}
	}
	if s.whole {
		found[p] = v
	}
	return v
}

// explained reports whether a crash does not count against a whole request because a part
// that is or was in quarantine, or such a request that is likelier to crash targets, was
// in it.
func (q *Quarantine) explained(p Part, s *suspect, i incident, found map[Part]verdict) bool {
	for other := range q.partsOf(i.Crash) {
		o := q.suspects[other]
		if other != p && o.hasIncident(i.Crash) && (!o.whole || q.likelier(o, s)) && q.judge(other, o, found).until > 0 {
			return true
		}
	}
	return false
}

// likelier reports whether one whole request is likelier to crash targets than another
// one: because no answer to it is known, or else because it was in more crashes. Of any
// two, at most one is.
func (q *Quarantine) likelier(s, than *suspect) bool {
	if s.known != than.known {
		return than.known
	}
	count, _ := q.count(s, nil)
	other, _ := q.count(than, nil)
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
		for p := range q.partsOf(s.incidents[0].Crash) {
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
		if v := q.verdict(p); v.until > 0 && now >= v.from {
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
		if q.verdict(p).includes(now) {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return parts
}
