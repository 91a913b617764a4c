package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
	"monsoondeck.example/detector"
	"monsoondeck.example/router/locator"
)

// run draws one schedule of requests, ends, losses and restarts.
func (f *fleet) run(steps int, restarts bool) {
	for range steps {
		switch rapid.IntRange(0, 9).Draw(f.t, "step") {
		case 0, 1, 2:
			id := fmt.Sprintf("d%d", rapid.IntRange(0, fleetDaemons-1).Draw(f.t, "daemon"))
			f.request(id, fmt.Sprintf("a%d", rapid.IntRange(0, fleetAccounts-1).Draw(f.t, "account")))
		case 3, 4, 5:
			f.deliver(f.lossy && rapid.IntRange(0, 4).Draw(f.t, "loss") == 0)
		case 6, 7:
			f.advance(time.Duration(rapid.IntRange(1, 400).Draw(f.t, "ms")) * time.Millisecond)
		case 8:
			if len(f.permits) > 0 {
				f.finish(rapid.IntRange(0, len(f.permits)-1).Draw(f.t, "permit"))
			}
		case 9:
			if restarts && rapid.IntRange(0, 3).Draw(f.t, "restart") == 0 {
				f.restart(fmt.Sprintf("d%d", rapid.IntRange(0, fleetDaemons-1).Draw(f.t, "daemon")))
			}
		}
	}
}

// drain delivers everything and ends the requests in flight until none is left.
func (f *fleet) drain() {
	for range 400 {
		f.deliverAll()
		if len(f.permits) > 0 {
			f.finish(0)
			continue
		}
		if len(f.waiters) == 0 && len(f.transit) == 0 {
			return
		}
		f.advance(100 * time.Millisecond)
	}
	f.t.Fatalf("%d requests still wait after the faults have ended", len(f.waiters))
}

// fill asks for all slots at once and gives the fleet time to grant them.
func (f *fleet) fill() {
	for i := range 3 * targetSlots {
		f.request(fmt.Sprintf("d%d", i%fleetDaemons), "a0")
	}
	for range 5 {
		f.advance(25 * time.Millisecond)
		f.deliverAll()
	}
}

// Guards against slots that leak through lost messages or lost daemons, and
// against requests that are forgotten: after the faults end, all requests are
// granted and all slots can be used again at once.
func TestSlotsAndRequestsSurviveLossAndRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.lossy = true
		f.run(120, true)
		f.lossy = false
		f.drain()
		for range 10 { // longer than the lease of grants lost in transit
			f.advance(time.Second)
			f.deliverAll()
		}
		for range 5 { // the limits of new targets grow with completed requests
			f.fill()
			f.drain()
		}
		f.fill()
		if len(f.permits) != 3*targetSlots {
			t.Fatalf("%d of %d slots can be used at once: %v", len(f.permits), 3*targetSlots, f.inFlight())
		}
	})
}

// Guards against control traffic that grows with the square of the shards of a
// pool: the interval grows with them, and stays at its base for small pools.
func TestExchangeIntervalGrowsWithTheShardsOfAPool(t *testing.T) {
	for shards, want := range map[int]time.Duration{1: 500 * time.Millisecond, 5: 500 * time.Millisecond, 20: 2 * time.Second} {
		var targets []configurer.Target
		for i := range shards {
			targets = append(targets, configurer.Target{ID: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i), Pools: []string{"quotes"}})
		}
		self := locator.Daemon{ID: "d0", DataCentre: "dc0", Eligible: true}
		c := &Controller{options: Options{Timing: DefaultTiming()}, locator: locator.New(targets, []locator.Daemon{self}, self, locator.Fleet)}
		if got := c.exchangeInterval(c.locator.PoolShards("quotes")[0]); got != want {
			t.Errorf("%d shards: %v, want %v", shards, got, want)
		}
	}
}

// Guards against more requests at a target than it has slots, in a fleet whose
// daemons agree on the members.
func TestTargetsAreNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 30 {
			f.run(5, false)
			for target, n := range f.inFlight() {
				if n > targetSlots {
					t.Fatalf("target %s runs %d requests with %d slots", target, n, targetSlots)
				}
			}
		}
	})
}

// Load: a daemon that schedules a shard dies. Guards against a shard that idles
// until the death is certain, which takes some seconds.
func TestSuspectsOwnNoShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.deliverAll()
		suspect := rapid.IntRange(0, fleetDaemons-1).Draw(t, "suspect")
		f.members = slices.Clone(f.members)
		f.members[suspect].State = detector.Suspect
		id := f.members[suspect].ID
		f.settleDown()
		for name, n := range f.nodes {
			for key, s := range n.controller.locator.Shards() {
				if s.Owner == id {
					t.Fatalf("%s takes the suspect %s for the owner of %s", name, id, key)
				}
				if o := n.controller.owned[key]; (o != nil) != (s.Owner == name) {
					t.Fatalf("%s schedules %s: %v, owner is %s", name, key, o != nil, s.Owner)
				}
			}
		}
	})
}
