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
	s.applyRemote(a, change/a.weight)
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
