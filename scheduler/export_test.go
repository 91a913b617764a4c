package scheduler

// The functions below break one rule each, to show that a property fails without it.

// DiscardCharges removes every difference in virtual time.
func (s *Scheduler) DiscardCharges() {
	for _, a := range s.accounts {
		s.setVirtual(a, 0)
	}
}

// FreeSlot frees a slot of a target that no grant gave back.
func (s *Scheduler) FreeSlot(target string) {
	if t := s.targets[target]; t != nil && t.used > 0 {
		s.occupy(t, -1)
	}
}

// LastID is the id of the newest grant.
func (s *Scheduler) LastID() uint64 { return s.lastID }

// Used is the sum of the slots counted as used.
func (s *Scheduler) Used() int {
	n := 0
	for _, t := range s.order {
		n += t.used
	}
	return n
}

// Demands is the number of demand entries kept.
func (s *Scheduler) Demands() int {
	n := 0
	for _, m := range s.members {
		n += len(m.demands)
	}
	return n
}
