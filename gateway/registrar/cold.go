package registrar

import "time"

// recordWarmUp updates the record by an entry that this daemon has read. A target writes
// its entry again and again while it is cold, each time with a smaller WarmUp, and
// with 0 once it is warm. The entry may be older than the read, so that the end of the cold
// time is late rather than early.
func (rec *record) recordWarmUp(now time.Duration, e Entry) {
	if e.WarmUp != rec.warmUp {
		rec.coldUntil = now + e.WarmUp
	}
	rec.warmUp = e.WarmUp
}

// recordPeerWarmUp updates the record by an entry that a peer has read. It has a WarmUp
// only in the change in which the target became cold. The time on the way makes the end of
// the cold time later.
func (rec *record) recordPeerWarmUp(now time.Duration, e Entry) {
	switch {
	case !e.Cold:
		rec.coldUntil = 0
	case e.WarmUp > 0:
		rec.coldUntil = now + e.WarmUp
	default:
		rec.coldUntil = max(rec.coldUntil, now+1)
	}
}

// ColdUntil returns the targets that are cold by the latest state, with the time at which
// that ends unless a later state says otherwise.
func (r *Registry) ColdUntil() map[Departure]time.Duration {
	cold := map[Departure]time.Duration{}
	for _, rec := range r.entries {
		if rec.entry.Cold {
			cold[departureOf(rec.entry)] = rec.coldUntil
		}
	}
	return cold
}
