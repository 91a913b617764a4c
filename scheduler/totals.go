package scheduler

import (
	"slices"
	"strings"
)

// ApplyTotals takes the answer of an aggregator to Reports.
func (s *Scheduler) ApplyTotals(totals []Total) {
	for _, t := range totals {
		if a := s.accounts[t.Account]; a != nil {
			s.applyTotal(a, t)
		}
	}
}

func (s *Scheduler) applyTotal(a *account, t Total) {
	before, first := a.known-a.included, !a.synced
	granted := t.Included - a.included
	a.known, a.included, a.synced = t.Total, t.Included, true
	if a.included != a.own {
		s.markChanged(a) // The aggregator has no or an outdated report.
	}
	if first {
		// Service from before this owner knew the account is no debt: it may stem from a
		// time in which the other accounts were idle.
		a.lifted = 0
		return
	}
	change := a.known - a.included - before
	s.rate.remote += change
	a.recentOwn = recentKept*a.recentOwn + granted
	a.recentRemote = recentKept*a.recentRemote + change
	s.applyRemote(a, (change-a.predicted)/a.weight)
	a.predicted = 0
}

// recentKept is the part of earlier service in the ratio of remote to own service.
const recentKept = 0.8

// remoteRatio predicts the units that other shards grant to the account for each unit
// granted here. Without the prediction, all shards make up the whole of a difference at the
// same time and turn it into the opposite one.
func (a *account) remoteRatio() float64 {
	if a.recentOwn <= 0 || a.recentRemote <= 0 {
		return 0
	}
	return min(a.recentRemote/a.recentOwn, maximumShards)
}

// Reports returns, sorted by name, the accounts whose service changed since the last call.
// An account is reported again until an aggregator has acknowledged its service, because
// reports may be lost.
func (s *Scheduler) Reports() []Service {
	reports := make([]Service, 0, len(s.changed))
	kept := s.changed[:0]
	for _, a := range s.changed {
		if a.synced && a.own == a.included {
			a.dirty = false
			continue
		}
		kept = append(kept, a)
		reports = append(reports, Service{a.name, a.own, a.included, a.known})
	}
	clear(s.changed[len(kept):])
	s.changed = kept
	slices.SortFunc(reports, func(a, b Service) int { return strings.Compare(a.Account, b.Account) })
	return reports
}
