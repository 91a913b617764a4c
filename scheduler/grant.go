package scheduler

import "time"

// Grants returns the grants that can be made now and removes them from the demand.
func (s *Scheduler) Grants(now time.Duration) []Grant {
	s.begin(now)
	s.expire(now)
	if s.rebuilding(now) {
		return nil
	}
	var grants []Grant
	for len(s.active) > 0 {
		t := s.freeTarget()
		if t == nil {
			break
		}
		grants = append(grants, s.grant(now, t))
	}
	return grants
}

// rebuilding reports whether holdings of live members may still be unknown.
func (s *Scheduler) rebuilding(now time.Duration) bool {
	if now-s.start >= s.settings.RebuildWindow {
		return false
	}
	for _, m := range s.members {
		if m.live && !m.reported {
			return true
		}
	}
	return len(s.members) == 0
}

// freeTarget returns the target with the smallest load that has a free slot, or nil.
func (s *Scheduler) freeTarget() *target {
	var best *target
	for _, t := range s.order {
		if t.used < t.limit && (best == nil || t.used*best.limit < best.used*t.limit) {
			best = t
		}
	}
	return best
}

func (s *Scheduler) grant(now time.Duration, t *target) Grant {
	a := s.active[0]
	s.floor = max(s.floor, a.virtual)
	if a.next >= len(a.ready) {
		a.next = 0
	}
	d := a.ready[a.next]
	a.next++
	s.lastID++
	g := &grant{
		key: grantKey{s.settings.Epoch, s.lastID}, member: d.member, account: a, target: t,
		charged: d.estimate, listed: now,
	}
	s.grants[g.key] = g
	t.used++
	d.unseen = append(d.unseen, s.lastID)
	s.charge(a, g.charged)
	s.refresh(d)
	return Grant{ID: g.key.id, Member: d.member.name, Account: a.name, Target: t.id, Estimate: g.charged}
}

// expire frees the grants that their holders have not listed within the lease.
func (s *Scheduler) expire(now time.Duration) {
	for _, g := range s.grants {
		if now-g.listed >= s.settings.Lease {
			s.release(g)
		}
	}
}

func (s *Scheduler) release(g *grant) {
	g.target.used--
	delete(s.grants, g.key)
}
