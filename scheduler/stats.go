package scheduler

// Stats describes the state of a shard, for metrics.
type Stats struct {
	// Slots is the sum of the limits, Held the number of grants that hold a slot.
	Slots, Held int
	// Grantable counts the accounts with a request that could be granted.
	Grantable int
	// Rate is the measured service rate of the pool in units per second.
	Rate float64
	// Rebuilding is set while a new owner waits for holdings.
	Rebuilding bool
}

// Stats returns the present state.
func (s *Scheduler) Stats() Stats {
	return Stats{
		Slots: s.limit, Held: len(s.grants), Grantable: len(s.active),
		Rate: s.rate.pool(), Rebuilding: s.rebuilding(),
	}
}

// InUse returns the number of held grants on a target.
func (s *Scheduler) InUse(target string) int {
	if t := s.targets[target]; t != nil {
		return t.used
	}
	return 0
}

// AccountStats describes the standing of an account in a shard.
type AccountStats struct {
	// Ahead is the distance from the smallest active virtual time, in units per weight; the
	// account is served when it is 0.
	Ahead float64
	// Own is the service granted in this epoch and Known the last fleet total, in units.
	Own, Known float64
	Held       int
}

// Account returns the standing of an account, and whether it has been seen.
func (s *Scheduler) Account(name string) (AccountStats, bool) {
	a := s.accounts[name]
	if a == nil {
		return AccountStats{}, false
	}
	return AccountStats{Ahead: a.virtual - s.level(), Own: a.own, Known: a.known, Held: a.held}, true
}
