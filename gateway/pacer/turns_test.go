package pacer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoondeck.example/gateway/pacer"
)

// turnsFleet is a fleet of daemons that send to one cold target.
type turnsFleet struct {
	random *rand.Rand
	bound  pacer.Bound
	turns  []*pacer.Turns
	places []pacer.Place
	// clocks holds by how much the common clock of each daemon is wrong.
	clocks []time.Duration
	sent   []time.Duration
}

// newTurnsFleet returns a fleet whose daemons differ in what they know: each misses some
// of the others, and its clock is wrong by up to clockError.
func newTurnsFleet(daemons int, b pacer.Bound, clockError time.Duration, missed float64) *turnsFleet {
	f := &turnsFleet{random: rand.New(rand.NewPCG(3, uint64(daemons))), bound: b}
	for i := range daemons {
		place := pacer.Place{Rank: i, Daemons: daemons}
		for j := range daemons {
			if j != i && f.random.Float64() < missed {
				place.Daemons--
				if j < i {
					place.Rank--
				}
			}
		}
		f.turns, f.places = append(f.turns, &pacer.Turns{}), append(f.places, place)
		f.clocks = append(f.clocks, time.Duration((2*f.random.Float64()-1)*float64(clockError)))
	}
	return f
}

// send lets a daemon send as many requests as it may.
func (f *turnsFleet) send(now time.Duration, daemon, wanted int) {
	turns, common := f.turns[daemon], now+f.clocks[daemon]
	for ; wanted > 0; wanted-- {
		turns.Set(common, f.bound, f.places[daemon], 77)
		if turns.Wait(common) > 0 {
			return
		}
		turns.Use(common)
		f.sent = append(f.sent, now)
	}
}

// most returns the largest number of requests in any second.
func (f *turnsFleet) most() int {
	slices.Sort(f.sent)
	most := 0
	for i, first := range f.sent {
		n, _ := slices.BinarySearch(f.sent, first+time.Second)
		most = max(most, n-i)
	}
	return most
}

// Load: fleets of 1 to 300 daemons with more demand than a cold target can take, that
// comes evenly, in bursts or at a part of the daemons only. The clocks of the daemons
// differ, each misses some of the others, and half of them restart every second, so
// that they forget which slots they have used. A partition changes nothing, since the
// daemons do not need to hear from each other. Guards against a cold target that gets
// more than its bound in any second, and against one that gets nearly nothing.
func TestTurnsKeepToTheBound(t *testing.T) {
	const step, end = 5 * time.Millisecond, 40 * time.Second
	for _, daemons := range []int{1, 6, 91, 300} {
		for _, b := range []pacer.Bound{{PerSecond: 17, Overshoot: 1.5, Tolerance: 5}, {PerSecond: 7.8, Overshoot: 1.5, Tolerance: 5}, {PerSecond: 60, Overshoot: 1.2, Tolerance: 0}} {
			for _, demand := range []string{"even", "bursts", "half", "restarts"} {
				t.Run(fmt.Sprint(daemons, " daemons, ", b.PerSecond, " per second, ", demand), func(t *testing.T) {
					missed := 0.02
					f := newTurnsFleet(daemons, b, 50*time.Millisecond, missed)
					for now := 100 * time.Second; now < 100*time.Second+end; now += step {
						if demand == "restarts" && now%time.Second == 0 {
							for i := range daemons {
								if f.random.IntN(2) == 0 {
									f.turns[i] = &pacer.Turns{}
								}
							}
						}
						if demand == "bursts" && now/time.Second%3 > 0 {
							continue // one burst of a second, then silence
						}
						for i := range daemons {
							if demand != "half" || i%2 == 0 {
								f.send(now, i, 100)
							}
						}
					}
					most := f.most()
					t.Logf("at most %d requests in a second, bound %.1f; %.1f per second", most, b.Requests(), float64(len(f.sent))/end.Seconds())
					if float64(most) > b.Requests() {
						t.Errorf("%d requests in a second, want at most %.1f", most, b.Requests())
					}
					if least := b.PerSecond * end.Seconds() / 2; demand == "even" && float64(len(f.sent)) < least {
						t.Errorf("%d requests, want at least %.0f", len(f.sent), least)
					}
				})
			}
		}
	}
}

