package analyser

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/generator/loader"
)

// Guards against a gap that misses a window: the single pass over the buckets must
// agree with the comparison of all windows.
func TestLargestDifferenceMatchesAllWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "buckets")
		units := rapid.SliceOfN(rapid.Float64Range(0, 10), n, n)
		flags := rapid.SliceOfN(rapid.Bool(), n, n)
		a, b, wa, wb := units.Draw(t, "a"), units.Draw(t, "b"), flags.Draw(t, "wa"), flags.Draw(t, "wb")
		var want float64
		for i := range n {
			sum := 0.0
			for j := i; j < n && wa[j] && wb[j]; j++ {
				sum += a[j] - b[j]
				want = max(want, math.Abs(sum))
			}
		}
		if got, _ := largestDifference(a, b, wa, wb); math.Abs(got-want) > 1e-9 {
			t.Fatalf("gap %v, want %v", got, want)
		}
	})
}

// input returns ten buckets. Account a waits throughout, and b from the middle of
// bucket 4 to bucket 8.
func input() Input {
	start := time.UnixMilli(1_000_000)
	at := func(bucket float64) time.Time { return start.Add(time.Duration(bucket * float64(oracle.Bucket))) }
	in := Input{
		Pool: "p", Shares: map[string]float64{"a": 2, "b": 1}, From: start, To: at(10), Slots: map[string]int{"t": 2},
		Requests: []loader.Result{
			{ID: "1", Account: "a", Pool: "p", Start: at(-1), End: at(6)},
			{ID: "2", Account: "a", Pool: "p", Start: at(4), End: at(20)},
			{ID: "3", Account: "b", Pool: "p", Start: at(1), End: at(2)},    // runs at once
			{ID: "4", Account: "b", Pool: "p", Start: at(4.5), End: at(20)}, // runs from bucket 9 on
			{ID: "5", Account: "b", Pool: "other", Start: at(0), End: at(10)},
		},
		Executions: []oracle.Execution{
			{CallerRequestID: "3", Account: "b", Pool: "p", Start: at(1), End: at(2), Units: 3},
			{CallerRequestID: "4", Account: "b", Pool: "p", Start: at(9), End: at(20), Units: 5},
		},
	}
	for i := range 10 {
		in.Services = append(in.Services, oracle.Service{Bucket: at(float64(i)).UnixMilli(), Account: "a", Target: "t", Pool: "p", Units: 8})
		in.Busy = append(in.Busy, oracle.SlotTime{Bucket: at(float64(i)).UnixMilli(), Target: "t", BusySlotSeconds: 0.15, Slots: 2})
	}
	return in
}

// Guards against counting service while one of the accounts has no request waiting,
// and against ignored weights.
func TestGapCountsOnlyJointBacklog(t *testing.T) {
	in := input()
	// Both wait in buckets 5 to 8: a gets 4 x 8 units at weight 2, b nothing.
	if g := in.Gap(); math.Abs(g.Value-16) > 1e-9 || g.Pairs != 1 {
		t.Fatalf("gap %+v", g)
	}
	in.Services = append(in.Services, oracle.Service{Bucket: in.From.UnixMilli() + 600, Account: "b", Pool: "p", Units: 10})
	// The largest window is now bucket 7 and 8, or 5: the difference is 4 - 6 + 8.
	if g := in.Gap(); math.Abs(g.Value-8) > 1e-9 {
		t.Fatalf("gap %+v", g)
	}
}

// Guards against idle time that lowers the utilisation although no request waits.
func TestUtilisationCountsOnlyTimeWithWaitingWork(t *testing.T) {
	in := input()
	if u := in.Utilisation(); math.Abs(u.Value-0.75) > 1e-9 || u.Waiting != 1 {
		t.Fatalf("utilisation %+v", u)
	}
	in.Requests = in.Requests[3:] // only b waits, in buckets 5 to 8
	for i := range in.Busy {
		if i < 5 || i > 8 {
			in.Busy[i].BusySlotSeconds = 0
		}
	}
	if u := in.Utilisation(); math.Abs(u.Value-0.75) > 1e-9 || math.Abs(u.Waiting-0.4) > 1e-9 {
		t.Fatalf("utilisation %+v", u)
	}
}

// Guards against a bound that ignores the cost of requests or the slots held.
func TestBoundGrowsWithCostAndSlots(t *testing.T) {
	in := input()
	c := Conditions{ExchangeInterval: 500 * time.Millisecond, MessageDelay: time.Millisecond, Shards: 2, OwnerChanges: 1}
	rate := 80.0 // 10 x 8 units in one second
	want := 2 * ((0/2.0+5/1.0)*(1+2) + rate*2*0.501/1)
	if got := in.Bound(c); math.Abs(got-want) > 1e-9 {
		t.Fatalf("bound %v, want %v", got, want)
	}
}
