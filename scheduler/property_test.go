package scheduler_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawLoad returns a random load in which every account is backlogged throughout and uses all
// shards.
func drawLoad(t *rapid.T) load {
	l := load{
		seed:   rapid.Int64().Draw(t, "seed"),
		shards: rapid.IntRange(1, 3).Draw(t, "shards"), targets: rapid.IntRange(1, 3).Draw(t, "targets"),
		limit: rapid.IntRange(1, 4).Draw(t, "limit"), routers: rapid.IntRange(2, 4).Draw(t, "routers"),
		delay:    time.Duration(rapid.IntRange(1, 50).Draw(t, "delayMs")) * time.Millisecond,
		duration: time.Minute,
	}
	for range rapid.IntRange(2, 5).Draw(t, "clients") {
		l.accounts = append(l.accounts, account{
			weight: rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "weight"),
			cost:   rapid.Float64Range(5, 100).Draw(t, "cost"),
			bias:   rapid.Float64Range(0.3, 3).Draw(t, "bias"),
			shards: []int{0, 1, 2}[:l.shards],
		})
	}
	return l
}

// lossy returns the load with random message loss and duplication.
func (l load) lossy(t *rapid.T) load {
	l.loss = rapid.Float64Range(0, 0.1).Draw(t, "loss")
	l.duplicate = rapid.Float64Range(0, 0.2).Draw(t, "duplicate")
	return l
}

// TestMain fixes the seed so that every run gives the same result. Other seeds are chosen
// with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestGapStaysWithinBoundAndNoClientStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t).lossy(t)
		l.ownerLoss = rapid.Bool().Draw(t, "ownerLoss")
		l.partition = rapid.Bool().Draw(t, "partition") // Bound applies only to a connected fleet.
		if o := runLoad(l); o.gapRatio > 1 && !l.partition || o.waitRatio > 1 {
			t.Fatalf("gap %.2f of the bound, wait %.2f of the limit", o.gapRatio, o.waitRatio)
		}
	})
}

func TestSlotsAndDemandsDoNotLeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t).lossy(t)
		l.ownerLoss = rapid.Bool().Draw(t, "ownerLoss")
		l.routerLoss = rapid.Bool().Draw(t, "routerLoss")
		l.partition = rapid.Bool().Draw(t, "partition")
		if o := runLoad(l); o.leaked != 0 || o.grantsToStopped != 0 {
			t.Fatalf("%d slots or demands leaked, %d grants to a stopped router", o.leaked, o.grantsToStopped)
		}
	})
}

func TestNoSlotIsFreeWhileRequestsWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t)
		l.duplicate = rapid.Float64Range(0, 0.2).Draw(t, "duplicate")
		l.routerLoss = rapid.Bool().Draw(t, "routerLoss")
		if o := runLoad(l); o.longestIdle > exchangeInterval || o.overLimit != 0 {
			t.Fatalf("slot free for %v, %d requests beyond the limit", o.longestIdle, o.overLimit)
		}
	})
}

func TestGrantsDoNotExceedDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t)
		l.routers = rapid.IntRange(1, 2).Draw(t, "few")
		l.requestsPerQueue, l.delay = rapid.IntRange(1, 40).Draw(t, "finite"), 1
		for c := range l.accounts {
			l.accounts[c].shards = []int{c % l.shards}
		}
		if o := runLoad(l); o.unused != 0 {
			t.Fatalf("%d grants found an empty queue", o.unused)
		}
	})
}

// TestPropertiesFailWithoutRules guards against properties that cannot fail: each of them must
// detect a scheduler that lacks one of its rules, on loads that pass with all rules in force.
func TestPropertiesFailWithoutRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  fault
		change func(l *load)
		fails  func(o outcome) bool
	}{
		{"gap without charges", discardCharges, nil, func(o outcome) bool { return o.gapRatio > 1 }},
		{"wait without charges", discardCharges, nil, func(o outcome) bool { return o.waitRatio > 1 }},
		{"gap without totals", ignoreTotals, nil, func(o outcome) bool { return o.gapRatio > 1 }},
		{"gap without refunds", skipRefunds, nil, func(o outcome) bool { return o.gapRatio > 1 }},
		{"leak without leases", endlessLease, func(l *load) { l.loss = 0.05 }, func(o outcome) bool { return o.leaked > 0 }},
		{"over limit with slots freed twice", freeSlotsTwice, func(l *load) { l.duration = 5 * time.Second }, func(o outcome) bool { return o.overLimit > 0 }},
		{"idle slot without seen ids", reportNoneSeen, nil, func(o outcome) bool { return o.longestIdle > exchangeInterval }},
		{"unused grants with all ids seen", reportAllSeen, func(l *load) {
			l.requestsPerQueue, l.delay, l.duplicate = 20, 1, 0
			l.targets, l.limit, l.routers = 3, 4, 1
			l.accounts = []account{{1, 5, 1, []int{0}}}
		}, func(o outcome) bool { return o.unused > 0 }},
		{"grants to a stopped router", keepStoppedMembers, func(l *load) { l.routerLoss = true }, func(o outcome) bool { return o.grantsToStopped > 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			failures := 0
			for seed := range int64(8) {
				l := load{
					seed: seed, shards: 2, targets: 1 + int(seed)%3, limit: 1 + int(seed)%4, routers: 3,
					delay: 20 * time.Millisecond, duration: time.Minute, duplicate: 0.1,
					accounts: []account{{1, 40, 0.4, []int{0, 1}}, {1, 20, 1, []int{0}}, {1, 50, 2, []int{1}}},
				}
				if c.change != nil {
					c.change(&l)
				}
				if c.fails(runLoad(l)) {
					t.Fatalf("the unmodified scheduler fails with seed %d", seed)
				}
				l.fault = c.fault
				if c.fails(runLoad(l)) {
					failures++
				}
			}
			if failures == 0 {
				t.Fatal("no seed fails")
			}
			t.Logf("%d of 8 seeds fail", failures)
		})
	}
}
