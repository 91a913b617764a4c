package scheduler

// Stats describes the state of a shard, for metrics.
type Stats struct {
	// Slots is the sum of the target limits, Held the number of grants that hold a slot.
	Slots, Held int
	// Grantable counts the accounts that have a request waiting for a free slot.
	Grantable int
	// Rate is the measured service rate of the pool in units per second.
	Rate float64
	// Rebuilding is set while a new owner waits for the members' holdings and grants nothing.
	Rebuilding bool
}

// Stats returns the current state of the shard.
func (s *Scheduler) Stats() Stats {
	return Stats{
		Slots: s.slotLimit, Held: len(s.grants), Grantable: len(s.active),
		Rate: s.serviceRate.poolRate(), Rebuilding: s.rebuilding(),
	}
}

// HeldGrants returns the number of held grants on a target.
func (s *Scheduler) HeldGrants(target string) int {
	if t := s.targets[target]; t != nil {
		return t.usedSlots
	}
	return 0
}

// AccountStats describes the state of an account in a shard.
type AccountStats struct {
	// Ahead is the account's virtual time less the smallest one of the accounts with grantable
	// requests, in units per weight. The account is served next when it is 0.
	Ahead float64
	// Own is the service charged in this epoch and Known the last fleet total, in units.
	Own, Known float64
	// Held is the number of grants that hold a slot.
	Held int
}

// Account returns the state of an account, and false if the account is unknown.
func (s *Scheduler) Account(name string) (AccountStats, bool) {
	a := s.accounts[name]
	if a == nil {
		return AccountStats{}, false
	}
	return AccountStats{Ahead: a.virtualTime - s.minimumVirtualTime(), Own: a.ownUnits, Known: a.fleetTotal, Held: a.heldGrants}, true
}
