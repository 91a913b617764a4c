package scheduler

// DiscardCharges and FreeSlot each break one rule of the scheduler, so that tests can show that a
// property fails without the rule.

// DiscardCharges sets the virtual time of every account to 0.
func (s *Scheduler) DiscardCharges() {
	for _, a := range s.accounts {
		s.setVirtualTime(a, 0)
	}
}

// FreeSlot frees a slot of a target although its grant is still held.
func (s *Scheduler) FreeSlot(target string) {
	if t := s.targets[target]; t != nil && t.usedSlots > 0 {
		s.addUsedSlots(t, -1)
	}
}

// LastID returns the ID of the newest grant.
func (s *Scheduler) LastID() uint64 { return s.lastGrantID }

// Used returns the sum of the used slots of all targets.
func (s *Scheduler) Used() int {
	n := 0
	for _, t := range s.targetOrder {
		n += t.usedSlots
	}
	return n
}

// Demands returns the number of demand entries.
func (s *Scheduler) Demands() int {
	n := 0
	for _, m := range s.members {
		n += len(m.demands)
	}
	return n
}
