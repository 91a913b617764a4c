// Package scheduler shares the slots of one shard of targets fairly among accounts. Each account
// has a virtual time, which grows by the units that it is charged divided by its weight; a free
// slot is granted to the account with the smallest virtual time. Units charged by other shards
// are taken into account through fleet totals.
//
// The package performs no I/O: it takes events and a clock reading and returns grants. A
// Scheduler is not safe for concurrent use.
package scheduler

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

// Scheduler is the state that the owner of a shard keeps. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	targets  map[string]*target
	// targetOrder lists the targets in order of first appearance, for a deterministic choice.
	targetOrder []*target
	// usedSlots and slotLimit are sums over the targets that accept grants.
	usedSlots, slotLimit int
	members              map[string]*member
	accounts             map[string]*account
	// active holds the accounts with grantable requests.
	active accountHeap
	// activeWeight is the sum of the weights of the accounts in active.
	activeWeight float64
	grants       map[grantKey]*grant
	// leases orders the confirmed grants by the time they were last listed, oldest first;
	// firstLeases orders the others by the time they were issued.
	leases, firstLeases list.List
	endedGrants         history
	prefixTargets       prefixCache
	serviceRate         rateMeter
	// pendingReports lists the accounts whose service no aggregator has acknowledged.
	pendingReports []*account
	lastGrantID    uint64
	// lastServedVirtualTime is the largest virtual time at which an account was served. An
	// account that returns from idle starts there when no other account is active.
	lastServedVirtualTime float64
	started               bool
	start                 time.Duration
	now                   time.Duration
	lastSweep             time.Duration
}

// New returns a Scheduler without targets, members and demand.
func New(s Settings) *Scheduler {
	return &Scheduler{
		settings:      s.withDefaults(),
		targets:       map[string]*target{},
		members:       map[string]*member{},
		accounts:      map[string]*account{},
		grants:        map[grantKey]*grant{},
		endedGrants:   newHistory(historyCapacity),
		prefixTargets: newPrefixCache(prefixCapacity),
	}
}

// advanceClock sets the current time, which never goes back. The first call sets the start of
// the rebuild window.
func (s *Scheduler) advanceClock(now time.Duration) {
	if !s.started {
		s.started, s.start, s.now = true, now, now
		s.serviceRate.intervalStart = now
	}
	s.now = max(s.now, now)
	s.serviceRate.advanceClock(s.now)
}

// SetTargets replaces the targets of the shard. A target that is no longer listed gets no
// new grant; the grants that it has remain held.
func (s *Scheduler) SetTargets(now time.Duration, targets []Target) {
	s.advanceClock(now)
	for _, t := range s.targetOrder {
		t.limit = 0
	}
	for _, t := range targets {
		s.target(t.ID).limit = max(t.Limit, 0)
	}
	kept := s.targetOrder[:0]
	s.usedSlots, s.slotLimit = 0, 0
	for _, t := range s.targetOrder {
		if t.limit == 0 && t.usedSlots == 0 {
			delete(s.targets, t.id)
			continue
		}
		kept = append(kept, t)
		s.slotLimit += t.limit
		if t.limit > 0 {
			s.usedSlots += t.usedSlots
		}
	}
	clear(s.targetOrder[len(kept):])
	s.targetOrder = kept
}

// target returns the target with an ID and adds it with a limit of 0 if it is new.
func (s *Scheduler) target(id string) *target {
	t := s.targets[id]
	if t == nil {
		t = &target{id: id}
		s.targets[id] = t
		s.targetOrder = append(s.targetOrder, t)
	}
	return t
}

// SetMembers replaces the live members. The demand of a member that is no longer listed is
// dropped; its grants stay held until they are settled or their lease ends. Demand that
// arrives before its member is listed is kept and counts once the member is listed.
func (s *Scheduler) SetMembers(now time.Duration, members []string) {
	s.advanceClock(now)
	live := make(map[string]bool, len(members))
	for _, name := range members {
		live[name] = true
		if m := s.member(name); !m.live {
			m.live = true
			s.updateMemberReadiness(m)
		}
	}
	for name, m := range s.members {
		if live[name] {
			continue
		}
		m.live = false
		s.dropDemands(m)
		s.removeIfUnused(m)
	}
}

// member returns the member with a name and adds it if it is new.
func (s *Scheduler) member(name string) *member {
	m := s.members[name]
	if m == nil {
		m = &member{name: name, demands: map[*account]*demand{}, lastMessage: s.now}
		s.members[name] = m
	}
	return m
}

// receivedFrom records that a message of the member arrived and returns the member.
func (s *Scheduler) receivedFrom(name string) *member {
	m := s.member(name)
	m.lastMessage = s.now
	if m.unresponsive {
		m.unresponsive = false
		s.updateMemberReadiness(m)
	}
	return m
}

// removeInactiveMembers removes the members that are not listed and have sent nothing for the
// duration of a lease. They can exist because messages of a member may arrive shortly before it
// is listed and after it is removed.
func (s *Scheduler) removeInactiveMembers() {
	if s.now-s.lastSweep < s.settings.Lease {
		return
	}
	s.lastSweep = s.now
	for _, m := range s.members {
		if !m.live && s.now-m.lastMessage >= s.settings.Lease {
			s.dropDemands(m)
			s.removeIfUnused(m)
		}
	}
}

// removeIfUnused removes a member that has neither grants nor demand.
func (s *Scheduler) removeIfUnused(m *member) {
	if m.heldGrants == 0 && len(m.demands) == 0 {
		delete(s.members, m.name)
	}
}

// account returns the account with a name and adds it, without credit or debt, if it is new.
func (s *Scheduler) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name, weight: 1, index: -1, lastGrantable: -idleDelay}
		a.virtualTime = s.minimumVirtualTime()
		s.accounts[name] = a
	}
	return a
}

// setWeight changes the weight of an account; it ignores one that is not positive and finite.
func (s *Scheduler) setWeight(a *account, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 0) || weight == a.weight {
		return
	}
	if a.index >= 0 {
		s.activeWeight += weight - a.weight
	}
	a.weight = weight
}

// charge adds units to the service of an account. A refund is negative.
func (s *Scheduler) charge(a *account, units float64) {
	if units == 0 {
		return
	}
	a.ownUnits += units
	s.serviceRate.ownUnits += units
	s.markReportPending(a)
	s.setVirtualTime(a, a.virtualTime+units/a.weight)
}

func (s *Scheduler) setVirtualTime(a *account, virtualTime float64) {
	a.virtualTime = virtualTime
	if a.index >= 0 {
		heap.Fix(&s.active, a.index)
	}
}

// markReportPending adds the account to pendingReports.
func (s *Scheduler) markReportPending(a *account) {
	if !a.reportPending {
		a.reportPending = true
		s.pendingReports = append(s.pendingReports, a)
	}
}

// sanitizeUnits returns a cost or estimate received from another process, or 0 if it is not
// positive and finite, because a sum with it would be wrong from then on.
func sanitizeUnits(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
