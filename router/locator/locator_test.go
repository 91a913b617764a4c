package locator_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
	"monsoondeck.example/router/locator"
)

var pools = []string{"chat", "quotes", "orders"}

func drawTargets(t *rapid.T) []configurer.Target {
	targets := make([]configurer.Target, rapid.IntRange(1, 60).Draw(t, "targets"))
	for i := range targets {
		targets[i] = configurer.Target{
			ID:         fmt.Sprintf("t%d", i),
			DataCentre: rapid.SampledFrom([]string{"dc1", "dc2", "dc3"}).Draw(t, "dataCentre"),
			Pools:      rapid.SliceOfNDistinct(rapid.SampledFrom(pools), 1, 2, rapid.ID).Draw(t, "pools"),
			Slots:      4,
		}
	}
	return targets
}

func drawDaemons(t *rapid.T) []locator.Daemon {
	daemons := make([]locator.Daemon, rapid.IntRange(1, 12).Draw(t, "daemons"))
	for i := range daemons {
		daemons[i] = locator.Daemon{
			ID:         fmt.Sprintf("d%d", i),
			DataCentre: rapid.SampledFrom([]string{"dc1", "dc2", "dc3"}).Draw(t, "dataCentre"),
			Eligible:   rapid.Float64Range(0, 1).Draw(t, "eligible") > 0.2,
		}
	}
	return daemons
}

// Guards against a target whose slots are counted in two shards, and against a target
// that no daemon schedules.
func TestEveryTargetIsInOneOwnedShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, daemons := drawTargets(t), drawDaemons(t)
		m := locator.New(targets, daemons, daemons[0], locator.Fleet)
		count := map[string]int{}
		for key, s := range m.Shards() {
			for _, target := range s.Targets {
				count[target.ID]++
			}
			owner := slices.IndexFunc(daemons, func(d locator.Daemon) bool { return d.ID == s.Owner })
			if owner < 0 {
				t.Fatalf("shard %s has no owner among the daemons", key)
			}
			local := func(d locator.Daemon) bool { return d.Eligible && d.DataCentre == s.DataCentre }
			if slices.ContainsFunc(daemons, local) && !local(daemons[owner]) {
				t.Fatalf("shard %s is owned by %s although its data centre has a daemon", key, s.Owner)
			}
		}
		for _, target := range targets {
			if count[target.ID] != 1 {
				t.Fatalf("target %s is in %d shards", target.ID, count[target.ID])
			}
		}
	})
}

// Guards against two owners of a shard or group when all daemons know the same targets
// and members but list them in different orders.
func TestAssignmentIgnoresOrderOfTargetsAndDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, daemons := drawTargets(t), drawDaemons(t)
		a := locator.New(targets, daemons, daemons[0], locator.Fleet)
		b := locator.New(rapid.Permutation(targets).Draw(t, "targets"), rapid.Permutation(daemons).Draw(t, "daemons"), daemons[len(daemons)-1], locator.Fleet)
		for key, s := range a.Shards() {
			if other, ok := b.Shard(key); !ok || other.Owner != s.Owner {
				t.Fatalf("shard %s: owner %s against %s", key, s.Owner, other.Owner)
			}
		}
		for group := range 3 {
			if a.Aggregator("chat", group) != b.Aggregator("chat", group) {
				t.Fatalf("group %d has two aggregators", group)
			}
		}
	})
}

// Guards against a departure that moves shards between the remaining daemons, which
// would stop their scheduling until the new owner has rebuilt its state.
func TestDepartureMovesOnlyTheShardsOfTheDeparted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, daemons := drawTargets(t), drawDaemons(t)
		for i := range daemons {
			daemons[i].Eligible = true
		}
		before := locator.New(targets, daemons, daemons[0], locator.Fleet)
		gone := rapid.IntRange(0, len(daemons)-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(daemons), gone, gone+1)
		if len(rest) == 0 {
			return
		}
		after := locator.New(targets, rest, rest[0], locator.Fleet)
		for key, s := range before.Shards() {
			now, _ := after.Shard(key)
			if s.Owner != daemons[gone].ID && now.Owner != s.Owner {
				t.Fatalf("shard %s moved from %s to %s when %s left", key, s.Owner, now.Owner, daemons[gone].ID)
			}
		}
	})
}

// BenchmarkNew measures a recomputation at the design size: 3,300 targets and 320
// daemons.
func BenchmarkNew(b *testing.B) {
	targets := make([]configurer.Target, 3300)
	for i := range targets {
		targets[i] = configurer.Target{ID: fmt.Sprintf("t%d", i), DataCentre: fmt.Sprintf("dc%d", i%4), Pools: []string{fmt.Sprintf("model%d", i%16)}}
	}
	daemons := make([]locator.Daemon, 320)
	for i := range daemons {
		daemons[i] = locator.Daemon{ID: fmt.Sprintf("d%d", i), DataCentre: fmt.Sprintf("dc%d", i%4), Eligible: true}
	}
	for b.Loop() {
		locator.New(targets, daemons, daemons[0], locator.Fleet)
	}
}
