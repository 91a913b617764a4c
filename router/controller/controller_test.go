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

// runRandomSteps executes a random sequence of requests, deliveries, pauses, ends of
// requests and, if allowed, restarts.
func (f *fleet) runRandomSteps(steps int, restarts bool) {
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

// finishAll delivers all frames and ends all requests. It fails the test if requests
// still wait after many rounds.
func (f *fleet) finishAll() {
	for range 400 {
		f.deliverAll()
		if len(f.permits) > 0 {
			f.finish(0)
			continue
		}
		if len(f.waiters) == 0 && len(f.inTransit) == 0 {
			return
		}
		f.advance(100 * time.Millisecond)
	}
	f.t.Fatalf("%d requests still wait after the faults have ended", len(f.waiters))
}

// requestAllSlots sends as many requests as there are slots and gives the fleet time
// to grant them.
func (f *fleet) requestAllSlots() {
	for i := range 3 * targetSlots {
		f.request(fmt.Sprintf("d%d", i%fleetDaemons), "a0")
	}
	for range 5 {
		f.advance(25 * time.Millisecond)
		f.deliverAll()
	}
}

// Guards against slots and requests that are lost with a message or a daemon: after
// the faults have ended, all requests get a grant and all slots can be used at the
// same time again.
func TestSlotsAndRequestsSurviveLossAndRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.lossy = true
		f.runRandomSteps(120, true)
		f.lossy = false
		f.finishAll()
		for range 10 { // longer than the lease of grants lost in transit
			f.advance(time.Second)
			f.deliverAll()
		}
		for range 5 { // the limits of new targets grow with completed requests
			f.requestAllSlots()
			f.finishAll()
		}
		f.requestAllSlots()
		if len(f.permits) != 3*targetSlots {
			t.Fatalf("%d of %d slots can be used at once: %v", len(f.permits), 3*targetSlots, f.inFlight())
		}
	})
}

// Guards against control traffic that grows with the square of the number of shards
// of a pool: the report interval must grow with that number, and keep its minimum for
// small pools.
func TestReportIntervalGrowsWithTheShardsOfAPool(t *testing.T) {
	for shards, want := range map[int]time.Duration{1: 500 * time.Millisecond, 5: 500 * time.Millisecond, 20: 2 * time.Second} {
		var targets []configurer.Target
		for i := range shards {
			targets = append(targets, configurer.Target{ID: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i), Pools: []string{"quotes"}})
		}
		self := locator.Daemon{ID: "d0", DataCentre: "dc0", Eligible: true}
		c := &Controller{options: Options{Timing: DefaultTiming()}, assignment: locator.New(targets, []locator.Daemon{self}, self, locator.Fleet)}
		if got := c.reportInterval(c.assignment.PoolShards("quotes")[0]); got != want {
			t.Errorf("%d shards: %v, want %v", shards, got, want)
		}
	}
}

// Guards against more requests at a target than it has slots while all daemons agree
// on the members.
func TestTargetsAreNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 30 {
			f.runRandomSteps(5, false)
			for target, n := range f.inFlight() {
				if n > targetSlots {
					t.Fatalf("target %s runs %d requests with %d slots", target, n, targetSlots)
				}
			}
		}
	})
}

// Guards against a shard that idles after its owner has died, until the membership
// removes the owner, which takes some seconds. A suspected daemon must own no shard.
func TestSuspectsOwnNoShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.deliverAll()
		suspect := rapid.IntRange(0, fleetDaemons-1).Draw(t, "suspect")
		f.members = slices.Clone(f.members)
		f.members[suspect].State = detector.Suspect
		id := f.members[suspect].ID
		f.processAll()
		for name, n := range f.nodes {
			for key, s := range n.controller.assignment.Shards() {
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
