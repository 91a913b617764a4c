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
	known, ok := q.excused[c]
	if ok && until <= known {
		return
	}
	if !ok && len(q.excused) >= maxExcused {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(q.excused)), func(a, b Crash) int { return cmp.Compare(q.excused[a], q.excused[b]) })
		delete(q.excused, oldest)
	}
	q.excused[c] = until
	if ok {
		return // incidents have been refused since the first call
	}
	for p, s := range q.suspects {
		if slices.ContainsFunc(s.incidents, func(i incident) bool { return i.Crash == c && i.at < until }) {
			s.clear(now, c)
			q.own.proofs = append(q.own.proofs, Proof{Part: p, Crash: c})
		}
	}
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
