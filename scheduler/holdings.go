package scheduler

import "time"

// SetHoldings handles the list of grants of an epoch that a member has in use. It renews their
// leases and raises their charges to the cost so far. Grants of an earlier epoch, and grants
// whose lease has ended, take their slots again.
func (s *Scheduler) SetHoldings(now time.Duration, member string, epoch uint64, holdings []Holding) {
	s.advanceClock(now)
	m := s.receivedFrom(member)
	m.holdingsReported = true
	for _, h := range holdings {
		key := grantKey{epoch, h.ID}
		g := s.grants[key]
		if g == nil {
			g = s.restoreGrant(m, key, h)
		}
		if g == nil || g.member != m {
			continue
		}
		s.renewLease(g)
		s.confirm(g)
		s.raiseCharge(g, sanitizeUnits(h.Cost))
	}
}

// restoreGrant adds a grant that the member lists but the scheduler does not hold. It returns nil
// for a grant that has been settled or belongs to another member.
func (s *Scheduler) restoreGrant(m *member, key grantKey, h Holding) *grant {
	e, found := s.endedGrants.get(key)
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
	s.raiseCharge(g, g.estimate)
	if found {
		s.recordDelivery(m)
	}
	return g
}

// raiseCharge increases the charge of a grant to cost if it is lower.
func (s *Scheduler) raiseCharge(g *grant, cost float64) {
	if cost > g.charged {
		s.charge(g.account, cost-g.charged)
		g.charged = cost
		g.account.largestCharge = max(g.account.largestCharge, cost)
	}
}

// Settle ends grants of an epoch and charges their actual cost, also for grants of an earlier
// epoch. Repeated settlements have no effect.
func (s *Scheduler) Settle(now time.Duration, member string, epoch uint64, settlements []Settlement) {
	s.advanceClock(now)
	m := s.receivedFrom(member)
	for _, e := range settlements {
		key := grantKey{epoch, e.ID}
		cost := sanitizeUnits(e.Cost)
		if g := s.grants[key]; g != nil {
			if g.member == m {
				s.settleHeld(g, cost)
			}
			continue
		}
		s.settleEnded(m, key, e.Account, cost)
	}
}

// settleHeld ends a grant that holds a slot. The end is remembered for a grant that the member
// might list again: one of an earlier epoch or one whose lease had ended before.
func (s *Scheduler) settleHeld(g *grant, cost float64) {
	s.confirm(g)
	s.release(g)
	g.account.recordCost(cost)
	g.account.updateCostRatio(cost, g.memberEstimate)
	s.charge(g.account, cost-g.charged)
	if _, found := s.endedGrants.get(g.key); found || g.key.epoch != s.settings.Epoch {
		s.endedGrants.put(g.key, endedGrant{member: g.member.name, charged: cost, settled: true})
	}
}

// settleEnded charges the cost of a grant that holds no slot: its lease has ended or it was
// issued in an earlier epoch. An unknown grant of this epoch has already been settled.
func (s *Scheduler) settleEnded(m *member, key grantKey, account string, cost float64) {
	e, found := s.endedGrants.get(key)
	if found && (e.settled || e.member != m.name) || !found && key.epoch == s.settings.Epoch {
		return
	}
	if found {
		s.recordDelivery(m)
	}
	a := s.account(account)
	a.recordCost(cost)
	s.charge(a, cost-e.charged)
	s.endedGrants.put(key, endedGrant{member: m.name, charged: cost, settled: true})
}
