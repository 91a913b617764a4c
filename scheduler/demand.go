package scheduler

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

// idleDelay is the time without a grantable request after which an account counts as idle.
// A backlogged account may have none while its next demand is in transit, and must not lose
// its credit then. The value equals the interval at which totals are exchanged.
const idleDelay = 500 * time.Millisecond

// SetDemand updates the waiting requests of a member. An entry replaces the member's earlier
// entry for the same account; accounts that are not listed keep theirs.
func (s *Scheduler) SetDemand(now time.Duration, member string, demands []Demand) {
	s.advanceClock(now)
	m := s.receivedFrom(member)
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
	newest := stated.NewestGrantID
	if newest > s.lastGrantID {
		newest = 0 // The ID belongs to an earlier epoch.
	}
	d.waiting = max(stated.Waiting, 0)
	d.estimate = sanitizeUnits(stated.EstimatedUnits)
	d.prefixHash = stated.PrefixHash
	n := 0
	for n < len(d.unseenGrants) && d.unseenGrants[n] <= newest {
		n++
	}
	d.unseenGrants = append(d.unseenGrants[:0], d.unseenGrants[n:]...)
	s.updateReadiness(d)
	s.dropIfUnneeded(d)
}

// dropIfUnneeded drops a demand without grantable requests and held grants, so that memory use
// is proportional to the backlog.
func (s *Scheduler) dropIfUnneeded(d *demand) {
	if d.heldGrants == 0 && d.grantable() <= 0 && d.member.demands[d.account] == d {
		delete(d.member.demands, d.account)
	}
}

// updateReadiness adds the demand to the account's ready list, and the account to the active
// heap, or removes them, depending on whether they have grantable requests.
func (s *Scheduler) updateReadiness(d *demand) {
	a := d.account
	ready := d.grantable() > 0 && d.member.available()
	if ready && d.readyElement == nil {
		d.readyElement = a.ready.PushBack(d)
	} else if !ready && d.readyElement != nil {
		a.ready.Remove(d.readyElement)
		d.readyElement = nil
	}
	if a.ready.Len() > 0 && a.index < 0 {
		s.limitCredit(a)
		s.activeWeight += a.weight
		heap.Push(&s.active, a)
	} else if a.ready.Len() == 0 && a.index >= 0 {
		a.lastGrantable = s.now
		heap.Remove(&s.active, a.index)
		s.activeWeight -= a.weight
		if len(s.active) == 0 {
			s.activeWeight = 0
		}
	}
}

// updateMemberReadiness updates all demands of a member, in order of account name so that the
// result does not depend on map iteration.
func (s *Scheduler) updateMemberReadiness(m *member) {
	demands := make([]*demand, 0, len(m.demands))
	for _, d := range m.demands {
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b *demand) int { return strings.Compare(a.account.name, b.account.name) })
	for _, d := range demands {
		s.updateReadiness(d)
	}
}

// dropDemands removes all demands of a member.
func (s *Scheduler) dropDemands(m *member) {
	for a, d := range m.demands {
		d.waiting = 0
		s.updateReadiness(d)
		delete(m.demands, a)
	}
}
