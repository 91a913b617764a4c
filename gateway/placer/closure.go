package placer

import "time"

// RecordClosure records that a target wants no requests of this daemon until a time. It reports
// whether that is news.
func (f *Fleet) RecordClosure(id string, incarnation int64, until time.Duration) bool {
	t := f.targets[id]
	if t == nil || t.entry.Incarnation != incarnation || until <= t.closedUntil {
		return false
	}
	t.closedUntil = until
	return true
}

// ReopensIn returns the time until a target of the service wants requests again; 0 if one
// does now, or if the service has no targets.
func (f *Fleet) ReopensIn(now time.Duration, service string) time.Duration {
	shortest := time.Duration(0)
	for i, t := range f.targetsByService[service] {
		closed := max(t.closedUntil-now, 0)
		if i == 0 || closed < shortest {
			shortest = closed
		}
	}
	return shortest
}
