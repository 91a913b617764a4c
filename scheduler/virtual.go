package scheduler

// level is the smallest virtual time of the active accounts, or that of the account served
// last when none is active.
func (s *Scheduler) level() float64 {
	if len(s.active) > 0 {
		return s.active[0].virtual
	}
	return s.floor
}

// lift limits the credit of an account that becomes active: to none after it was idle, so
// that idle accounts accumulate no credit, and to the cap otherwise.
func (s *Scheduler) lift(a *account) {
	lowest := s.level()
	if s.now-a.idle < idleGrace {
		lowest -= s.limitOf(a)
	}
	if a.virtual < lowest {
		a.lifted += lowest - a.virtual
		a.virtual = lowest
	}
}

// limitOf is the cap of an account, in units per weight: the distance from the smallest
// active virtual time beyond which debt or credit learnt from fleet totals is discarded. It
// is CapSeconds of the pool's service for an equal share, but at least what the account can
// owe in a connected fleet, which is its largest request for each slot it has held at once.
// Without that minimum, a request that costs more than the cap would be partly free.
func (s *Scheduler) limitOf(a *account) float64 {
	weight := max(s.activeWeight, a.weight)
	seconds := s.settings.CapSeconds * s.rate.pool() / weight
	return max(seconds, a.largest*float64(max(a.peak, 1))*s.rate.shards()/a.weight)
}

// applyRemote moves the virtual time by service that other shards granted, in units per
// weight, within the cap.
func (s *Scheduler) applyRemote(a *account, change float64) {
	if change > 0 {
		absorbed := min(change, a.lifted)
		change -= absorbed
	}
	a.lifted = 0
	virtual := a.virtual + change
	level, limit := s.levelWithout(a), s.limitOf(a)
	if change > 0 {
		virtual = min(virtual, max(a.virtual, level+limit))
	} else {
		virtual = max(virtual, min(a.virtual, level-limit))
	}
	s.setVirtual(a, virtual)
}

// levelWithout is the smallest virtual time of the active accounts other than a.
func (s *Scheduler) levelWithout(a *account) float64 {
	if a.index != 0 {
		return s.level()
	}
	switch len(s.active) {
	case 1:
		return max(s.floor, a.virtual)
	case 2:
		return s.active[1].virtual
	default:
		return min(s.active[1].virtual, s.active[2].virtual)
	}
}
