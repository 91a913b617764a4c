package sharer_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/sharer"
)

const window = 4 * time.Second

// margin is the part of the configured service that accounts may exceed.
const margin = 1.25

// Guards against refusals for exceeding a share while the accounts together ask
// for less than there is.
func TestNobodyIsOverWhileAllFits(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(1000 / margin)
	s.Ask(0, "large", 3000)
	s.Ask(0, "small", 900)
	s.Serve(0, "large", 3000)
	if s.Over(0, "large", 0) {
		t.Error("the large account is over its share at 3900 of 4000")
	}
}

// Load: one account at several times its usual, the others as always. The
// others get all they ask and the flooding one the rest.
func TestFloodingAccountGetsTheRest(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(1000 / margin)
	s.Ask(0, "flood", 20000)
	s.Ask(0, "a", 500)
	s.Ask(0, "b", 700)
	if level := s.Level(0); level != 2800 {
		t.Errorf("level %v, want 4000 - 500 - 700", level)
	}
	if s.Over(0, "a", 500) || s.Over(0, "b", 700) {
		t.Error("a small account is over its share")
	}
	s.Serve(0, "flood", 2700)
	if s.Over(0, "flood", 100) || !s.Over(0, "flood", 101) {
		t.Error("the flooding account does not stop at its share")
	}
	if s.Over(window+time.Second, "flood", 101) {
		t.Error("the share does not come back after the window")
	}
}

// Guards against shares that count only what one daemon serves.
func TestServiceAtPeersCounts(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(1000 / margin)
	s.SetPeer(0, "p", 1, []sharer.Total{{Account: "flood", Asked: 1e6, Served: 1e6}}) // only the base
	if got := s.Served(0, "flood"); got != 0 {
		t.Errorf("served %v after the first report", got)
	}
	for range 2 { // repeated reports change nothing
		s.SetPeer(time.Second, "p", 1, []sharer.Total{{Account: "flood", Asked: 1e6 + 9000, Served: 1e6 + 5000}})
	}
	if got := s.Served(time.Second, "flood"); got != 5000 {
		t.Errorf("served %v, want 5000", got)
	}
	s.SetPeer(time.Second, "p", 2, []sharer.Total{{Account: "flood", Asked: 10, Served: 10}})
	s.SetPeer(time.Second, "p", 1, []sharer.Total{{Account: "flood", Asked: 2e6, Served: 2e6}})
	if got := s.Served(time.Second, "flood"); got != 5000 {
		t.Errorf("served %v after a restart of the peer and a late report", got)
	}
}

// Guards against levels that give out more than there is, or leave capacity
// unused while an account asks for more.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1e6).Draw(t, "capacity")
		asked := rapid.SliceOfN(rapid.Float64Range(0.1, 1e6), 1, 20).Draw(t, "asked")
		s := sharer.New(window)
		s.SetCapacity(capacity / margin / window.Seconds())
		total := 0.0
		for i, a := range asked {
			s.Ask(0, string(rune('a'+i)), a)
			total += a
		}
		level := s.Level(0)
		if total <= capacity*(1-1e-9) {
			if !math.IsInf(level, 1) {
				t.Fatalf("level %v although all fits", level)
			}
			return
		}
		given := 0.0
		for _, a := range asked {
			given += min(a, level)
		}
		if math.Abs(given-min(capacity, total)) > 1e-6*capacity {
			t.Fatalf("level %v gives %v of %v", level, given, capacity)
		}
	})
}

// Guards against service that stays counted, or is counted twice, as the window
// slides.
func TestWindowForgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := sharer.New(window)
		type serving struct {
			at   time.Duration
			cost float64
		}
		var all []serving
		now := time.Duration(0)
		for range 40 {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			cost := float64(rapid.IntRange(1, 100).Draw(t, "cost"))
			s.Serve(now, "a", cost)
			all = append(all, serving{now, cost})
			low, high := 0.0, 0.0
			for _, v := range all {
				if now-v.at < window-window/8 {
					low += v.cost
				}
				if now-v.at <= window {
					high += v.cost
				}
			}
			if got := s.Served(now, "a"); got < low-1e-6 || got > high+1e-6 {
				t.Fatalf("served %v, want %v to %v", got, low, high)
			}
		}
	})
}

// Load: the callers of a flooding account all reach one small host, which serves
// few of them, and those of another one reach many hosts. Guards against giving the
// second one all the spare capacity, twice as much as the first one gets.
func TestBestServedAccountIsHeldBack(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(500 / margin)
	for _, name := range []string{"drowned", "best"} {
		s.Ask(0, name, 1e6)
	}
	s.Serve(0, "drowned", 3500)
	s.Serve(0, "best", 8500)
	best, drowned := s.Standing(0, "best"), s.Standing(0, "drowned")
	if best > 0.5 || drowned < 1.5 {
		t.Errorf("standing %v of the best served account, %v of the other", best, drowned)
	}
	s.Serve(0, "best", 1e9)
	if s.Standing(0, "best") <= 0 {
		t.Error("an account gets nothing although capacity is left")
	}
}

// Load: several accounts at many times their usual. Spare capacity goes to the
// one that got least, so that none gets a multiple of another.
func TestSpareCapacityGoesToTheAccountWithLeast(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(100)
	for _, name := range []string{"a", "b", "c"} {
		s.Ask(0, name, 1e6)
	}
	s.Ask(0, "small", 10)
	s.Serve(0, "a", 1000)
	s.Serve(0, "b", 500)
	s.Serve(0, "c", 300)
	a, b, c := s.Standing(0, "a"), s.Standing(0, "b"), s.Standing(0, "c")
	if a >= b || b >= c || a >= 1 || c <= 1 {
		t.Errorf("standing %v, %v, %v", a, b, c)
	}
	if none := s.Standing(0, "new"); none > 3 {
		t.Errorf("standing %v without service", none)
	}
}
