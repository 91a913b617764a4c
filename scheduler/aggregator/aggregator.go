// Package aggregator adds up the service that the shards of a pool have granted to each
// account of one group. It is pure and is used from one goroutine.
package aggregator

import (
	"slices"

	"monsoondeck.example/scheduler"
)

// keptEpochs is the number of owner incarnations remembered per shard. Two may report at the
// same time in a partition; the others cover late messages of earlier ones.
const keptEpochs = 4

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
	// epochs lists the remembered incarnations of each shard, the latest to report last.
	epochs map[string][]uint64
}

// New returns an empty Aggregator.
func New() *Aggregator {
	return &Aggregator{totals: map[string]*total{}, epochs: map[string][]uint64{}}
}

// Apply adds what the owner of a shard has granted since its last report and returns the
// fleet totals of the reported accounts, in the same order. Lost and repeated reports are
// harmless. A report that was overtaken lowers a total until the owner, which sees from
// Included that its newest report is not the last one applied, reports again.
func (a *Aggregator) Apply(shard string, epoch uint64, entries []scheduler.Service) []scheduler.Total {
	a.remember(shard, epoch)
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
			// Either side may have been without the other for some time, so the larger
			// total is the more complete one.
			t.units = max(t.units, e.Known)
			last = e.Included
		}
		t.units += e.Cumulative - last
		t.last[from] = e.Cumulative
		answers = append(answers, scheduler.Total{Account: e.Account, Total: t.units, Included: e.Cumulative})
	}
	return answers
}

// remember moves an incarnation to the end of its shard's list and forgets the first when
// there are too many.
func (a *Aggregator) remember(shard string, epoch uint64) {
	epochs := a.epochs[shard]
	if n := len(epochs); n > 0 && epochs[n-1] == epoch {
		return
	}
	epochs = slices.DeleteFunc(epochs, func(e uint64) bool { return e == epoch })
	epochs = append(epochs, epoch)
	if len(epochs) > keptEpochs {
		for _, t := range a.totals {
			delete(t.last, source{shard, epochs[0]})
		}
		epochs = slices.Delete(epochs, 0, 1)
	}
	a.epochs[shard] = epochs
}
