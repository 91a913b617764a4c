// Package scheduler orders the waiting requests of one shard of targets with virtual token
// counters and grants target slots to them. It is pure: it takes events and a clock reading
// and returns grants, and it is used from one goroutine.
package scheduler

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

// Scheduler holds the state of one owned shard.
type Scheduler struct {
	settings Settings
	targets  map[string]*target
	// order lists the targets in order of first appearance, for a deterministic choice.
	order []*target
	// used and limit are sums over the targets that accept grants.
	used, limit int
	members     map[string]*member
	accounts    map[string]*account
	active      accountHeap
	// activeWeight is the sum of the weights of the accounts in active.
	activeWeight float64
	grants       map[grantKey]*grant
	// leases orders the grants by the time they were last listed, oldest first.
	leases  list.List
	ended   history
	prefix  prefixes
	rate    meter
	changed []*account
	lastID  uint64
	// floor is the virtual time of the account served last, the level to which an account
	// returning from idle is lifted when no other account is active.
	floor   float64
	started bool
	start   time.Duration
	now     time.Duration
	swept   time.Duration
}

// New returns an empty Scheduler.
func New(s Settings) *Scheduler {
	return &Scheduler{
		settings: s.withDefaults(),
		targets:  map[string]*target{},
		members:  map[string]*member{},
		accounts: map[string]*account{},
		grants:   map[grantKey]*grant{},
		ended:    newHistory(historySize),
		prefix:   newPrefixes(prefixSize),
	}
}

func (s *Scheduler) tick(now time.Duration) {
	if !s.started {
		s.started, s.start, s.now = true, now, now
		s.rate.since = now
	}
	s.now = max(s.now, now)
	s.rate.tick(s.now)
}

// SetTargets replaces the targets of the shard. A target that is no longer listed gets no
// new grant; the grants that it has remain held.
func (s *Scheduler) SetTargets(now time.Duration, targets []Target) {
	s.tick(now)
	for _, t := range s.order {
		t.limit = 0
	}
	for _, t := range targets {
		s.target(t.ID).limit = max(t.Limit, 0)
	}
	kept := s.order[:0]
	s.used, s.limit = 0, 0
	for _, t := range s.order {
		if t.limit == 0 && t.used == 0 {
			delete(s.targets, t.id)
			continue
		}
		kept = append(kept, t)
		s.limit += t.limit
		if t.limit > 0 {
			s.used += t.used
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
}

func (s *Scheduler) target(id string) *target {
	t := s.targets[id]
	if t == nil {
		t = &target{id: id}
		s.targets[id] = t
		s.order = append(s.order, t)
	}
	return t
}

// SetMembers replaces the live members. The demand of a member that is no longer listed is
// dropped; its grants stay held until they are settled or their lease ends. Demand that
// arrives before its member is listed counts from then on.
func (s *Scheduler) SetMembers(now time.Duration, members []string) {
	s.tick(now)
	live := make(map[string]bool, len(members))
	for _, name := range members {
		live[name] = true
		if m := s.member(name); !m.live {
			m.live = true
			s.refreshMember(m)
		}
	}
	for name, m := range s.members {
		if live[name] {
			continue
		}
		m.live = false
		s.dropDemands(m)
		s.removeStale(m)
	}
}

func (s *Scheduler) member(name string) *member {
	m := s.members[name]
	if m == nil {
		m = &member{name: name, demands: map[*account]*demand{}, heard: s.now}
		s.members[name] = m
	}
	return m
}

// sender returns the member that sent a message.
func (s *Scheduler) sender(name string) *member {
	m := s.member(name)
	m.heard = s.now
	if m.silent {
		m.silent = false
		s.refreshMember(m)
	}
	return m
}

// sweep forgets the members that are not listed and have sent nothing for a lease. Messages
// of a member may arrive shortly before it is listed and after it is removed.
func (s *Scheduler) sweep() {
	if s.now-s.swept < s.settings.Lease {
		return
	}
	s.swept = s.now
	for _, m := range s.members {
		if !m.live && s.now-m.heard >= s.settings.Lease {
			s.dropDemands(m)
			s.removeStale(m)
		}
	}
}

func (s *Scheduler) removeStale(m *member) {
	if m.held == 0 && len(m.demands) == 0 {
		delete(s.members, m.name)
	}
}

func (s *Scheduler) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name, weight: 1, index: -1, idle: -idleGrace}
		a.virtual = s.level()
		s.accounts[name] = a
	}
	return a
}

func (s *Scheduler) setWeight(a *account, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 0) || weight == a.weight {
		return
	}
	if a.index >= 0 {
		s.activeWeight += weight - a.weight
	}
	a.weight = weight
}

// charge adds units, negative for a refund, to the service of an account.
func (s *Scheduler) charge(a *account, units float64) {
	if units == 0 {
		return
	}
	a.own += units
	s.rate.own += units
	s.markChanged(a)
	s.setVirtual(a, a.virtual+units/a.weight)
}

func (s *Scheduler) setVirtual(a *account, virtual float64) {
	a.virtual = virtual
	if a.index >= 0 {
		heap.Fix(&s.active, a.index)
	}
}

func (s *Scheduler) markChanged(a *account) {
	if !a.dirty {
		a.dirty = true
		s.changed = append(s.changed, a)
	}
}

// units makes a cost or estimate from another process safe to add up.
func units(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