// Guards against a daemon that starts with an open slot or saves slots while it has no
// requests: hundreds of them would send at once.
func TestTurnsAreNotSaved(t *testing.T) {
	const daemons = 300
	f := newTurnsFleet(daemons, pacer.Bound{PerSecond: 17, Overshoot: 1.5, Tolerance: 5}, 0, 0)
	for i := range daemons {
		f.turns[i].Set(time.Hour, f.bound, f.places[i], 77)
	}
	for i := range daemons {
		f.send(time.Hour, i, 100)
	}
	if len(f.sent) > 1 {
		t.Errorf("%d requests at the start", len(f.sent))
	}
	f.sent = nil
	for i := range daemons {
		f.send(2*time.Hour, i, 100)
	}
	if float64(len(f.sent)) > f.bound.Requests() {
		t.Errorf("%d requests at once after an hour", len(f.sent))
	}
}

// Guards against a common clock that is set back and stops all requests to a cold target,
// and against a bound below one request, which no request keeps.
func TestTurnsOfOddClocksAndBounds(t *testing.T) {
	b := pacer.Bound{PerSecond: 10, Overshoot: 1.5, Tolerance: 5}
	turns := &pacer.Turns{}
	turns.Set(time.Hour, b, pacer.Place{Daemons: 1}, 0)
	if wait := turns.Wait(time.Minute); wait > time.Second {
		t.Errorf("wait %v after the clock was set back", wait)
	}
	turns.Set(0, pacer.Bound{PerSecond: 0.5, Overshoot: 1.5}, pacer.Place{Daemons: 1}, 0)
	if turns.Wait(time.Hour) == 0 {
		t.Error("a request may be sent although it would exceed the bound")
	}
	turns.Set(0, b, pacer.Place{}, 0)
	if turns.Wait(time.Hour) == 0 {
		t.Error("a request may be sent although the size of the fleet is not known")
	}
}

// grow sets what the daemons know of a fleet in which a third of the daemons join within
// 10 s. Each learns of each of them after up to five seconds, which delay holds.
func (f *turnsFleet) grow(since time.Duration, delay [][]time.Duration) (joined int) {
	daemons := len(f.turns)
	joins := func(i int) time.Duration {
		if i%3 > 0 {
			return -time.Hour
		}
		return time.Duration(i) * 10 * time.Second / time.Duration(daemons)
	}
	for i := range daemons {
		f.places[i] = pacer.Place{}
		if joins(i) > since {
			continue
		}
		joined++
		f.places[i].Daemons = 1
		for j := range daemons {
			// A daemon that joins reads the list of those that have joined before.
			if j != i && joins(j) <= since && (joins(j) <= joins(i) || joins(j)+delay[i][j] <= since) {
				f.places[i].Daemons++
				if j < i {
					f.places[i].Rank++
				}
			}
		}
	}
	return joined
}

// Load: fleets that grow by half while a target is cold. Guards against daemons whose
// places change again and again, at different times, and who together send more than the
// bound because of that.
func TestTurnsOfAGrowingFleet(t *testing.T) {
	const step, end = 5 * time.Millisecond, 20 * time.Second
	for _, daemons := range []int{6, 91, 300} {
		for _, b := range []pacer.Bound{{PerSecond: 17, Overshoot: 1.5, Tolerance: 5}, {PerSecond: 7.8, Overshoot: 1.5, Tolerance: 5}} {
			t.Run(fmt.Sprint(daemons, " daemons, ", b.PerSecond, " per second"), func(t *testing.T) {
				f := newTurnsFleet(daemons, b, 50*time.Millisecond, 0)
				delay := make([][]time.Duration, daemons)
				for i := range delay {
					delay[i] = make([]time.Duration, daemons)
					for j := range delay[i] {
						delay[i][j] = time.Duration(f.random.Int64N(int64(5 * time.Second)))
					}
				}
				joined := 0
				for since := time.Duration(0); since < end; since += step {
					if since%(200*time.Millisecond) == 0 {
						joined = f.grow(since, delay)
					}
					for i := range daemons {
						f.send(100*time.Second+since, i, 100)
					}
				}
				most := f.most()
				t.Logf("%d daemons in the end, at most %d requests in a second, bound %.1f; %.1f per second", joined, most, b.Requests(), float64(len(f.sent))/end.Seconds())
				if float64(most) > b.Requests() {
					t.Errorf("%d requests in a second, want at most %.1f", most, b.Requests())
				}
				if least := b.PerSecond * end.Seconds() / 2; float64(len(f.sent)) < least {
					t.Errorf("%d requests, want at least %.0f", len(f.sent), least)
				}
			})
		}
	}
}
