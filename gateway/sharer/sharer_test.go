package sharer_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/sharer"
)

const window = 4 * time.Second

// capacityMargin is the factor by which sharer raises the capacity.
const capacityMargin = 1.25

// Guards against refusing requests over a share while the accounts together ask for
// less than the capacity.
func TestNoAccountIsOverShareBelowCapacity(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(1000 / capacityMargin)
	s.RecordDemand(0, "large", 3000)
	s.RecordDemand(0, "small", 900)
	s.RecordService(0, "large", 3000)
	if s.OverShare(0, "large", 0) {
		t.Error("the large account is over its share although 3900 of 4000 tokens are asked for")
	}
}

// Load: one account at several times its usual demand, the others as usual. The
// others must get all they ask for and the flooding account the rest.
func TestFloodingAccountGetsOnlyUnusedCapacity(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(1000 / capacityMargin)
	s.RecordDemand(0, "flood", 20000)
	s.RecordDemand(0, "a", 500)
	s.RecordDemand(0, "b", 700)
	if level := s.FairShare(0); level != 2800 {
		t.Errorf("level %v, want 4000 - 500 - 700", level)
	}
	if s.OverShare(0, "a", 500) || s.OverShare(0, "b", 700) {
		t.Error("a small account is over its share")
	}
	s.RecordService(0, "flood", 2700)
	if s.OverShare(0, "flood", 100) || !s.OverShare(0, "flood", 101) {
		t.Error("the flooding account is not limited to a share of 2800")
	}
	if s.OverShare(window+time.Second, "flood", 101) {
		t.Error("the account is still over its share after its service has left the window")
	}
}

// Guards against shares that count only the service of one daemon.
func TestServiceAtPeersCounts(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(1000 / capacityMargin)
	s.SetPeer(0, "p", 1, []sharer.Total{{Account: "flood", Demand: 1e6, Served: 1e6}}, false) // only sets the baseline
	if got := s.Served(0, "flood"); got != 0 {
		t.Errorf("served %v after the first report, want 0", got)
	}
	for range 2 { // repeated reports change nothing
		s.SetPeer(time.Second, "p", 1, []sharer.Total{{Account: "flood", Demand: 1e6 + 9000, Served: 1e6 + 5000}}, false)
	}
	if got := s.Served(time.Second, "flood"); got != 5000 {
		t.Errorf("served %v, want 5000", got)
	}
	s.SetPeer(time.Second, "p", 2, []sharer.Total{{Account: "flood", Demand: 10, Served: 10}}, false)
	s.SetPeer(time.Second, "p", 1, []sharer.Total{{Account: "flood", Demand: 2e6, Served: 2e6}}, false)
	if got := s.Served(time.Second, "flood"); got != 5000 {
		t.Errorf("served %v after a restart of the peer and a late report, want 5000", got)
	}
}

// Guards against FAIR: a relay that begins to count anew, without a restart, takes back
// service of the window, so that the best-served account counts as within its share.
func TestTotalsThatBeginAnewTakeNothingBack(t *testing.T) {
	s := sharer.New(window)
	s.SetPeer(0, "p", 1, []sharer.Total{{Account: "a", Demand: 1e6, Served: 1e6}}, false)
	s.SetPeer(0, "p", 1, []sharer.Total{{Account: "a", Demand: 1e6 + 900, Served: 1e6 + 500}}, false)
	s.SetPeer(time.Second, "p", 1, []sharer.Total{{Account: "a", Demand: 300, Served: 200}}, false)
	if got := s.Served(time.Second, "a"); got != 500 {
		t.Errorf("served %v after the totals began anew, want 500", got)
	}
	s.SetPeer(time.Second, "p", 1, []sharer.Total{{Account: "a", Demand: 400, Served: 250}}, false)
	if got := s.Served(time.Second, "a"); got != 550 {
		t.Errorf("served %v after the next totals, want 550", got)
	}
}

