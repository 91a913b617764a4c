package router

import (
	"slices"
	"strconv"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/orderer"
	"monsoondeck.example/orderer/driver"
	"monsoondeck.example/provider"
	"monsoondeck.example/router/controller"
	"monsoondeck.example/router/locator"
)

// startOrders starts the orders to engines. They are off for the policies under
// which every daemon schedules every target, because nobody owns an engine then.
func (d *Daemon) startOrders(incarnation uint64, clock func() time.Duration) func() {
	policy := locator.Policy(d.settings.Policy)
	if !d.settings.EngineOrders || policy == locator.Alone || policy == locator.Static {
		return func() {}
	}
	_, stop := driver.New(driver.Options{
		Settings: orderer.Settings{
			Owner:          d.settings.ID + "/" + strconv.FormatUint(incarnation, 10),
			LoadsPerSecond: d.settings.WeightLoads,
		},
		Table:  provider.NewTable(provider.Options{URL: d.settings.TableURL}),
		Source: &ownership{self: d.settings.ID, snapshot: d.controller.Snapshot},
		Clock:  clock,
	})
	return stop
}

// ownership derives the owned engines from the controller's snapshots.
type ownership struct {
	self     string
	snapshot func() *controller.Snapshot
	// assignment is the one that the fields below were computed from.
	assignment   *locator.Map
	targets      []configurer.Target
	owners, rank int
}

// Ownership implements driver.Source.
func (o *ownership) Ownership() orderer.Ownership {
	s := o.snapshot()
	if s.Assignment != o.assignment {
		o.assign(s.Assignment)
	}
	w := orderer.Ownership{Renewed: s.Time, Owners: o.owners, Rank: o.rank}
	for _, t := range o.targets {
		if !s.Draining(t) {
			w.Targets = append(w.Targets, orderer.Target{ID: t.ID, Address: t.Address, Models: t.Pools})
		}
	}
	return w
}

// assign finds the engines of this daemon and its place among the owners of
// engines.
func (o *ownership) assign(m *locator.Map) {
	o.assignment, o.targets = m, nil
	var owners []string
	for _, s := range m.Shards() {
		for _, t := range s.Targets {
			if t.Kind != configurer.KindEngine {
				continue
			}
			owners = append(owners, s.Owner)
			if s.Owner == o.self {
				o.targets = append(o.targets, t)
			}
		}
	}
	slices.Sort(owners)
	owners = slices.Compact(owners)
	o.rank, _ = slices.BinarySearch(owners, o.self)
	o.owners = len(owners)
}
