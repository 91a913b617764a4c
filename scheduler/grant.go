package scheduler

import "time"

// Grants returns the grants that can be made now and removes them from the demand. It also
// frees the slots of grants whose lease has ended.
func (s *Scheduler) Grants(now time.Duration) []Grant {
	s.tick(now)
	s.expire()
	s.sweep()
	if s.rebuilding() {
		return nil
	}
	var grants []Grant
	for len(s.active) > 0 {
		d := s.active[0].ready.Front().Value.(*demand)
		t := s.choose(d.affinity)
		if t == nil {
			break
		}
		grants = append(grants, s.grant(d, t))
	}
	return grants
}

// rebuilding reports whether holdings of live members may still be unknown.
func (s *Scheduler) rebuilding() bool {
	if s.now-s.start >= s.settings.RebuildWindow {
		return false
	}
	for _, m := range s.members {
		if m.live && !m.reported {
			return true
		}
	}
	return len(s.members) == 0
}

// grant gives a slot of t to the account with the smallest virtual time.
func (s *Scheduler) grant(d *demand, t *target) Grant {
	a := d.account
	s.floor = max(s.floor, a.virtual)
	s.lastID++
	g := &grant{
		key: grantKey{s.settings.Epoch, s.lastID}, member: d.member, account: a, target: t,
		demand: d, hint: d.estimate, estimate: d.charge(), listed: s.now,
	}
	g.charged = g.estimate
	s.hold(g)
	d.held++
	d.member.unlisted++
	d.unseen = append(d.unseen, s.lastID)
	s.prefix.put(d.affinity, t)
	d.affinity = 0 // The hint describes only the first waiting request.
	a.ready.MoveToBack(d.element)
	a.largest = max(a.largest, g.charged)
	s.charge(a, g.charged)
	if d.member.available() {
		s.refresh(d)
	} else {
		s.refreshMember(d.member)
	}
	return Grant{ID: g.key.id, Member: d.member.name, Account: a.name, Target: t.id, Estimate: g.charged}
}

// hold takes the slot of a grant.
func (s *Scheduler) hold(g *grant) {
	s.grants[g.key] = g
	g.element = s.leases.PushBack(g)
	g.member.held++
	g.account.held++
	g.account.peak = max(g.account.peak, g.account.held)
	s.occupy(g.target, 1)
}

// release frees the slot of a grant.
func (s *Scheduler) release(g *grant) {
	delete(s.grants, g.key)
	s.leases.Remove(g.element)
	g.member.held--
	g.account.held--
	s.occupy(g.target, -1)
	if d := g.demand; d != nil {
		d.held--
		s.tidy(d)
	}
}

func (s *Scheduler) occupy(t *target, slots int) {
	t.used += slots
	if t.limit > 0 {
		s.used += slots
	}
}

// confirm notes that the holder has the grant.
func (s *Scheduler) confirm(g *grant) {
	if !g.confirmed {
		g.confirmed = true
		g.member.unlisted--
		s.reached(g.member)
	}
}

// reached notes that a grant arrived at the member.
func (s *Scheduler) reached(m *member) {
	if m.lossy {
		m.lossy = false
		s.refreshMember(m)
	}
}

// expire frees the grants that their holders have not listed within the lease.
func (s *Scheduler) expire() {
	for e := s.leases.Front(); e != nil; e = s.leases.Front() {
		g := e.Value.(*grant)
		if s.now-g.listed < s.settings.Lease {
			return
		}
		if !g.confirmed {
			s.lose(g)
		}
		s.release(g)
		s.ended.put(g.key, ending{
			member: g.member.name, estimate: g.estimate, charged: g.charged,
		})
	}
}

// lose handles the end of the lease of a grant that its holder neither listed nor settled: it
// was lost in transit, so the charge is refunded. A settlement that arrives later is charged
// in full. Unless the member's demand has passed the grant, the request waits again.
func (s *Scheduler) lose(g *grant) {
	m := g.member
	m.unlisted--
	s.charge(g.account, -g.charged)
	g.charged = 0
	if d := g.demand; m.demands[g.account] == d && d.forget(g.key.id) {
		m.lossy, m.silent = true, m.heard <= g.listed
	}
	s.refreshMember(m)
}

// charge is the charge at dispatch of a request of d: the member's estimate, corrected by how
// wrong the account's estimates have been, or, without one, the mean cost of the account's
// requests, so that no account takes slots for nothing.
func (d *demand) charge() float64 {
	if d.estimate > 0 && d.account.ratio > 0 {
		return d.estimate * d.account.ratio
	}
	if d.estimate > 0 {
		return d.estimate
	}
	if d.account.mean > 0 {
		return d.account.mean
	}
	return 1
}

// touch extends the lease of a grant.
func (s *Scheduler) touch(g *grant) {
	g.listed = s.now
	s.leases.MoveToBack(g.element)
}
