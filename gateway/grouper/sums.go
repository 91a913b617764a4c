package grouper

import (
	"cmp"
	"slices"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/gateway/versioner"
)

// maxPendingSpills limits the spills that wait for the next sum: as many as the
// engines of a large fleet cause in one second.
const maxPendingSpills = 4096

// maxPendingStreams limits the streams that wait for the next sum: as many as a large fleet
// begins in a second, after a second version of its service has appeared.
const maxPendingStreams = 1 << 15

// Sums adds up the reports of the daemons of a group. It is not safe for concurrent
// use.
type Sums struct {
	// members holds the last loads and totals of each daemon by name.
	members map[string]*member
	// totals holds the sums by account. They are cumulative since NewSums, so that they
	// do not fall when a member restarts or leaves.
	totals map[string]*accountTotal
	// contributions holds the part of each daemon in totals, by name and account. It
	// stays when the daemon leaves, since totals do.
	contributions map[string]map[string]sharer.Total
	// spills holds the spills since the last sum.
	spills []placer.Spill
	// streams holds the streams since the last sum, pendingStreams their number.
	streams        []versioner.Batch
	pendingStreams int
}

// member holds what one daemon last reported.
type member struct {
	incarnation uint64
	// loads holds the last load at each target; its LimitAge is as of loadTimes.
	loads     map[placer.Key]placer.Load
	loadTimes map[placer.Key]time.Duration
	totals    map[string]sharer.Total
	// allAccounts is set after a report with all accounts: the count of an account that is
	// not in totals has begun since.
	allAccounts bool
}

// accountTotal is the sum of the totals of one account.
type accountTotal struct {
	sharer.Total
	// unreported is set if the total has changed since the last sum.
	unreported bool
}

// Report is the report of one daemon, or the sum of the reports of a group.
type Report struct {
	// Complete is set if Loads has all targets with load, and not only those whose load
	// changed.
	Complete bool
	// AllAccounts is set if Accounts has all accounts with service, and not only those whose
	// totals changed.
	AllAccounts bool
	// Loads has at most one load per target.
	Loads []placer.Load
	// Accounts has at most one total per account.
	Accounts []sharer.Total
	// Spills are those since the last report.
	Spills []placer.Spill
	// Streams are those that have begun since the last report.
	Streams []versioner.Batch
}

// NewSums returns empty sums.
func NewSums() *Sums {
	return &Sums{members: map[string]*member{}, totals: map[string]*accountTotal{}, contributions: map[string]map[string]sharer.Total{}}
}

// Set records the report of a member. The first total of an account only sets the
// baseline, since it is unknown when that service was given, unless a report of the same
// incarnation with all accounts came before.
func (s *Sums) Set(now time.Duration, name string, incarnation uint64, r Report) {
	m := s.members[name]
	if m != nil && incarnation < m.incarnation {
		return
	}
	if m == nil || m.incarnation < incarnation {
		m = &member{incarnation: incarnation, loads: map[placer.Key]placer.Load{}, loadTimes: map[placer.Key]time.Duration{}, totals: map[string]sharer.Total{}}
		s.members[name] = m
	}
	if r.Complete {
		clear(m.loads)
		clear(m.loadTimes)
	}
	for _, l := range r.Loads {
		m.loads[l.Target], m.loadTimes[l.Target] = l, now
	}
	for _, t := range r.Accounts {
		old, known := m.totals[t.Account]
		m.totals[t.Account] = t
		if !known && !m.allAccounts {
			continue
		}
		sum := s.totals[t.Account]
		if sum == nil {
			sum = &accountTotal{Total: sharer.Total{Account: t.Account}}
			s.totals[t.Account] = sum
		}
		demand, served := t.Since(old)
		sum.Demand += demand
		sum.Served += served
		sum.unreported = true
		s.contribute(name, t.Account, demand, served)
	}
	m.allAccounts = m.allAccounts || r.AllAccounts
	if room := maxPendingSpills - len(s.spills); room > 0 {
		s.spills = append(s.spills, r.Spills[:min(len(r.Spills), room)]...)
	}
	for _, b := range r.Streams {
		if s.pendingStreams < maxPendingStreams {
			s.streams = append(s.streams, b)
			s.pendingStreams += len(b.Streams)
		}
	}
}

func (s *Sums) contribute(name, account string, demand, served float64) {
	if s.contributions[name] == nil {
		s.contributions[name] = map[string]sharer.Total{}
	}
	c := s.contributions[name][account]
	s.contributions[name][account] = sharer.Total{Account: account, Demand: c.Demand + demand, Served: c.Served + served}
}

// Without returns a sum of TakeSum less the loads and totals of one member, which knows
// its own.
func (s *Sums) Without(name string, sum Report) Report {
	var own map[placer.Key]placer.Load
	if m := s.members[name]; m != nil {
		own = m.loads
	}
	r := Report{Complete: sum.Complete, AllAccounts: sum.AllAccounts, Spills: sum.Spills, Streams: sum.Streams}
	for _, l := range sum.Loads {
		if l = l.Sub(own[l.Target]); !l.Empty() {
			r.Loads = append(r.Loads, l)
		}
	}
	for _, t := range sum.Accounts {
		c := s.contributions[name][t.Account]
		r.Accounts = append(r.Accounts, sharer.Total{Account: t.Account, Demand: t.Demand - c.Demand, Served: t.Served - c.Served})
	}
	return r
}

// Remove drops the loads of a member. The service that it gave stays in the totals.
func (s *Sums) Remove(name string) { delete(s.members, name) }

// RemoveExcept removes the members for which keep returns false.
func (s *Sums) RemoveExcept(keep func(name string) bool) {
	for name := range s.members {
		if !keep(name) {
			delete(s.members, name)
		}
	}
}

// TakeSum returns the load of all members at each target, the totals that changed since
// the last call, or all of them, and the spills since the last call.
func (s *Sums) TakeSum(now time.Duration, all bool) Report {
	loads := map[placer.Key]placer.Load{}
	for _, m := range s.members {
		for id, l := range m.loads {
			sum := loads[id]
			sum.Target = id
			l.LimitAge += now - m.loadTimes[id]
			loads[id] = sum.Add(l)
		}
	}
	r := Report{Complete: true, AllAccounts: all, Spills: s.spills, Streams: versioner.Merge(s.streams)}
	s.spills, s.streams, s.pendingStreams = nil, nil, 0
	for _, l := range loads {
		if !l.Empty() {
			r.Loads = append(r.Loads, l)
		}
	}
	slices.SortFunc(r.Loads, func(a, b placer.Load) int { return cmp.Compare(a.Target, b.Target) })
	for _, t := range s.totals {
		if t.unreported || all {
			t.unreported = false
			r.Accounts = append(r.Accounts, t.Total)
		}
	}
	slices.SortFunc(r.Accounts, func(a, b sharer.Total) int { return cmp.Compare(a.Account, b.Account) })
	return r
}
