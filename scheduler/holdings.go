package scheduler

import "time"

// SetHoldings states grants that a member has in use, of the given epoch. It extends their
// leases, raises their charge to the cost so far and, for grants of an earlier epoch, takes
// over their slots.
func (s *Scheduler) SetHoldings(now time.Duration, member string, epoch uint64, holdings []Holding) {
	s.begin(now)
	m := s.member(member)
	m.reported = true
	for _, h := range holdings {
		key := grantKey{epoch, h.ID}
		g := s.grants[key]
		if g == nil && epoch != s.settings.Epoch {
			g = &grant{key: key, member: m, account: s.account(h.Account), target: s.target(h.Target)}
			g.target.used++
			s.grants[key] = g
		}
		if g == nil || g.member != m {
			continue
		}
		g.listed = now
		if h.Cost > g.charged {
			s.charge(g.account, h.Cost-g.charged)
			g.charged = h.Cost
		}
	}
}

// Settle ends grants of the given epoch with their actual cost.
func (s *Scheduler) Settle(now time.Duration, member string, epoch uint64, settlements []Settlement) {
	s.begin(now)
	m := s.member(member)
	for _, e := range settlements {
		g := s.grants[grantKey{epoch, e.ID}]
		switch {
		case g != nil && g.member == m:
			s.charge(g.account, e.Cost-g.charged)
			s.release(g)
		case g == nil && epoch != s.settings.Epoch:
			s.charge(s.account(e.Account), e.Cost)
		}
	}
}
