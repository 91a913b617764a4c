package configurer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
)

// TestMain fixes the seed so that every run gives the same result; -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// recorder records the failure of a property instead of failing the test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) FailNow()              { r.failed = true; runtime.Goexit() }

// requireCaught fails the test if the property holds for a broken variant, which
// means that the property does not detect the fault.
func requireCaught(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	r, done := &recorder{TB: t}, make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	if !r.failed {
		t.Error("the property holds for the broken variant")
	}
}

func drawConfig(t *rapid.T, version uint64) configurer.Config {
	pools := []string{"large", "orders", "small"}
	var accounts []configurer.Account
	var targets []configurer.Target
	var operators []configurer.Operator
	for i := range 6 {
		if rapid.Bool().Draw(t, "account") {
			accounts = append(accounts, configurer.Account{
				ID: fmt.Sprintf("a%d", i), Share: rapid.SampledFrom([]float64{0.5, 1, 4}).Draw(t, "share"),
				KeyHashes: []string{configurer.KeyHash(fmt.Sprint(i, rapid.IntRange(0, 1).Draw(t, "key")))}, Pools: pools[:1],
			})
		}
		if rapid.Bool().Draw(t, "target") {
			targets = append(targets, configurer.Target{
				ID: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 8000+i), Kind: configurer.KindEngine,
				Pools: rapid.SliceOfN(rapid.SampledFrom(pools), 1, 2).Draw(t, "pools"), Slots: 8,
				State: rapid.SampledFrom([]configurer.State{configurer.StateActive, configurer.StateDraining}).Draw(t, "state"),
			})
		}
	}
	if rapid.Bool().Draw(t, "operator") {
		operators = append(operators, configurer.Operator{Name: "mei", KeyHash: configurer.KeyHash("m"), Role: configurer.RoleEditor})
	}
	c, err := configurer.New(version, accounts, targets, operators)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// drawHistory returns the configurations of versions 0 to n and the n deltas
// between them.
func drawHistory(t *rapid.T) ([]configurer.Config, []configurer.Delta) {
	configs, deltas := []configurer.Config{{}}, []configurer.Delta(nil)
	for v := range rapid.Uint64Range(1, 8).Draw(t, "versions") {
		next := drawConfig(t, v+1)
		d := configurer.Difference(configs[v], next)
		d.ID, d.Version = fmt.Sprintf("c%d", v+1), v+1
		configs, deltas = append(configs, next), append(deltas, d)
	}
	return configs, deltas
}

func encoded(t rapid.TB, v any) string {
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// requireSame compares the rows and every index that is derived from them.
func requireSame(t rapid.TB, got, want configurer.Config) {
	if g, w := encoded(t, got), encoded(t, want); g != w {
		t.Fatalf("configuration\n%s, want\n%s", g, w)
	}
	if got.Digest() != want.Digest() {
		t.Fatalf("version %d has digest %s, want %s", got.Version(), got.Digest(), want.Digest())
	}
	if g, w := slices.Collect(got.Pools()), slices.Collect(want.Pools()); !slices.Equal(g, w) {
		t.Fatalf("pools %v, want %v", g, w)
	}
	for pool := range want.Pools() {
		if g, w := encoded(t, got.Pool(pool)), encoded(t, want.Pool(pool)); g != w {
			t.Fatalf("pool %s has %s, want %s", pool, g, w)
		}
	}
	for i := range 6 {
		for key := range 2 {
			hash := configurer.KeyHash(fmt.Sprint(i, key))
			g, okG := got.AccountByKeyHash(hash)
			w, okW := want.AccountByKeyHash(hash)
			if okG != okW || !g.Equal(w) {
				t.Fatalf("key %d of account %d belongs to %v, want %v", key, i, g, w)
			}
		}
	}
}
