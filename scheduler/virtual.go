package scheduler

// minimumVirtualTime returns the smallest virtual time of the active accounts, or
// lastServedVirtualTime if none is active.
func (s *Scheduler) minimumVirtualTime() float64 {
	if len(s.active) > 0 {
		return s.active[0].virtualTime
	}
	return s.lastServedVirtualTime
}

// limitCredit raises the virtual time of an account that becomes active to the minimum, so that
// idle accounts accumulate no credit. An account that had a grantable request less than idleDelay
// ago may stay below the minimum by the adjustment cap.
func (s *Scheduler) limitCredit(a *account) {
	lowest := s.minimumVirtualTime()
	if s.now-a.lastGrantable < idleDelay {
		lowest -= s.adjustmentCap(a)
	}
	if a.virtualTime < lowest {
		a.discardedCredit += lowest - a.virtualTime
		a.virtualTime = lowest
	}
}

// adjustmentCap returns the distance from the smallest active virtual time, in units per weight,
// beyond which debt or credit from fleet totals is discarded. It is AdjustmentCapSeconds of the
// pool's service divided by the active weight, but at least the debt that the account can have in a
// connected fleet: its largest charge for each slot that it has held at once, in every shard.
// Without that minimum, a request that costs more than the cap would be partly free.
func (s *Scheduler) adjustmentCap(a *account) float64 {
	weight := max(s.activeWeight, a.weight)
	seconds := s.settings.AdjustmentCapSeconds * s.serviceRate.poolRate() / weight
	return max(seconds, a.largestCharge*float64(max(a.peakHeld, 1))*s.serviceRate.estimatedShards()/a.weight)
}

// applyRemoteService changes the virtual time by the service that other shards granted, in units
// per weight, within the adjustment cap. Credit that limitCredit discarded is deducted first.
func (s *Scheduler) applyRemoteService(a *account, change float64) {
	if change > 0 {
		absorbed := min(change, a.discardedCredit)
		change -= absorbed
	}
	a.discardedCredit = 0
	virtualTime := a.virtualTime + change
	minimum, adjustmentCap := s.minimumVirtualTimeExcept(a), s.adjustmentCap(a)
	if change > 0 {
		virtualTime = min(virtualTime, max(a.virtualTime, minimum+adjustmentCap))
	} else {
		virtualTime = max(virtualTime, min(a.virtualTime, minimum-adjustmentCap))
	}
	s.setVirtualTime(a, virtualTime)
}

// minimumVirtualTimeExcept returns the smallest virtual time of the active accounts other than a.
// If a is the only one, it returns the larger of lastServedVirtualTime and a's virtual time.
func (s *Scheduler) minimumVirtualTimeExcept(a *account) float64 {
	if a.index != 0 {
		return s.minimumVirtualTime()
	}
	switch len(s.active) {
	case 1:
		return max(s.lastServedVirtualTime, a.virtualTime)
	case 2:
		return s.active[1].virtualTime
	default:
		return min(s.active[1].virtualTime, s.active[2].virtualTime)
	}
}
