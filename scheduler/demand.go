package scheduler

import (
	"container/heap"
	"time"
)

// SetDemand states the waiting requests of a member. An entry replaces the member's earlier
// entry for the same account; accounts that are not listed keep theirs.
func (s *Scheduler) SetDemand(now time.Duration, member string, demands []Demand) {
	s.begin(now)
	m := s.member(member)
	for _, d := range demands {
		s.setDemand(m, d)
	}
}

func (s *Scheduler) setDemand(m *member, stated Demand) {
	a := s.account(stated.Account)
	if stated.Weight > 0 {
		a.weight = stated.Weight
	}
	d := m.demands[a]
	if d == nil {
		d = &demand{member: m, account: a, position: -1}
		m.demands[a] = d
	}
	if stated.Seen > s.lastID {
		stated.Seen = 0 // The id belongs to an earlier epoch.
	}
	if stated.Seen < d.seen {
		return // The message was overtaken by a later one.
	}
	d.seen = stated.Seen
	d.waiting = max(stated.Waiting, 0)
	d.estimate = max(stated.Estimate, 0)
	d.affinity = stated.Affinity
	n := 0
	for n < len(d.unseen) && d.unseen[n] <= d.seen {
		n++
	}
	d.unseen = append(d.unseen[:0], d.unseen[n:]...)
	s.refresh(d)
}

// refresh files the demand, and its account, among those with grantable requests.
func (s *Scheduler) refresh(d *demand) {
	ready := d.member.live && d.grantable() > 0
	a := d.account
	switch {
	case ready && d.position < 0:
		d.position = len(a.ready)
		a.ready = append(a.ready, d)
	case !ready && d.position >= 0:
		last := len(a.ready) - 1
		a.ready[d.position] = a.ready[last]
		a.ready[d.position].position = d.position
		a.ready[last] = nil
		a.ready = a.ready[:last]
		d.position = -1
	}
	switch {
	case len(a.ready) > 0 && a.index < 0:
		s.lift(a)
		heap.Push(&s.active, a)
	case len(a.ready) == 0 && a.index >= 0:
		heap.Remove(&s.active, a.index)
	}
}

// lift raises an account that returns from idle to the smallest virtual time of the active
// accounts, so that idle accounts accumulate no credit.
func (s *Scheduler) lift(a *account) {
	level := s.floor
	if len(s.active) > 0 {
		level = s.active[0].virtual
	}
	a.virtual = max(a.virtual, level)
}

func (s *Scheduler) dropDemands(m *member) {
	for a, d := range m.demands {
		d.waiting = 0
		s.refresh(d)
		delete(m.demands, a)
	}
}
