package orderer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// property checks the rules in a world whose owners, engines and table fail at
// random.
func property(refuses []bool, m mutant) func(*rapid.T) {
	return func(t *rapid.T) {
		if err := newWorld(rapid.Uint64().Draw(t, "seed"), refuses, m).run(); err != nil {
			t.Fatal(err)
		}
	}
}

var (
	refusing = []bool{true, true, true}
	ignoring = []bool{false, false, false}
)

// Guards against engines that execute an order of an older owner after one of a
// newer owner, configured models that are never loaded, and loads above the weight
// store's limit, both with engines that refuse old fencing numbers and with engines
// that ignore them.
func TestRulesHoldUnderFaults(t *testing.T) {
	for name, refuses := range map[string][]bool{"refusing": refusing, "ignoring": ignoring, "mixed": {true, false, true}} {
		t.Run(name, func(t *testing.T) { rapid.Check(t, property(refuses, mutant{})) })
	}
}

// mutantSeeds is far above the number of seeds after which each mutant fails.
const mutantSeeds = 3000

// Guards against a property that cannot fail: each mutant breaks one rule and must
// be found.
func TestPropertyFindsMutants(t *testing.T) {
	each := func(change func(e *engine)) mutant {
		return mutant{step: func(n *node) {
			for _, e := range n.core.engines {
				change(e)
			}
		}}
	}
	for name, c := range map[string]struct {
		refuses []bool
		mutant  mutant
	}{
		"the fencing number found is used again":  {refusing, mutant{execute: func(_ *world, c *call) bool { return c.action.Kind == ActionRaiseFence }}},
		"the engine accepts old fencing numbers":  {refusing, mutant{acceptsOldFence: true}},
		"no check of the deadline before sending": {ignoring, mutant{ignoresDeadline: true}},
		"no wait after a takeover":                {ignoring, each(func(e *engine) { e.sendFrom = 0 })},
		"no read of the row before an order": {ignoring, each(func(e *engine) {
			if e.recorded {
				e.confirmedAt, e.confirmed = time.Hour, true
			}
		})},
		"an order is never repeated": {refusing, each(func(e *engine) {
			for m := range e.lastOrdered {
				e.lastOrdered[m] = time.Hour
			}
		})},
		"the rate is not divided among owners": {slices.Repeat(refusing, 3), mutant{owners: 1}},
		"prepared loads reserve no token": {slices.Repeat(refusing, 3), mutant{step: func(n *node) {
			n.core.bucket.reserved = false
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(mutantSeeds) {
				if err := newWorld(seed, c.refuses, c.mutant).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("the property holds for the broken variant")
		})
	}
}

// Guards against an owner that sends at once because it raised the fencing number
// earlier, although another owner has raised it since.
func TestOwnerWaitsAgainAfterAnotherOwnersRaise(t *testing.T) {
	o, second := New(Settings{Owner: "a"}), time.Second
	w := Ownership{Targets: []Target{{ID: "e", Models: []string{"m"}}}, Owners: 1}
	row := Row{Record: Record{Fence: 1, Owner: "a", Order: OrderLoad, Model: "old"}, Revision: 1}
	var sent []time.Duration
	for now := time.Duration(0); now < 20*second; now += second / 10 {
		w.RenewedAt = now
		o.SetOwned(now, w)
		o.engines["e"].fenceOwned = now == 0 || o.engines["e"].fenceOwned // as after an order for another model
		actions, _ := o.Actions(now)
		for _, a := range actions {
			r := Reply{Target: "e", CallID: a.CallID}
			switch a.Kind {
			case ActionReadRow:
				if row.Revision == 1 {
					row = Row{Record: Record{Fence: 2, Owner: "b", Order: OrderLoad, Model: "m"}, Revision: 2}
				}
				r.Row = row
			case ActionRaiseFence:
				row = Row{Record: a.Record, Revision: 3}
			case ActionSendOrder:
				sent = append(sent, now)
			}
			o.Handle(now, r)
		}
	}
	if len(sent) < 2 || sent[0] < 3*second {
		t.Fatalf("orders were sent at %v", sent)
	}
}
