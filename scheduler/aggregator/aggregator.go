// Package aggregator adds up the service that the shards of a pool have granted to each
// account of one group of accounts. It performs no I/O.
package aggregator

import (
	"slices"

	"monsoondeck.example/scheduler"
)

// maximumEpochs is the number of owner incarnations remembered per shard. Two may report at the
// same time during a partition; the others cover delayed messages of earlier ones.
const maximumEpochs = 4

// ownerIncarnation identifies one incarnation of the owner of a shard.
type ownerIncarnation struct {
	shard string
	epoch uint64
}

// accountTotal is the fleet total of one account.
type accountTotal struct {
	units float64
	// lastReported holds the cumulative units last reported by each owner incarnation.
	lastReported map[ownerIncarnation]float64
}

// Aggregator holds the fleet totals of one group of accounts. It is not safe for concurrent use.
type Aggregator struct {
	totals map[string]*accountTotal
	// epochs lists the remembered owner epochs of each shard in order of their latest report.
	epochs map[string][]uint64
}

// New returns an Aggregator without totals.
func New() *Aggregator {
	return &Aggregator{totals: map[string]*accountTotal{}, epochs: map[string][]uint64{}}
}

// Apply adds the service that the owner of a shard has granted since its last report and returns
// the fleet totals of the reported accounts, in the same order. Lost and repeated reports do not
// change the result. A report that arrives after a newer one can make a total wrong until the
// owner, which sees from IncludedUnits that its newest report was not the last one applied, reports
// again.
func (a *Aggregator) Apply(shard string, epoch uint64, entries []scheduler.ServiceEntry) []scheduler.Total {
	a.remember(shard, epoch)
	incarnation := ownerIncarnation{shard, epoch}
	answers := make([]scheduler.Total, 0, len(entries))
	for _, e := range entries {
		t := a.totals[e.Account]
		if t == nil {
			t = &accountTotal{lastReported: map[ownerIncarnation]float64{}}
			a.totals[e.Account] = t
		}
		last, found := t.lastReported[incarnation]
		if !found {
			// The aggregator and the owner may have been disconnected for some time, so the
			// larger total is the more complete one.
			t.units = max(t.units, e.KnownTotal)
			last = e.IncludedUnits
		}
		t.units += e.CumulativeUnits - last
		t.lastReported[incarnation] = e.CumulativeUnits
		answers = append(answers, scheduler.Total{Account: e.Account, Total: t.units, IncludedUnits: e.CumulativeUnits})
	}
	return answers
}

// remember moves an epoch to the end of its shard's list and drops the one that reported least
// recently when there are more than maximumEpochs.
func (a *Aggregator) remember(shard string, epoch uint64) {
	epochs := a.epochs[shard]
	if n := len(epochs); n > 0 && epochs[n-1] == epoch {
		return
	}
	epochs = slices.DeleteFunc(epochs, func(e uint64) bool { return e == epoch })
	epochs = append(epochs, epoch)
	if len(epochs) > maximumEpochs {
		for _, t := range a.totals {
			delete(t.lastReported, ownerIncarnation{shard, epochs[0]})
		}
		epochs = slices.Delete(epochs, 0, 1)
	}
	a.epochs[shard] = epochs
}