// Guards against FAIR: a daemon that has started, or has a new relay, knows no service and
// treats the best-served account as within its share.
func TestFirstReportOfAPeerTellsTheRecentService(t *testing.T) {
	s := sharer.New(window)
	s.RecordService(0, "a", 300)
	recent := []sharer.Total{{Account: "a", Demand: 1600, Served: 800}, {Account: "b", Demand: 160, Served: 160}}
	for range 2 { // repeated reports change nothing
		s.SetPeer(0, "p", 1, []sharer.Total{{Account: "a", Demand: 1e6, Served: 1e6}}, true)
		s.LearnRecent(0, "p", 1, recent)
	}
	if a, b := s.Served(0, "a"), s.Served(0, "b"); a != 800 || b != 160 {
		t.Errorf("served %v and %v, want 800 and 160 as the peer knows", a, b)
	}
	if a := s.Served(window/2, "a"); a < 350 || a > 650 {
		t.Errorf("served %v after half of the window, want about half of 800", a)
	}
	if a := s.Served(window+time.Second, "a"); a != 0 {
		t.Errorf("served %v after the window, want 0", a)
	}
}

// Guards against FAIR and LOST: service that a peer gave before its first report here counts as
// service of one moment, since that report left out the account; and against missing service
// of accounts that a peer did not know when it last reported all of them.
func TestFirstTotalOfAnAccountSetsTheBaseline(t *testing.T) {
	first := []sharer.Total{{Account: "b", Demand: 1e6, Served: 1e6}}
	for name, c := range map[string]struct {
		firstComplete, secondComplete bool
		want                          float64
	}{
		"no complete report before":   {false, false, 500},
		"in a complete report itself": {false, true, 500},
		"after a complete report":     {true, false, 1e6 + 500},
	} {
		s := sharer.New(window)
		s.SetPeer(0, "p", 1, first, c.firstComplete)
		for _, served := range []float64{1e6, 1e6 + 500} {
			s.SetPeer(0, "p", 1, []sharer.Total{{Account: "a", Demand: served, Served: served}}, c.secondComplete)
		}
		if got := s.Served(0, "a"); got != c.want {
			t.Errorf("%s: served %v, want %v", name, got, c.want)
		}
		s.SetPeer(0, "p", 2, first, false) // the peer has started again
		s.SetPeer(0, "p", 2, []sharer.Total{{Account: "a", Demand: 300, Served: 300}}, false)
		if got := s.Served(0, "a"); got != c.want {
			t.Errorf("%s: served %v after a restart of the peer, want %v", name, got, c.want)
		}
	}
}

// Guards against service of a long silence that counts as service of one moment.
func TestServiceDuringASilenceIsNotCounted(t *testing.T) {
	s := sharer.New(window)
	s.SetPeer(0, "p", 1, []sharer.Total{{Account: "a", Demand: 1e6, Served: 1e6}}, false)
	s.RemovePeer("p")
	s.SetPeer(10*time.Second, "p", 1, []sharer.Total{{Account: "a", Demand: 5e6, Served: 5e6}}, false)
	if got := s.Served(10*time.Second, "a"); got != 0 {
		t.Errorf("served %v after a silence, want 0", got)
	}
}

// Guards against levels that exceed the capacity in total, and against levels that
// leave capacity unused while an account asks for more.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1e6).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Float64Range(0.1, 1e6), 1, 20).Draw(t, "asked")
		s := sharer.New(window)
		s.SetCapacity(capacity / capacityMargin / window.Seconds())
		total := 0.0
		for i, a := range demands {
			s.RecordDemand(0, string(rune('a'+i)), a)
			total += a
		}
		level := s.FairShare(0)
		if total <= capacity*(1-1e-9) {
			if !math.IsInf(level, 1) {
				t.Fatalf("level %v although the total is within the capacity", level)
			}
			return
		}
		given := 0.0
		for _, a := range demands {
			given += min(a, level)
		}
		if math.Abs(given-min(capacity, total)) > 1e-6*capacity {
			t.Fatalf("level %v gives out %v of %v", level, given, capacity)
		}
	})
}

