package scheduler

import (
	"container/list"
	"time"
)

// Grants issues and returns the grants that are possible now, and counts them against the
// demand. It also frees the slots of grants whose lease has ended.
func (s *Scheduler) Grants(now time.Duration) []Grant {
	s.advanceClock(now)
	s.expireLeases()
	s.removeInactiveMembers()
	if s.rebuilding() {
		return nil
	}
	var grants []Grant
	for len(s.active) > 0 {
		d := s.active[0].ready.Front().Value.(*demand)
		t := s.chooseTarget(d.prefixHash)
		if t == nil {
			break
		}
		grants = append(grants, s.grant(d, t))
	}
	return grants
}

// rebuilding reports whether grants must wait because the holdings of some live member, or the
// members themselves, are not known yet.
func (s *Scheduler) rebuilding() bool {
	if s.now-s.start >= s.settings.RebuildWindow {
		return false
	}
	for _, m := range s.members {
		if m.live && !m.holdingsReported {
			return true
		}
	}
	return len(s.members) == 0
}

// grant issues a grant for a request of d, which takes a slot of t.
func (s *Scheduler) grant(d *demand, t *target) Grant {
	a := d.account
	s.lastServedVirtualTime = max(s.lastServedVirtualTime, a.virtualTime)
	s.lastGrantID++
	g := &grant{
		key: grantKey{s.settings.Epoch, s.lastGrantID}, member: d.member, account: a, target: t,
		demand: d, memberEstimate: d.estimate, estimate: d.initialCharge(), lastListed: s.now,
	}
	g.charged = g.estimate
	s.hold(g)
	d.heldGrants++
	d.member.unconfirmedGrants++
	d.unseenGrants = append(d.unseenGrants, s.lastGrantID)
	s.prefixTargets.put(d.prefixHash, t)
	d.prefixHash = 0 // The hint describes only the first waiting request.
	a.ready.MoveToBack(d.readyElement)
	a.largestCharge = max(a.largestCharge, g.charged)
	s.charge(a, g.charged)
	if d.member.available() {
		s.updateReadiness(d)
	} else {
		s.updateMemberReadiness(d.member)
	}
	return Grant{ID: g.key.id, Member: d.member.name, Account: a.name, Target: t.id, Estimate: g.charged}
}

// hold adds a grant and takes a slot of its target.
func (s *Scheduler) hold(g *grant) {
	s.grants[g.key] = g
	if g.confirmed {
		g.leaseElement = s.leases.PushBack(g)
	} else {
		g.leaseElement = s.firstLeases.PushBack(g)
	}
	g.member.heldGrants++
	g.account.heldGrants++
	g.account.peakHeld = max(g.account.peakHeld, g.account.heldGrants)
	s.addUsedSlots(g.target, 1)
}

// release removes a grant and frees its slot.
func (s *Scheduler) release(g *grant) {
	delete(s.grants, g.key)
	s.leases.Remove(g.leaseElement) // does nothing if the other list has the element
	s.firstLeases.Remove(g.leaseElement)
	g.member.heldGrants--
	g.account.heldGrants--
	s.addUsedSlots(g.target, -1)
	if d := g.demand; d != nil {
		d.heldGrants--
		s.dropIfUnneeded(d)
	}
}

// addUsedSlots changes the number of used slots of a target, negative to free some.
func (s *Scheduler) addUsedSlots(t *target, slots int) {
	t.usedSlots += slots
	if t.limit > 0 {
		s.usedSlots += slots
	}
}

// confirm records that the member has received the grant.
func (s *Scheduler) confirm(g *grant) {
	if !g.confirmed {
		g.confirmed = true
		g.member.unconfirmedGrants--
		s.recordDelivery(g.member)
	}
}

// recordDelivery records that a grant arrived at the member.
func (s *Scheduler) recordDelivery(m *member) {
	if m.grantLost {
		m.grantLost = false
		s.updateMemberReadiness(m)
	}
}

// expireLeases releases the grants that their members have not listed within the lease. The
// first lease is longer: the time in which the grant reaches its member is not part of it.
func (s *Scheduler) expireLeases() {
	s.expire(&s.leases, s.settings.Lease)
	s.expire(&s.firstLeases, s.settings.DeliveryTimeout+s.settings.Lease)
}

// expire releases the grants of a list that were last listed at least a lease ago.
func (s *Scheduler) expire(leases *list.List, lease time.Duration) {
	for e := leases.Front(); e != nil; e = leases.Front() {
		g := e.Value.(*grant)
		if s.now-g.lastListed < lease {
			return
		}
		if !g.confirmed {
			s.handleLostGrant(g)
		}
		s.release(g)
		s.endedGrants.put(g.key, endedGrant{
			member: g.member.name, estimate: g.estimate, charged: g.charged,
		})
	}
}

// handleLostGrant refunds a grant whose lease ended before its member listed or settled it, as
// it was probably lost in transit. A settlement that arrives later is charged in full. The
// request can be granted again, unless the member's demand shows that the grant was received.
func (s *Scheduler) handleLostGrant(g *grant) {
	m := g.member
	m.unconfirmedGrants--
	s.charge(g.account, -g.charged)
	g.charged = 0
	if d := g.demand; m.demands[g.account] == d && d.removeUnseen(g.key.id) {
		m.grantLost, m.unresponsive = true, m.lastMessage <= g.lastListed
	}
	s.updateMemberReadiness(m)
}

// initialCharge returns the units to charge when a grant for d is issued: the member's estimate
// times the account's ratio of actual to estimated cost. Without an estimate it is the mean cost
// of the account's requests, or 1, so that no account gets slots without a charge.
func (d *demand) initialCharge() float64 {
	if d.estimate > 0 && d.account.costRatio > 0 {
		return d.estimate * d.account.costRatio
	}
	if d.estimate > 0 {
		return d.estimate
	}
	if d.account.meanCost > 0 {
		return d.account.meanCost
	}
	return 1
}

// renewLease restarts the lease of a grant.
func (s *Scheduler) renewLease(g *grant) {
	g.lastListed = s.now
	s.firstLeases.Remove(g.leaseElement)
	s.leases.Remove(g.leaseElement)
	g.leaseElement = s.leases.PushBack(g)
}
