package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoondeck.example/gateway/pacer"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

var coldBounds = placer.ColdBounds{Bounded: true, Overshoot: 1.5, Tolerance: 5}

// coldRate is the number of requests per second that a cold target of the tests takes.
const coldRate = 17.0

var coldTarget = registrar.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Incarnation: 1, Slots: 1 << 20}

// newColdFleet returns a daemon of a fleet that knows a target of a service with a limit
// for cold targets.
func newColdFleet(now time.Duration, rank, daemons int, seed uint64, cold bool) *placer.Fleet {
	f := placer.New(placer.Settings{DataCentre: "d", Policy: placer.ShortestExpectedTime, Seed: seed, Cold: coldBounds})
	f.SetConfig(resolver.New(resolver.Content{Services: []resolver.Service{{Name: "s", ColdPerSecond: coldRate, ColdStart: 20 * time.Second}}}))
	f.SetPlace(now, pacer.Place{Rank: rank, Daemons: daemons}, now+time.Hour, true)
	setCold(f, cold)
	return f
}

// setCold tells a daemon whether the target is cold by the registry.
func setCold(f *placer.Fleet, cold bool) {
	e := coldTarget
	e.Cold = cold
	f.SetTargets([]registrar.Entry{e})
}

// sendCold lets a daemon send a request if its target may get one.
func sendCold(f *placer.Fleet, now time.Duration, id uint64) bool {
	r := placer.Request{ID: id, Service: "s"}
	c, ok := f.Choose(now, r, placer.Constraints{FirstEventBudget: time.Hour})
	if !ok || !c.Fits {
		return false
	}
	f.RecordStart(now, r, c)
	f.RecordEnd(now, id, placer.Complete)
	return true
}

// Load: fleets of 6 to 300 daemons with far more requests than a cold target takes. A part
// of them is cut off from the others, which changes nothing, and half of them restart.
// Guards against a cold target that gets more than its bound in any second from the first
// moment of its cold time on, one that gets next to nothing, and a limit that stays after
// the target is warm.
func TestColdTargetsGetABoundedNumberOfRequests(t *testing.T) {
	const step, becomesCold, restart, becomesWarm = 5 * time.Millisecond, 2 * time.Second, 12 * time.Second, 22 * time.Second
	for _, daemons := range []int{6, 91, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			random := rand.New(rand.NewPCG(9, uint64(daemons)))
			fleet := make([]*placer.Fleet, daemons)
			for i := range fleet {
				fleet[i] = newColdFleet(0, i, daemons, uint64(i), false)
			}
			var sent []time.Duration
			id := uint64(0)
			for now := time.Duration(0); now < becomesWarm; now += step {
				switch now {
				case becomesCold:
					for _, f := range fleet {
						setCold(f, true)
					}
				case restart:
					for i := range daemons / 2 {
						fleet[i] = newColdFleet(now, i, daemons, uint64(i), true)
					}
				}
				for _, f := range fleet {
					id++
					if random.IntN(2) == 0 && sendCold(f, now, id) && now >= becomesCold {
						sent = append(sent, now)
					}
				}
			}
			most := 0
			for i, first := range sent {
				n, _ := slices.BinarySearch(sent, first+time.Second)
				most = max(most, n-i)
			}
			bound := coldRate*coldBounds.Overshoot + coldBounds.Tolerance
			t.Logf("%d requests, at most %d in a second, bound %.1f", len(sent), most, bound)
			if float64(most) > bound {
				t.Errorf("%d requests in a second, want at most %.1f", most, bound)
			}
			if least := coldRate * (becomesWarm - becomesCold).Seconds() * 0.8; float64(len(sent)) < least {
				t.Errorf("%d requests, want at least %.0f", len(sent), least)
			}
			for i, f := range fleet {
				setCold(f, false)
				if !sendCold(f, becomesWarm, id+uint64(i)+1) {
					t.Fatalf("daemon %d still limits the requests to a warm target", i)
				}
			}
		})
	}
}

// Guards against requests of several slots that arrive at a cold target together, because
// each waited for its connection after its slot, and against a limit of that time for
// warm targets.
func TestASlotEndsWhileItsRequestWaits(t *testing.T) {
	now := 10 * time.Second
	choose := func(f *placer.Fleet, now time.Duration) placer.Choice {
		c, _ := f.Choose(now, placer.Request{ID: 1, Service: "s"}, placer.Constraints{FirstEventBudget: time.Hour})
		return c
	}
	f := newColdFleet(now, 0, 6, 1, true)
	choose(f, now) // the slots begin
	for !choose(f, now).Fits {
		now += time.Millisecond
	}
	first := choose(f, now).SendBy
	if first <= now || first > now+time.Second {
		t.Errorf("a slot that opened at %v may be used until %v", now, first)
	}
	if later := choose(f, now+100*time.Millisecond).SendBy; later != first {
		t.Errorf("the slot may be used until %v if it is taken later, want %v", later, first)
	}
	if c := choose(newColdFleet(now, 0, 6, 1, false), now); c.SendBy != 0 {
		t.Errorf("a request to a warm target must be sent by %v", c.SendBy)
	}
}

// Guards against requests to a cold target before the size of the fleet is known, to one
// whose process has ended and may be back under the same entry, to one that a restarted
// entry no longer covers, and against limits where the configuration has none.
func TestWhenATargetCountsAsCold(t *testing.T) {
	now := 10 * time.Second
	f := newColdFleet(now, 0, 0, 1, true)
	if sendCold(f, now, 1) {
		t.Error("a request is sent although the size of the fleet is not known")
	}
	f = newColdFleet(now, 0, 300, 1, false)
	f.RecordRefusedConnection(now, "t")
	if sendCold(f, now, 2) || len(f.ColdTargets(now)) != 1 || f.ColdTargets(now)["t"].Registered {
		t.Error("the target counts as warm although its process has ended")
	}
	if !sendCold(f, now+5*time.Second, 3) {
		t.Error("the target counts as cold although the registry has had time to say so")
	}
	f = newColdFleet(now, 0, 300, 1, false)
	r := placer.Request{ID: 7, Service: "s"}
	c, _ := f.Choose(now, r, placer.Constraints{FirstEventBudget: time.Hour})
	f.RecordStart(now, r, c)
	f.RecordEnd(now, r.ID, placer.Absent)
	f.StartDueProbes(now + time.Second)
	f.RecordProbe(now+time.Second, "t", true) // the next process answers
	if sendCold(f, now+time.Second, 8) {
		t.Error("the target counts as warm although its host refused the connection of a request")
	}
	f = newColdFleet(now, 0, 300, 1, true)
	f.SetCold(map[registrar.Departure]time.Duration{{ID: "t", Incarnation: 1}: now}, false)
	if sendCold(f, now+time.Second, 4) {
		t.Error("the target counts as warm although the registry says that it is cold")
	}
	f.SetCold(nil, true)
	if !sendCold(f, now+time.Second, 5) {
		t.Error("the target counts as cold after its time has passed during an outage of the store")
	}
	f.SetConfig(resolver.New(resolver.Content{Services: []resolver.Service{{Name: "s"}}}))
	f.SetCold(nil, false)
	if !sendCold(f, now+time.Second, 6) {
		t.Error("the requests to a cold target are limited without a rate")
	}
}
