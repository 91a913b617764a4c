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

// startEngineOrders starts a driver that orders the engines owned by this daemon to
// load the models that the configuration names, and returns a function that stops
// it. It starts none for the policies under which every daemon schedules every
// target, because no daemon owns an engine then.
func (d *Daemon) startEngineOrders(incarnation uint64, clock func() time.Duration) func() {
	policy := locator.Policy(d.settings.Policy)
	if !d.settings.EngineOrders || policy == locator.Independent || policy == locator.Static {
		return func() {}
	}
	_, stop := driver.New(driver.Options{
		Settings: orderer.Settings{
			Owner:          d.settings.ID + "/" + strconv.FormatUint(incarnation, 10),
			LoadsPerSecond: d.settings.WeightLoads,
		},
		Table:  provider.NewTable(provider.Options{URL: d.settings.TableURL}),
		Source: &ownership{daemonID: d.settings.ID, snapshot: d.controller.Snapshot},
		Clock:  clock,
	})
	return stop
}

// ownership derives from the controller's snapshots which engines this daemon owns.
type ownership struct {
	daemonID string
	snapshot func() *controller.Snapshot
	// assignment is the assignment from which the fields below were computed.
	assignment *locator.Map
	// targets lists the engines in the shards of this daemon.
	targets []configurer.Target
	// owners and rank are the fields Owners and Rank of orderer.Ownership.
	owners, rank int
}

// Ownership implements driver.OwnershipSource.
func (o *ownership) Ownership() orderer.Ownership {
	snapshot := o.snapshot()
	if snapshot.Assignment != o.assignment {
		o.setAssignment(snapshot.Assignment)
	}
	owned := orderer.Ownership{RenewedAt: snapshot.Time, Owners: o.owners, Rank: o.rank}
	for _, t := range o.targets {
		if !snapshot.Draining(t) {
			owned.Targets = append(owned.Targets, orderer.Target{ID: t.ID, Address: t.Address, Models: t.Pools})
		}
	}
	return owned
}

// setAssignment recomputes the engines of this daemon and its rank among the owners
// of engines.
func (o *ownership) setAssignment(m *locator.Map) {
	o.assignment, o.targets = m, nil
	var owners []string
	for _, shard := range m.Shards() {
		for _, t := range shard.Targets {
			if t.Kind != configurer.KindEngine {
				continue
			}
			owners = append(owners, shard.Owner)
			if shard.Owner == o.daemonID {
				o.targets = append(o.targets, t)
			}
		}
	}
	slices.Sort(owners)
	owners = slices.Compact(owners)
	o.rank, _ = slices.BinarySearch(owners, o.daemonID)
	o.owners = len(owners)
}
