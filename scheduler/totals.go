package scheduler

import "sort"

// ApplyTotals takes the answer of an aggregator to Reports.
func (s *Scheduler) ApplyTotals(totals []Total) {
	for _, t := range totals {
		a := s.accounts[t.Account]
		if a == nil {
			continue
		}
		before := a.known - a.included
		a.known, a.included = t.Total, t.Included
		s.advance(a, (a.known-a.included-before)/a.weight)
	}
}

// Reports returns the accounts whose service changed since the last call, sorted by name.
func (s *Scheduler) Reports() []Service {
	var reports []Service
	for _, a := range s.accounts {
		if a.own != a.reported {
			a.reported = a.own
			reports = append(reports, Service{a.name, a.own, a.included, a.known})
		}
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Account < reports[j].Account })
	return reports
}
