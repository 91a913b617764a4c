// Package aggregator adds up the service that the shards of a pool have granted to each
// account of one group. It is pure and is used from one goroutine.
package aggregator

import "monsoondeck.example/scheduler"

type source struct {
	shard string
	epoch uint64
}

type total struct {
	units float64
	// last holds the cumulative units last reported by each owner incarnation.
	last map[source]float64
}

// Aggregator holds the fleet totals of one account group.
type Aggregator struct {
	totals map[string]*total
}

// New returns an empty Aggregator.
func New() *Aggregator {
	return &Aggregator{totals: map[string]*total{}}
}

// Apply adds what the owner of a shard has granted since its last report and returns the
// fleet totals of the reported accounts, in the same order.
func (a *Aggregator) Apply(shard string, epoch uint64, entries []scheduler.Service) []scheduler.Total {
	from := source{shard, epoch}
	answers := make([]scheduler.Total, 0, len(entries))
	for _, e := range entries {
		t := a.totals[e.Account]
		if t == nil {
			t = &total{last: map[source]float64{}}
			a.totals[e.Account] = t
		}
		last, found := t.last[from]
		if !found {
			t.units = max(t.units, e.Known)
			last = e.Included
		}
		t.units += e.Cumulative - last
		t.last[from] = e.Cumulative
		answers = append(answers, scheduler.Total{Account: e.Account, Total: t.units, Included: e.Cumulative})
	}
	return answers
}
