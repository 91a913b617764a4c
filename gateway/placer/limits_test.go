package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
)

// limitedTarget is a target that names a limit in its answers to simulated daemons.
type limitedTarget struct {
	limit    placer.RequestLimit
	arrivals []time.Duration
}

// most returns the largest number of arrivals in a window that begins after a time.
func (t *limitedTarget) most(after, window time.Duration) int {
	most := 0
	for i, first := range t.arrivals {
		n, _ := slices.BinarySearch(t.arrivals, first+window)
		if first >= after {
			most = max(most, n-i)
		}
	}
	return most
}

// answer is an answer on its way to a daemon.
type answer struct {
	at     time.Duration
	daemon int
	id     uint64
	limit  placer.RequestLimit
}

// limitSimulation is a fleet of daemons that share one target of a plain service. They
// learn of each other by totals, as in a large fleet.
type limitSimulation struct {
	random  *rand.Rand
	daemons []*placer.Fleet
	// weights are the parts of the load that the daemons get.
	weights []float64
	sums    *grouper.Sums
	target  limitedTarget
	answers []answer
	nextID  uint64
}

func newLimitSimulation(daemons int) *limitSimulation {
	s := &limitSimulation{random: rand.New(rand.NewPCG(7, uint64(daemons))), sums: grouper.NewSums(), daemons: make([]*placer.Fleet, daemons), weights: make([]float64, daemons)}
	total := 0.0
	for i := range daemons {
		s.restart(i)
		s.weights[i] = s.random.ExpFloat64()
		total += s.weights[i]
	}
	for i := range daemons {
		s.weights[i] /= total
	}
	return s
}

// restart replaces a daemon by one that knows nothing.
func (s *limitSimulation) restart(i int) {
	f := placer.New(placer.Settings{DataCentre: "d", Policy: placer.ShortestExpectedTime, Seed: s.random.Uint64()})
	f.SetTargets([]registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 1 << 20}})
	f.SetPeers(len(s.daemons) - 1)
	s.daemons[i] = f
}

// send lets a daemon send a request if its target may get one.
func (s *limitSimulation) send(now time.Duration, daemon int) {
	f := s.daemons[daemon]
	s.nextID++
	r := placer.Request{ID: s.nextID, Service: "s"}
	f.RecordDemand(now, "s")
	c, ok := f.Choose(now, r, placer.Constraints{FirstEventBudget: time.Hour})
	if !ok || !c.Fits {
		return
	}
	f.RecordStart(now, r, c)
	s.target.arrivals = append(s.target.arrivals, now)
	s.answers = append(s.answers, answer{at: now + 50*time.Millisecond, daemon: daemon, id: r.ID, limit: s.target.limit})
}

// deliver delivers the answers that are due.
func (s *limitSimulation) deliver(now time.Duration) {
	for len(s.answers) > 0 && s.answers[0].at <= now {
		a := s.answers[0]
		s.answers = s.answers[1:]
		s.daemons[a.daemon].RecordLimit(now, "t", a.limit)
		s.daemons[a.daemon].RecordEnd(now, a.id, placer.Complete)
	}
}

// exchange lets every daemon report and sends the total to each.
func (s *limitSimulation) exchange(now time.Duration) {
	for i, f := range s.daemons {
		s.sums.Set(now, fmt.Sprint(i), 1, grouper.Report{Complete: true, Loads: f.TakeLoads(now, true)})
	}
	total := s.sums.TakeSum(now, true)
	for i, f := range s.daemons {
		f.SetPeerLoads(now, "total", s.sums.Without(fmt.Sprint(i), total).Loads, true)
	}
}

// run lets the daemons get perSecond requests per second until the end.
func (s *limitSimulation) run(from, end, interval time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	for now := from; now < end; now += step {
		s.deliver(now)
		for i, w := range s.weights {
			for expected := perSecond * w * step.Seconds(); expected > 0; expected-- {
				if s.random.Float64() < expected {
					s.send(now, i)
				}
			}
		}
		if now%interval == 0 {
			s.exchange(now)
		}
	}
}

// Load: fleets of 6 to 300 daemons, whose reports take longer the larger the fleet is,
// with three times the requests that the target takes; a third of the daemons restart.
// Guards against a target that gets more than its limit because each daemon keeps to it
// alone, because daemons learn of it only by their own answers, or because a restart
// makes them forget it; against one that gets much less; and against a limit that stays
// in force after the target has lifted it.
func TestDaemonsShareARequestLimit(t *testing.T) {
	const (
		notice, window  = 3 * time.Second, 4 * time.Second
		factor, slack   = 1.5, 5
		restart, lifted = 12 * time.Second, 24 * time.Second
	)
	for _, fleet := range []struct {
		daemons  int
		interval time.Duration
	}{{1, 100 * time.Millisecond}, {6, 100 * time.Millisecond}, {30, 350 * time.Millisecond}, {100, 400 * time.Millisecond}, {300, 600 * time.Millisecond}} {
		for _, perSecond := range []float64{1.1, 6.8, 60} {
			t.Run(fmt.Sprint(fleet.daemons, " daemons, limit ", perSecond), func(t *testing.T) {
				s := newLimitSimulation(fleet.daemons)
				s.target.limit = placer.RequestLimit{Limited: true, PerSecond: perSecond}
				s.run(0, restart, fleet.interval, 3*perSecond)
				if fleet.daemons > 1 {
					for i := range fleet.daemons / 3 {
						s.restart(i)
					}
					s.exchange(restart)
				}
				s.run(restart, lifted, fleet.interval, 3*perSecond)
				count := len(s.target.arrivals)
				most := s.target.most(notice, window)
				t.Logf("%d arrivals, at most %d in %v", count, most, window)
				if allowed := factor*perSecond*window.Seconds() + slack; float64(most) > allowed {
					t.Errorf("the target got %d requests in %v, want at most %.1f", most, window, allowed)
				}
				if least := perSecond * lifted.Seconds() / 2; float64(count) < least {
					t.Errorf("the target got %d requests, want at least half of its limit, %.1f", count, least)
				}
				s.target.limit = placer.RequestLimit{}
				s.run(lifted, lifted+2*notice, fleet.interval, 3*perSecond)
				for i, f := range s.daemons {
					if n := len(f.Limits(lifted + 2*notice)); n > 0 {
						t.Fatalf("daemon %d still keeps to the limit", i)
					}
				}
			})
		}
	}
}