// Guards against service that stays counted, or is counted twice, as the window
// slides.
func TestServiceOutsideTheWindowIsNotCounted(t *testing.T) {
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
			s.RecordService(now, "a", cost)
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

// Load: two flooding accounts. The requests of one all reach one small host, which
// serves few of them; those of the other reach many hosts. Guards against giving all
// spare capacity to the second account, which would then get twice as much as the
// first.
func TestBestServedAccountGetsLowerSpareWeight(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(500 / capacityMargin)
	for _, name := range []string{"drowned", "best"} {
		s.RecordDemand(0, name, 1e6)
	}
	s.RecordService(0, "drowned", 3500)
	s.RecordService(0, "best", 8500)
	best, underserved := s.SpareWeight(0, "best"), s.SpareWeight(0, "drowned")
	if best > 0.5 || underserved < 1.5 {
		t.Errorf("spare weight %v of the best served account, %v of the other", best, underserved)
	}
	s.RecordService(0, "best", 1e9)
	if s.SpareWeight(0, "best") <= 0 {
		t.Error("the spare weight of an account is not positive")
	}
}

// Load: several accounts at many times their usual demand. Spare capacity must go to
// the account with the least service, so that none gets a multiple of another.
func TestAccountWithLeastServiceGetsHighestSpareWeight(t *testing.T) {
	s := sharer.New(window)
	s.SetCapacity(100)
	for _, name := range []string{"a", "b", "c"} {
		s.RecordDemand(0, name, 1e6)
	}
	s.RecordDemand(0, "small", 10)
	s.RecordService(0, "a", 1000)
	s.RecordService(0, "b", 500)
	s.RecordService(0, "c", 300)
	a, b, c := s.SpareWeight(0, "a"), s.SpareWeight(0, "b"), s.SpareWeight(0, "c")
	if a >= b || b >= c || a >= 1 || c <= 1 {
		t.Errorf("spare weights %v, %v, %v", a, b, c)
	}
	if none := s.SpareWeight(0, "new"); none > 3 {
		t.Errorf("spare weight %v of an account without service, want at most 3", none)
	}
}

// Guards against a gap between two accounts that both ask for more than their share: one that
// cannot use its share, and one that takes the rest of it as spare capacity.
func TestSpareCapacityKeepsTheGapBounded(t *testing.T) {
	const second = time.Second
	for name, tc := range map[string]struct {
		// others is the service of the other account, which asks for otherDemand.
		others, otherDemand float64
		served              float64
		want                bool
	}{
		"no gap":                        {1000, 5000, 1000, true},
		"gap within the bound":          {1000, 5000, 1500, true},
		"gap beyond the bound":          {1000, 5000, 1700, false},
		"the other one has all it asks": {300, 300, 1700, true},
		"the other one gets nothing":    {10, 5000, 1300, false},
	} {
		s := sharer.New(4 * second)
		s.SetCapacity(500)
		for range 1000 {
			s.RecordDemand(second, "a", 5)
			s.RecordDemand(second, "b", tc.otherDemand/1000)
		}
		s.RecordService(second, "a", tc.served)
		s.RecordService(second, "b", tc.others)
		if got := s.WithinGap(second, "a", 5); got != tc.want {
			t.Errorf("%s: service allowed %v, want %v", name, got, tc.want)
		}
	}
}

// Guards against FAIR: an account within its share gets more than twice as much as one that is
// held back by something else than the shares and cannot use its own.
func TestAccountHeldBackBoundsTheOthersWithinTheirShare(t *testing.T) {
	for name, tc := range map[string]struct {
		// since is the time from which the other account has asked for more than its share.
		since time.Duration
		want  bool
	}{
		"held back throughout the window": {0, false},
		"demand that has just come":       {3500 * time.Millisecond, true},
	} {
		s := sharer.New(4 * time.Second)
		s.SetCapacity(1000) // 5000 in the window
		for now := time.Duration(0); now < 3900*time.Millisecond; now += 100 * time.Millisecond {
			s.RecordService(now, "a", 50)
			for range 30 {
				s.RecordDemand(now, "a", 10)
				if now >= tc.since {
					s.RecordDemand(now, "b", 130/(3900*time.Millisecond-tc.since).Seconds())
				}
			}
			s.RecordService(now, "b", 10)
		}
		if got := s.WithinGap(3900*time.Millisecond, "a", 10); got != tc.want {
			t.Errorf("%s: an account with 1950 of a share of 2500 may have more: %v, want %v", name, got, tc.want)
		}
	}
}

// Guards against accounts that hold each other down: one that gets little would bound its own
// service, so that it could not make up for it.
func TestAccountDoesNotBoundItself(t *testing.T) {
	s := sharer.New(4 * time.Second)
	s.SetCapacity(1000) // 5000 in the window
	const now = 3900 * time.Millisecond
	for at := time.Duration(0); at < now; at += 100 * time.Millisecond {
		for range 30 {
			s.RecordDemand(at, "a", 10)
			s.RecordDemand(at, "b", 10)
		}
		s.RecordService(at, "a", 60)
		s.RecordService(at, "b", 15)
	}
	if s.WithinGap(now, "a", 10) {
		t.Error("an account may have more than 1.6 times the service of another one that is held back")
	}
	for at := time.Duration(0); at < 30*time.Millisecond; at += 10 * time.Millisecond {
		if !s.WithinGap(now+at, "b", 100) {
			t.Error("the account that is held back is bounded by itself")
		}
		s.RecordService(now+at, "b", 100)
	}
}

// Load: all callers of an account move from one daemon to another one. Guards against a daemon that
// gives them the part of the service that was due there before.
func TestServiceFollowsTheCallers(t *testing.T) {
	const window, step = 4 * time.Second, 20 * time.Millisecond
	before, after := sharer.New(window), sharer.New(window)
	began := 0.0
	for now := time.Duration(0); now < 14*time.Second; now += step {
		moved := now >= 10*time.Second
		for _, s := range []*sharer.Shares{before, after} {
			s.SetCapacity(1000)
			s.RecordDemand(now, "other", 20)
			s.RecordService(now, "other", 4) // 800 in the window of both
			if (s == after) != moved {
				continue
			}
			s.RecordDemand(now, "moving", 100)
			if s.WithinGap(now, "moving", 10) {
				s.RecordService(now, "moving", 10)
				if now >= 11*time.Second {
					began += 10
				}
			}
		}
		if now%(500*time.Millisecond) == 0 {
			before.SetPeer(now, "after", 1, after.TakeTotals(true), true)
			after.SetPeer(now, "before", 1, before.TakeTotals(true), true)
		}
	}
	// The other account gets 400 a second and bounds this one to 640.
	if perSecond := began / 3; perSecond < 0.7*640 || perSecond > 1.1*640 {
		t.Errorf("%.0f a second were served after the move, want about 640", perSecond)
	}
}

// Load: thirty daemons whose news of each other is half a second old, and an account that asks
// for ten times what its bound allows. Guards against FAIR: all daemons serve it at once as soon
// as there is room and then none for seconds.
func TestBoundedServiceIsSteady(t *testing.T) {
	const daemons, capacity, window = 30, 1000.0, 4 * time.Second
	var all []*sharer.Shares
	for range daemons {
		s := sharer.New(window)
		s.SetCapacity(capacity)
		all = append(all, s)
	}
	began := make([]float64, 20)
	for now := time.Duration(0); now < 20*time.Second; now += 20 * time.Millisecond {
		for i, s := range all {
			s.RecordDemand(now, "a", 10)
			s.RecordDemand(now, "b", 10)
			if s.WithinGap(now, "a", 10) {
				s.RecordService(now, "a", 10)
				began[now/time.Second] += 10
			}
			if i == 0 && now%(50*time.Millisecond) == 0 {
				s.RecordService(now, "b", 20)
			}
		}
		if now%(500*time.Millisecond) != 0 {
			continue
		}
		for i, s := range all {
			for j, other := range all {
				if i != j {
					s.SetPeer(now, string(rune('A'+j)), 1, other.TakeTotals(true), true)
				}
			}
		}
	}
	least, most := slices.Min(began[10:]), slices.Max(began[10:])
	if least < 0.5*most {
		t.Errorf("between %.0f and %.0f a second were served: %.0f", least, most, began)
	}
}

// Guards against FAIR: requests that were refused unread are missing in the demand, so that
// their account seems to have all that it asks for.
func TestRefusedRequestsAreDemand(t *testing.T) {
	s := sharer.New(4 * time.Second)
	s.SetCapacity(1000) // 5000 in the window
	for range 30 {
		s.RecordDemand(time.Second, "busy", 50)
	}
	s.RecordDemand(time.Second, "other", 10_000)
	if got := s.FairShare(time.Second); got != 3500 {
		t.Errorf("share %v while busy asks for 1,500, want 3,500", got)
	}
	s.RecordRefused(time.Second, "busy", 60)
	s.RecordRefused(time.Second, "unknown", 60)
	s.RecordDemand(time.Second+50*time.Millisecond, "other", 0)
	if got := s.FairShare(time.Second + 50*time.Millisecond); got != 2500 {
		t.Errorf("share %v while busy asks for 4,500, want 2,500", got)
	}
	for _, total := range s.TakeTotals(false) {
		if total.Account == "busy" && total.Demand != 4500 {
			t.Errorf("reported demand %v, want 4,500", total.Demand)
		}
	}
}
