package configurer_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
)

type merger interface {
	OfferDelta(configurer.Delta) ([]configurer.Delta, error)
	OfferConfig(configurer.Config) bool
	Current() (configurer.Config, bool)
}

// mergeProperty checks that, whatever deltas and snapshots arrive in whatever
// order, the version never decreases, the content is that of the committed
// version, and a replay of all deltas ends at the newest version.
func mergeProperty(newMerger func() merger) func(*rapid.T) {
	return func(t *rapid.T) {
		configs, deltas := drawHistory(t)
		m, version := newMerger(), uint64(0)
		check := func() {
			c, _ := m.Current()
			if c.Version() < version {
				t.Fatalf("version decreased from %d to %d", version, c.Version())
			}
			version = c.Version()
			requireSame(t, c, configs[version])
		}
		for range rapid.IntRange(0, 20).Draw(t, "messages") {
			i := rapid.IntRange(0, len(deltas)-1).Draw(t, "index")
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				m.OfferConfig(configs[i+1])
			} else if _, err := m.OfferDelta(deltas[i]); err != nil {
				t.Fatal(err)
			}
			check()
		}
		for _, d := range deltas {
			if _, err := m.OfferDelta(d); err != nil {
				t.Fatal(err)
			}
			check()
		}
		if version != uint64(len(deltas)) {
			t.Fatalf("replay ends at version %d of %d", version, len(deltas))
		}
	}
}

// Guards against a configuration that reverts or depends on the order of
// arrival (P8).
func TestReplicaConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, mergeProperty(func() merger { return configurer.NewReplica(4) }))
}

// adoptsAnySnapshot adopts snapshots without comparing versions.
type adoptsAnySnapshot struct {
	*configurer.Replica
	adopted *configurer.Config
}

func (m *adoptsAnySnapshot) OfferConfig(c configurer.Config) bool { m.adopted = &c; return true }
func (m *adoptsAnySnapshot) OfferDelta(d configurer.Delta) ([]configurer.Delta, error) {
	applied, err := m.Replica.OfferDelta(d)
	if len(applied) > 0 {
		m.adopted = nil
	}
	return applied, err
}
func (m *adoptsAnySnapshot) Current() (configurer.Config, bool) {
	if m.adopted != nil {
		return *m.adopted, true
	}
	return m.Replica.Current()
}

// ignoresBase applies a delta to the current version, whatever the delta's base.
type ignoresBase struct{ c configurer.Config }

func (m *ignoresBase) Current() (configurer.Config, bool) { return m.c, true }
func (m *ignoresBase) OfferConfig(c configurer.Config) bool {
	if c.Version() > m.c.Version() {
		m.c = c
	}
	return true
}
func (m *ignoresBase) OfferDelta(d configurer.Delta) ([]configurer.Delta, error) {
	d.Base = m.c.Version()
	next, err := m.c.WithDelta(d)
	if errors.Is(err, configurer.ErrStale) || errors.Is(err, configurer.ErrInvalid) {
		return nil, nil
	}
	m.c = next
	return nil, err
}

func TestMergePropertyCatchesBrokenMerges(t *testing.T) {
	requireCaught(t, mergeProperty(func() merger { return &adoptsAnySnapshot{Replica: configurer.NewReplica(4)} }))
	requireCaught(t, mergeProperty(func() merger { return &ignoresBase{} }))
}

// Guards against DeltasAfter returning deltas that do not lead from the version of a
// member that is behind to the current one.
func TestReplicaServesMembersThatAreBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configs, deltas := drawHistory(t)
		ahead := configurer.NewReplica(3)
		for _, d := range deltas {
			if _, err := ahead.OfferDelta(d); err != nil {
				t.Fatal(err)
			}
		}
		for i := range configs {
			missing, ok := ahead.DeltasAfter(uint64(i))
			if kept := i >= len(deltas)-3; ok != kept {
				t.Fatalf("DeltasAfter(%d) of %d versions: deltas are kept: %t", i, len(deltas), ok)
			}
			c, err := configs[i], error(nil)
			for _, d := range missing {
				if c, err = c.WithDelta(d); err != nil {
					t.Fatal(err)
				}
			}
			if ok {
				requireSame(t, c, configs[len(configs)-1])
			}
		}
	})
}

// Guards against pending deltas that are lost or requested again after a
// snapshot, and against DeltasAfter returning deltas from before the snapshot.
func TestSnapshotBetweenDeltas(t *testing.T) {
	configs, deltas := []configurer.Config{{}}, []configurer.Delta(nil)
	for v := range uint64(5) {
		d := configurer.Delta{Base: v, Version: v + 1, PutOperators: []configurer.Operator{{Name: "mei", KeyHash: "h"}}}
		c, err := configs[v].WithDelta(d)
		if err != nil {
			t.Fatal(err)
		}
		configs, deltas = append(configs, c), append(deltas, d)
	}
	r := configurer.NewReplica(10)
	offer := func(d configurer.Delta) {
		if _, err := r.OfferDelta(d); err != nil {
			t.Fatal(err)
		}
	}
	offer(deltas[0])
	offer(deltas[2])
	offer(deltas[4])
	if adopted := r.OfferConfig(configs[2]); !adopted {
		t.Error("a newer snapshot is not adopted")
	}
	if after, missing := r.MissingAfter(); after != 3 || !missing {
		t.Errorf("missing %t after %d, want the delta after 3", missing, after)
	}
	if list, ok := r.DeltasAfter(0); ok {
		t.Errorf("DeltasAfter(0) returned deltas %v from before the snapshot", list)
	}
	if r.OfferConfig(configs[3]) || !r.OfferConfig(configs[5]) {
		t.Error("the current version is adopted again, or a newer one is not adopted")
	}
	if _, missing := r.MissingAfter(); missing {
		t.Error("a delta that the snapshot contains is reported missing")
	}
}
