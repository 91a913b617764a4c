package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxExcused bounds the crashes that are remembered as no evidence.
const maxExcused = 8192

// Excuse records that a crash before the given time is no evidence against the parts of
// the prompts, because the target had another reason to crash. Incidents of the crash that
// are known already are cleared, as by a proof, which other daemons learn of: so those that
// do not know the reason reach the same verdict.
func (q *Quarantine) Excuse(now time.Duration, c Crash, until time.Duration) {
	if !q.excuse(c, until) {
		return // incidents have been refused since the first call
	}
	for _, p := range q.clearCrash(now, c, until) {
		q.own.proofs = append(q.own.proofs, Proof{Part: p, Crash: c})
	}
}

// RecordSurvival records that a target answers a request that was sent at the given time, so
// that it had not crashed before: its connections were only cut. One proof tells the other
// daemons.
func (q *Quarantine) RecordSurvival(now time.Duration, c Crash, sent time.Duration) {
	if r := q.crashes[c]; r == nil || sent <= r.at {
		return
	}
	if q.refuteCrash(now, c, sent) {
		q.own.proofs = append(q.own.proofs, Proof{Crash: c})
	}
}

// refuteCrash clears all incidents of a crash before the given time. It reports whether that
// was news.
func (q *Quarantine) refuteCrash(now time.Duration, c Crash, until time.Duration) bool {
	if !q.excuse(c, until) {
		return false
	}
	q.clearCrash(now, c, until)
	return true
}

// excuse remembers the excuse of a crash. It reports whether there was none.
func (q *Quarantine) excuse(c Crash, until time.Duration) bool {
	known, ok := q.excused[c]
	if ok && until <= known {
		return false
	}
	if !ok && len(q.excused) >= maxExcused {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(q.excused)), func(a, b Crash) int { return cmp.Compare(q.excused[a], q.excused[b]) })
		delete(q.excused, oldest)
	}
	q.excused[c] = until
	return !ok
}

// clearCrash clears the suspects with an incident of a crash before the given time, and
// returns their parts.
func (q *Quarantine) clearCrash(now time.Duration, c Crash, until time.Duration) []Part {
	var cleared []Part
	for p, s := range q.suspects {
		if slices.ContainsFunc(s.incidents, func(i incident) bool { return i.Crash == c && i.at < until }) {
			s.clear(now, c)
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// isExcused reports whether an incident is no evidence.
func (q *Quarantine) isExcused(i incident) bool {
	until, ok := q.excused[i.Crash]
	return ok && i.at < until // times before the start of this daemon are negative
}

// refute tells the other daemons that a crash does not count against a part.
func (q *Quarantine) refute(i incident) {
	if p := (Proof{Part: i.Part, Crash: i.Crash}); len(q.own.proofs) < maxReported && !slices.Contains(q.own.proofs, p) {
		q.own.proofs = append(q.own.proofs, p)
	}
}
