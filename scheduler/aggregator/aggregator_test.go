package aggregator_test

import (
	"math"
	"testing"

	"monsoondeck.example/scheduler"
	"monsoondeck.example/scheduler/aggregator"
	"pgregory.net/rapid"
)

// TestTotalsSurviveLostRepeatedAndOvertakenReports guards against service that is counted twice
// or not at all when reports are lost, repeated or reordered. The last report of each owner
// always arrives.
func TestTotalsSurviveLostRepeatedAndOvertakenReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := aggregator.New()
		shards := []string{"a", "b", "c"}
		owners := map[string]*scheduler.ServiceEntry{}
		sent := map[string][]scheduler.ServiceEntry{}
		for _, s := range shards {
			owners[s] = &scheduler.ServiceEntry{Account: "x"}
		}
		deliver := func(s string, e scheduler.ServiceEntry, answered bool) {
			for _, v := range a.Apply(s, 1, []scheduler.ServiceEntry{e}) {
				if answered {
					owners[s].KnownTotal, owners[s].IncludedUnits = v.Total, v.IncludedUnits
				}
			}
		}
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			s := rapid.SampledFrom(shards).Draw(t, "shard")
			change := rapid.Float64Range(-5, 20).Draw(t, "units")
			owners[s].CumulativeUnits = max(owners[s].CumulativeUnits+change, 0)
			sent[s] = append(sent[s], *owners[s])
			if rapid.Bool().Draw(t, "arrives") {
				deliver(s, rapid.SampledFrom(sent[s]).Draw(t, "report"), rapid.Bool().Draw(t, "answered"))
			}
		}
		sum := 0.0
		for _, s := range shards {
			deliver(s, *owners[s], true)
			sum += owners[s].CumulativeUnits
		}
		got := a.Apply("a", 1, []scheduler.ServiceEntry{*owners["a"]})[0].Total
		if math.Abs(got-sum) > 1e-6 {
			t.Fatalf("total %v, granted %v", got, sum)
		}
	})
}

func TestNewAggregatorRecoversTotalFromOwners(t *testing.T) {
	a := aggregator.New()
	a.Apply("a", 1, []scheduler.ServiceEntry{{Account: "x", CumulativeUnits: 40, IncludedUnits: 30, KnownTotal: 100}})
	got := a.Apply("b", 1, []scheduler.ServiceEntry{{Account: "x", CumulativeUnits: 75, IncludedUnits: 70, KnownTotal: 100}})[0]
	if got.Total != 115 || got.IncludedUnits != 75 {
		t.Fatalf("got %+v, want the known 100 and 10 and 5 since", got)
	}
}

func TestTwoOwnersOfOneShardAreBothCounted(t *testing.T) {
	a := aggregator.New()
	total := 0.0
	for i := range 10 {
		for epoch := range uint64(2) {
			total = a.Apply("a", epoch, []scheduler.ServiceEntry{{Account: "x", CumulativeUnits: float64(i), KnownTotal: total}})[0].Total
		}
	}
	if total != 18 {
		t.Fatalf("total %v of 9 units from each owner", total)
	}
}

func TestIncarnationsAreForgotten(t *testing.T) {
	a := aggregator.New()
	for epoch := range uint64(100) {
		a.Apply("a", epoch, []scheduler.ServiceEntry{{Account: "x", CumulativeUnits: 1}})
	}
	if got := a.Apply("a", 99, []scheduler.ServiceEntry{{Account: "x", CumulativeUnits: 1}})[0].Total; got != 100 {
		t.Fatalf("total %v after 100 owners with 1 unit each", got)
	}
}
