package scheduler

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

// idleGrace is the time without a grantable request after which an account counts as idle.
// A backlogged account has none for a moment while its next demand is in transit, and must
// not lose credit then. The value is the exchange interval.
const idleGrace = 500 * time.Millisecond

// SetDemand states the waiting requests of a member. An entry replaces the member's earlier
// entry for the same account; accounts that are not listed keep theirs.
func (s *Scheduler) SetDemand(now time.Duration, member string, demands []Demand) {
	s.tick(now)
	m := s.sender(member)
	for _, d := range demands {
		s.setDemand(m, d)
	}
}

func (s *Scheduler) setDemand(m *member, stated Demand) {
	a := s.account(stated.Account)
	s.setWeight(a, stated.Weight)
	d := m.demands[a]
	if d == nil {
		d = &demand{member: m, account: a}
		m.demands[a] = d
	}
	seen := stated.Seen
	if seen > s.lastID {
		seen = 0 // The id belongs to an earlier epoch.
	}
	d.waiting = max(stated.Waiting, 0)
	d.estimate = units(stated.Estimate)
	d.affinity = stated.Affinity
	n := 0
	for n < len(d.unseen) && d.unseen[n] <= seen {
		n++
	}
	d.unseen = append(d.unseen[:0], d.unseen[n:]...)
	s.refresh(d)
	s.tidy(d)
}

// tidy drops a demand that no waiting request and no held grant needs, so that memory
// follows the backlog.
func (s *Scheduler) tidy(d *demand) {
	if d.held == 0 && d.grantable() <= 0 && d.member.demands[d.account] == d {
		delete(d.member.demands, d.account)
	}
}

// refresh files the demand, and its account, among those with grantable requests.
func (s *Scheduler) refresh(d *demand) {
	a := d.account
	ready := d.grantable() > 0 && d.member.available()
	if ready && d.element == nil {
		d.element = a.ready.PushBack(d)
	} else if !ready && d.element != nil {
		a.ready.Remove(d.element)
		d.element = nil
	}
	if a.ready.Len() > 0 && a.index < 0 {
		s.lift(a)
		s.activeWeight += a.weight
		heap.Push(&s.active, a)
	} else if a.ready.Len() == 0 && a.index >= 0 {
		a.idle = s.now
		heap.Remove(&s.active, a.index)
		s.activeWeight -= a.weight
		if len(s.active) == 0 {
			s.activeWeight = 0
		}
	}
}

func (s *Scheduler) refreshMember(m *member) {
	demands := make([]*demand, 0, len(m.demands))
	for _, d := range m.demands {
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b *demand) int { return strings.Compare(a.account.name, b.account.name) })
	for _, d := range demands {
		s.refresh(d)
	}
}

func (s *Scheduler) dropDemands(m *member) {
	for a, d := range m.demands {
		d.waiting = 0
		s.refresh(d)
		delete(m.demands, a)
	}
}
