// Package scheduler orders the waiting requests of one shard of targets with virtual token
// counters and grants target slots to them. It is pure: it takes events and a clock reading
// and returns grants, and it is used from one goroutine.
package scheduler

import (
	"container/heap"
	"time"
)

// Scheduler holds the state of one owned shard.
type Scheduler struct {
	settings Settings
	targets  map[string]*target
	// order lists the targets in the caller's order, for a deterministic choice.
	order    []*target
	members  map[string]*member
	accounts map[string]*account
	active   accountHeap
	grants   map[grantKey]*grant
	lastID   uint64
	// floor is the virtual time of the account served last, the level to which an account
	// returning from idle is lifted when no other account is active.
	floor   float64
	started bool
	start   time.Duration
}

// New returns an empty Scheduler.
func New(s Settings) *Scheduler {
	return &Scheduler{
		settings: s.withDefaults(),
		targets:  map[string]*target{},
		members:  map[string]*member{},
		accounts: map[string]*account{},
		grants:   map[grantKey]*grant{},
	}
}

func (s *Scheduler) begin(now time.Duration) {
	if !s.started {
		s.started, s.start = true, now
	}
}

// SetTargets replaces the targets of the shard. A target that is no longer listed gets no
// new grant; the grants that it has remain held.
func (s *Scheduler) SetTargets(now time.Duration, targets []Target) {
	s.begin(now)
	for _, t := range s.targets {
		t.limit = 0
	}
	for _, t := range targets {
		s.target(t.ID).limit = max(t.Limit, 0)
	}
	kept := s.order[:0]
	for _, t := range s.order {
		if t.limit > 0 || t.used > 0 {
			kept = append(kept, t)
		} else {
			delete(s.targets, t.id)
		}
	}
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
// dropped; its grants stay held until they are settled or their lease ends.
func (s *Scheduler) SetMembers(now time.Duration, members []string) {
	s.begin(now)
	live := make(map[string]bool, len(members))
	for _, m := range members {
		live[m] = true
		s.member(m).live = true
	}
	for name, m := range s.members {
		if !live[name] {
			m.live = false
			s.dropDemands(m)
		}
	}
}

func (s *Scheduler) member(name string) *member {
	m := s.members[name]
	if m == nil {
		m = &member{name: name, demands: map[*account]*demand{}}
		s.members[name] = m
	}
	return m
}

func (s *Scheduler) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name, weight: 1, index: -1, virtual: s.floor}
		s.accounts[name] = a
	}
	return a
}

// charge adds units, negative for a refund, to the service of an account.
func (s *Scheduler) charge(a *account, units float64) {
	a.own += units
	s.advance(a, units/a.weight)
}

func (s *Scheduler) advance(a *account, virtual float64) {
	a.virtual += virtual
	if a.index >= 0 {
		heap.Fix(&s.active, a.index)
	}
}
