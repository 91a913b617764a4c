package scheduler

import (
	"slices"
	"strings"
)

// ApplyTotals applies the answer of an aggregator to Reports.
func (s *Scheduler) ApplyTotals(totals []Total) {
	for _, t := range totals {
		if a := s.accounts[t.Account]; a != nil {
			s.applyTotal(a, t)
		}
	}
}

// applyTotal records the total of an account and applies the service of other shards since the
// previous total.
func (s *Scheduler) applyTotal(a *account, t Total) {
	before, first := a.fleetTotal-a.includedUnits, !a.totalReceived
	a.fleetTotal, a.includedUnits, a.totalReceived = t.Total, t.IncludedUnits, true
	if a.includedUnits != a.ownUnits {
		s.markReportPending(a) // The aggregator has no report of this owner or an outdated one.
	}
	if first {
		// Service granted before the first total is not counted as debt, because the other
		// accounts may have been idle at that time.
		a.discardedCredit = 0
		return
	}
	change := a.fleetTotal - a.includedUnits - before
	s.serviceRate.remoteUnits += change
	s.applyRemoteService(a, change/a.weight)
}

// Reports returns the service of the accounts whose charges no aggregator has acknowledged,
// sorted by name. Because reports may be lost, an account is reported on every call until
// ApplyTotals receives a total that includes all its units.
func (s *Scheduler) Reports() []ServiceEntry {
	reports := make([]ServiceEntry, 0, len(s.pendingReports))
	kept := s.pendingReports[:0]
	for _, a := range s.pendingReports {
		if a.totalReceived && a.ownUnits == a.includedUnits {
			a.reportPending = false
			continue
		}
		kept = append(kept, a)
		reports = append(reports, ServiceEntry{a.name, a.ownUnits, a.includedUnits, a.fleetTotal})
	}
	clear(s.pendingReports[len(kept):])
	s.pendingReports = kept
	slices.SortFunc(reports, func(a, b ServiceEntry) int { return strings.Compare(a.Account, b.Account) })
	return reports
}
