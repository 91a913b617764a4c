package configurer_test

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
)

// Guards against a delta that loses or adds rows, against an index that differs
// from the rows, and against WithDelta modifying its receiver.
func TestDifferenceLeadsFromOneConfigToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawConfig(t, 3), drawConfig(t, 4)
		before := encoded(t, from)
		d := configurer.Difference(from, to)
		d.Version = 4
		got, err := from.WithDelta(d)
		if err != nil {
			t.Fatal(err)
		}
		requireSame(t, got, to)
		if encoded(t, from) != before {
			t.Fatal("WithDelta modified its receiver")
		}
	})
}

// Guards against fields that the JSON encoding drops.
func TestEncodingKeepsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, deltas := drawHistory(t)
		want := drawConfig(t, 9)
		var got configurer.Config
		if err := json.Unmarshal([]byte(encoded(t, want)), &got); err != nil {
			t.Fatal(err)
		}
		requireSame(t, got, want)
		var d configurer.Delta
		if err := json.Unmarshal([]byte(encoded(t, deltas[0])), &d); err != nil || encoded(t, d) != encoded(t, deltas[0]) {
			t.Fatalf("delta %v: %v", d, err)
		}
	})
}

// Guards against an invalid delta that is applied without an error.
func TestWithDeltaRejects(t *testing.T) {
	hash := configurer.KeyHash("k")
	account := func(id string, share float64, hashes ...string) configurer.Account {
		return configurer.Account{ID: id, Share: share, KeyHashes: hashes}
	}
	c, err := configurer.New(5, []configurer.Account{account("a", 1, hash)}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	puts := func(rows ...configurer.Account) configurer.Delta {
		return configurer.Delta{Base: 5, Version: 6, PutAccounts: rows}
	}
	for name, tc := range map[string]struct {
		delta configurer.Delta
		want  error
	}{
		"stale":                  {configurer.Delta{Base: 4, Version: 5}, configurer.ErrStale},
		"base is newer":          {configurer.Delta{Base: 6, Version: 7}, configurer.ErrVersionGap},
		"base is older":          {configurer.Delta{Base: 4, Version: 6}, configurer.ErrVersionGap},
		"version equals base":    {configurer.Delta{Base: 5, Version: 5}, configurer.ErrInvalid},
		"share zero":             {puts(account("b", 0)), configurer.ErrInvalid},
		"share not a number":     {puts(account("b", math.NaN())), configurer.ErrInvalid},
		"infinite share":         {puts(account("b", math.Inf(1))), configurer.ErrInvalid},
		"no ID":                  {puts(account("", 1)), configurer.ErrInvalid},
		"key of another account": {puts(account("b", 1, hash)), configurer.ErrInvalid},
		"account put twice":      {puts(account("b", 1), account("b", 2)), configurer.ErrInvalid},
		"target without slots":   {configurer.Delta{Base: 5, Version: 6, PutTargets: []configurer.Target{{ID: "t", Address: "h:1"}}}, configurer.ErrInvalid},
		"operator without key":   {configurer.Delta{Base: 5, Version: 6, PutOperators: []configurer.Operator{{Name: "o"}}}, configurer.ErrInvalid},
	} {
		if got, err := c.WithDelta(tc.delta); !errors.Is(err, tc.want) || got.Version() != 5 {
			t.Errorf("%s: version %d, error %v, want %v", name, got.Version(), err, tc.want)
		}
	}
	moved, err := c.WithDelta(puts(account("a", 1), account("b", 1, hash)))
	if owner, _ := moved.AccountByKeyHash(hash); err != nil || owner.ID != "b" {
		t.Errorf("a key that moves within one change belongs to %q: %v", owner.ID, err)
	}
}

// largeConfig returns a configuration of the size that the project is designed
// for: 19,000 accounts and 3,300 targets.
func largeConfig(b *testing.B) configurer.Config {
	b.Helper()
	var accounts []configurer.Account
	var targets []configurer.Target
	for i := range 19_000 {
		accounts = append(accounts, configurer.Account{
			ID: fmt.Sprintf("account-%05d", i), Name: fmt.Sprintf("Client account %d", i), Share: 1 + float64(i%7),
			KeyHashes: []string{configurer.KeyHash(fmt.Sprint(i))}, Pools: []string{"model-01", "model-02"}, QueueLimit: 64,
		})
	}
	for i := range 3_300 {
		targets = append(targets, configurer.Target{
			ID: fmt.Sprintf("target-%04d", i), DataCentre: fmt.Sprintf("dc-%d", i%4), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Kind: configurer.KindEngine, Pools: []string{fmt.Sprintf("model-%02d", i%16)}, Slots: 32, State: configurer.StateActive,
		})
	}
	c, err := configurer.New(1, accounts, targets, nil)
	if err != nil {
		b.Fatal(err)
	}
	return c
}

func BenchmarkWithDelta(b *testing.B) {
	c := largeConfig(b)
	account, _ := c.Account("account-09999")
	target, _ := c.Target("target-0999")
	change := configurer.Delta{ID: "6f1d1a0e5b7c4d21", Author: "haruka", Time: time.Unix(1_780_000_000, 0).UTC(), Base: 1, Version: 2}
	addKey, drain := change, change
	addKey.PutAccounts = []configurer.Account{account.WithKeyHash(configurer.KeyHash("new"))}
	drain.PutTargets = []configurer.Target{target.WithState(configurer.StateDraining)}
	for name, d := range map[string]configurer.Delta{"account": addKey, "drain": drain} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.WithDelta(d); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded(b, d))), "bytes/delta")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	c := largeConfig(b)
	body := []byte(encoded(b, c))
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			encoded(b, c)
		}
		b.ReportMetric(float64(len(body)), "bytes")
	})
	b.Run("load", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var loaded configurer.Config
			if err := json.Unmarshal(body, &loaded); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("retained", func(b *testing.B) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			var loaded configurer.Config
			if err := json.Unmarshal(body, &loaded); err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(loaded)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heapBytes")
	})
	b.Run("lookup", func(b *testing.B) {
		hash := configurer.KeyHash("9999")
		for b.Loop() {
			if _, ok := c.AccountByKeyHash(hash); !ok {
				b.Fatal("not found")
			}
		}
	})
}

// Guards against versions that modify each other, and against data races between
// goroutines that read a version and derive others from it.
func TestVersionsAreIndependent(t *testing.T) {
	var base configurer.Delta
	for i := range 500 {
		base.PutAccounts = append(base.PutAccounts, configurer.Account{ID: fmt.Sprintf("a%03d", i), Share: 1})
	}
	base.Version = 1
	first, err := configurer.Config{}.WithDelta(base)
	if err != nil {
		t.Fatal(err)
	}
	before := encoded(t, first)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			c := first
			for k := range 50 {
				d := configurer.Delta{Base: c.Version(), Version: c.Version() + 1, RemoveAccounts: []string{fmt.Sprintf("a%03d", 8*k+i)}}
				d.PutAccounts = []configurer.Account{{ID: fmt.Sprintf("b%d-%d", i, k), Share: 1}, {ID: fmt.Sprintf("a%03d", (8*k+i+1)%500), Share: 2}}
				var err error
				if c, err = c.WithDelta(d); err != nil {
					t.Error(err)
				}
			}
			if _, ok := c.Account(fmt.Sprintf("b%d-0", (i+1)%8)); ok {
				t.Error("a version has a row of another one")
			}
			if encoded(t, first) != before {
				t.Error("the first version has changed")
			}
		})
	}
	group.Wait()
}
