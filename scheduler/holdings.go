package scheduler

import "time"

// SetHoldings states grants that a member has in use, of the given epoch. It extends their
// leases and raises their charge to the cost so far. Grants of an earlier epoch, and grants
// whose lease had ended, take up their slots again.
func (s *Scheduler) SetHoldings(now time.Duration, member string, epoch uint64, holdings []Holding) {
	s.tick(now)
	m := s.sender(member)
	m.reported = true
	for _, h := range holdings {
		key := grantKey{epoch, h.ID}
		g := s.grants[key]
		if g == nil {
			g = s.adopt(m, key, h)
		}
		if g == nil || g.member != m {
			continue
		}
		s.touch(g)
		s.confirm(g)
		s.raise(g, units(h.Cost))
	}
}

// adopt holds a grant that the member lists and the owner does not hold. It returns nil for a
// grant that has been settled.
func (s *Scheduler) adopt(m *member, key grantKey, h Holding) *grant {
	e, found := s.ended.get(key)
	switch {
	case found && (e.settled || e.member != m.name):
		return nil
	case !found && key.epoch == s.settings.Epoch:
		return nil
	}
	g := &grant{
		key: key, member: m, account: s.account(h.Account), target: s.target(h.Target),
		estimate: e.estimate, charged: e.charged, confirmed: true,
	}
	s.hold(g)
	s.raise(g, g.estimate)
	if found {
		s.reached(m)
	}
	return g
}

// raise increases the charge of a grant to a cost that is known to have arisen.
func (s *Scheduler) raise(g *grant, cost float64) {
	if cost > g.charged {
		s.charge(g.account, cost-g.charged)
		g.charged = cost
		g.account.largest = max(g.account.largest, cost)
	}
}

// Settle ends grants of the given epoch with their actual cost. Grants of an earlier epoch
// are charged to their account. Repeated settlements have no effect.
func (s *Scheduler) Settle(now time.Duration, member string, epoch uint64, settlements []Settlement) {
	s.tick(now)
	m := s.sender(member)
	for _, e := range settlements {
		key := grantKey{epoch, e.ID}
		cost := units(e.Cost)
		if g := s.grants[key]; g != nil {
			if g.member == m {
				s.settleHeld(g, cost)
			}
			continue
		}
		s.settleEnded(m, key, e.Account, cost)
	}
}

func (s *Scheduler) settleHeld(g *grant, cost float64) {
	s.confirm(g)
	s.release(g)
	g.account.observe(cost)
	g.account.learn(cost, g.hint)
	s.charge(g.account, cost-g.charged)
	if _, found := s.ended.get(g.key); found || g.key.epoch != s.settings.Epoch {
		s.ended.put(g.key, ending{member: g.member.name, charged: cost, settled: true})
	}
}

// settleEnded charges a grant that holds no slot: its lease has ended or it was issued in an
// earlier epoch. An unknown grant of this epoch was settled before.
func (s *Scheduler) settleEnded(m *member, key grantKey, account string, cost float64) {
	e, found := s.ended.get(key)
	if found && (e.settled || e.member != m.name) || !found && key.epoch == s.settings.Epoch {
		return
	}
	if found {
		s.reached(m)
	}
	a := s.account(account)
	a.observe(cost)
	s.charge(a, cost-e.charged)
	s.ended.put(key, ending{member: m.name, charged: cost, settled: true})
}
