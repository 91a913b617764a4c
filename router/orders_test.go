package router

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/router/controller"
	"monsoondeck.example/router/locator"
)

// Guards against engines with two owners or none, against orders to services and
// draining engines, and against daemons that disagree on the number of owners.
func TestEveryActiveEngineHasOneOwner(t *testing.T) {
	delta := configurer.Delta{ID: "first", Author: "test", Version: 1, Time: time.Unix(1, 0)}
	for i := range 40 {
		target := configurer.Target{
			ID: fmt.Sprintf("t%d", i), DataCentre: "dc1", Address: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Kind: configurer.KindEngine, Pools: []string{"a", "b"}, Slots: 1, State: configurer.StateActive,
		}
		switch i % 10 {
		case 0:
			target.Kind, target.Pools = configurer.KindService, []string{"desk"}
		case 1:
			target.State = configurer.StateDraining
		}
		delta.PutTargets = append(delta.PutTargets, target)
	}
	config, err := configurer.Config{}.WithDelta(delta)
	if err != nil {
		t.Fatal(err)
	}
	daemons := []locator.Daemon{{ID: "r1", DataCentre: "dc1", Eligible: true}, {ID: "r2", DataCentre: "dc1", Eligible: true}, {ID: "r3", DataCentre: "dc1", Eligible: true}}
	ownersByEngine, ownerCounts := map[string]int{}, map[int]bool{}
	var ranks []int
	for _, d := range daemons {
		m := locator.New(slices.Collect(config.Targets()), daemons, d, locator.Fleet)
		source := &ownership{daemonID: d.ID, snapshot: func() *controller.Snapshot {
			return &controller.Snapshot{Config: config, Configured: true, Assignment: m, Time: time.Second}
		}}
		got := source.Ownership()
		for _, target := range got.Targets {
			ownersByEngine[target.ID]++
		}
		ownerCounts[got.Owners] = true
		if len(got.Targets) > 0 {
			ranks = append(ranks, got.Rank)
		}
	}
	if len(ownersByEngine) != 32 || slices.ContainsFunc(slices.Collect(maps.Values(ownersByEngine)), func(n int) bool { return n != 1 }) {
		t.Errorf("owners by engine: %v", ownersByEngine)
	}
	slices.Sort(ranks)
	if len(ownerCounts) != 1 || !ownerCounts[len(ranks)] || ranks[len(ranks)-1] != len(ranks)-1 {
		t.Errorf("numbers of owners %v, ranks %v", ownerCounts, ranks)
	}
}
