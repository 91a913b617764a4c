package grouper

import (
	"cmp"
	"slices"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/sharer"
)

// maxSpills bounds the spills that wait for the next sum: as many as the engines
// of a large fleet tell in a second.
const maxSpills = 4096

// Sums adds up the reports of the daemons of a group.
type Sums struct {
	members map[string]*member
	// totals are cumulative since New, so that a member that starts again or leaves
	// does not lower them.
	totals map[string]*total
	spills []placer.Spill
}

type member struct {
	incarnation uint64
	loads       map[placer.Key]placer.Load
	totals      map[string]sharer.Total
}

type total struct {
	sharer.Total
	changed bool
}

// Report is what one member reports.
type Report struct {
	// Whole reports list all targets with work.
	Whole    bool
	Loads    []placer.Load
	Accounts []sharer.Total
	Spills   []placer.Spill
}

// NewSums returns empty sums.
func NewSums() *Sums { return &Sums{members: map[string]*member{}, totals: map[string]*total{}} }

// Set takes the report of a member. The first totals of an incarnation only set
// the base, since it is unknown when that service was given.
func (s *Sums) Set(name string, incarnation uint64, r Report) {
	m := s.members[name]
	if m != nil && incarnation < m.incarnation {
		return
	}
	first := m == nil || m.incarnation < incarnation
	if first {
		m = &member{incarnation: incarnation, loads: map[placer.Key]placer.Load{}, totals: map[string]sharer.Total{}}
		s.members[name] = m
	}
	if r.Whole {
		clear(m.loads)
	}
	for _, l := range r.Loads {
		m.loads[l.Target] = l
	}
	for _, t := range r.Accounts {
		old := m.totals[t.Account]
		m.totals[t.Account] = t
		if first {
			continue
		}
		sum := s.totals[t.Account]
		if sum == nil {
			sum = &total{Total: sharer.Total{Account: t.Account}}
			s.totals[t.Account] = sum
		}
		sum.Asked += max(t.Asked-old.Asked, 0)
		sum.Served += t.Served - old.Served
		sum.changed = true
	}
	if room := maxSpills - len(s.spills); room > 0 {
		s.spills = append(s.spills, r.Spills[:min(len(r.Spills), room)]...)
	}
}

// Remove forgets the work of a member. What it served stays in the totals.
func (s *Sums) Remove(name string) { delete(s.members, name) }

// Keep forgets the work of members that are not to be kept.
func (s *Sums) Keep(keep func(name string) bool) {
	for name := range s.members {
		if !keep(name) {
			delete(s.members, name)
		}
	}
}

// Sum returns the work of all members at each target, the totals that changed
// since the last call, or all, and the spills since the last call.
func (s *Sums) Sum(all bool) Report {
	loads := map[placer.Key]placer.Load{}
	for _, m := range s.members {
		for id, l := range m.loads {
			sum := loads[id]
			sum.Target = id
			loads[id] = sum.Add(l)
		}
	}
	r := Report{Whole: true, Spills: s.spills}
	s.spills = nil
	for _, l := range loads {
		if !l.Empty() {
			r.Loads = append(r.Loads, l)
		}
	}
	slices.SortFunc(r.Loads, func(a, b placer.Load) int { return cmp.Compare(a.Target, b.Target) })
	for _, t := range s.totals {
		if t.changed || all {
			t.changed = false
			r.Accounts = append(r.Accounts, t.Total)
		}
	}
	slices.SortFunc(r.Accounts, func(a, b sharer.Total) int { return cmp.Compare(a.Account, b.Account) })
	return r
}
