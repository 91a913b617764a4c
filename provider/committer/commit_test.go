package committer_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
)

func newCommitter(m *memory) *committer.Committer {
	return committer.New(committer.Options{Table: m, Objects: store{m}, SnapshotEvery: 5, Backoff: time.Nanosecond})
}

func change(id string) configurer.Delta {
	return configurer.Delta{ID: id, Author: "op-" + id, PutAccounts: []configurer.Account{{ID: "a-" + id, Share: 1}}}
}

func load(t rapid.TB, m *memory) configurer.Config {
	c, err := newCommitter(m).Load(context.Background())
	if empty := len(m.rows) == 0; errors.Is(err, committer.ErrNoConfig) != empty || (err != nil && !empty) {
		t.Fatalf("load: %+v", err)
	}
	return c
}

// commitProperty checks what Commit reports while operators commit from versions
// that may be old, through a table service that loses, delays and refuses
// transactions: success means that the change is committed, and any error except
// ErrUnknown means that it never will be.
func commitProperty(distort func(*memory)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMemory()
		distort(m)
		reported := map[string]error{}
		seen := []configurer.Config{{}}
		for i := range rapid.IntRange(1, 8).Draw(t, "operators") {
			m.faults = nil
			for range rapid.IntRange(0, 3).Draw(t, "faults") {
				f := fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
				m.faults = append(m.faults, slices.Repeat([]fault{f}, rapid.IntRange(1, 5).Draw(t, "times"))...)
			}
			base := seen[max(0, len(seen)-1-rapid.IntRange(0, 1).Draw(t, "age"))]
			if rapid.Bool().Draw(t, "race") {
				m.before = func() { // another operator commits between read and transaction
					_, _, reported[fmt.Sprint("racer", i)] = newCommitter(m).Commit(context.Background(), load(t, m), change(fmt.Sprint("racer", i)), "race")
				}
			}
			id := fmt.Sprint("main", i)
			_, _, reported[id] = newCommitter(m).Commit(context.Background(), base, change(id), "test")
			m.before = nil
			seen = append(seen, load(t, m))
		}
		m.applyDelayed()
		final := load(t, m)
		for id, err := range reported {
			_, committed := final.Account("a-" + id)
			switch {
			case err == nil && !committed:
				t.Fatalf("commit of %s succeeded, but the change is not committed", id)
			case err != nil && !errors.Is(err, provider.ErrUnknown) && committed:
				t.Fatalf("commit of %s failed with %q, but the change is committed", id, err)
			}
		}
		if int(final.Version()) != final.AccountCount() {
			t.Fatalf("version %d has %d accounts: a change was lost or applied twice", final.Version(), final.AccountCount())
		}
	}
}

// Guards against a wrong result reported to an operator, and against changes that
// are lost or applied twice.
func TestCommitTellsTheTruth(t *testing.T) {
	rapid.Check(t, commitProperty(func(*memory) {}))
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

func TestCommitPropertyCatchesBrokenClients(t *testing.T) {
	for name, distort := range map[string]func(error) error{
		"reports a lost response as unavailable": func(err error) error {
			if errors.Is(err, provider.ErrUnknown) {
				return provider.ErrUnavailable
			}
			return err
		},
		"reports an unavailable service as success": func(err error) error {
			if errors.Is(err, provider.ErrUnavailable) {
				return nil
			}
			return err
		},
	} {
		r, done := &recorder{TB: t}, make(chan struct{})
		go func() {
			defer close(done)
			rapid.Check(r, commitProperty(func(m *memory) { m.distort = distort }))
		}()
		<-done
		if !r.failed {
			t.Errorf("the property holds for a client that %s", name)
		}
	}
}

// Guards against a conflict error that does not say what was changed and by whom.
func TestLoserIsToldWhoWon(t *testing.T) {
	m, ctx := newMemory(), context.Background()
	m.before = func() {
		if _, _, err := newCommitter(m).Commit(ctx, configurer.Config{}, change("first"), "account addkey"); err != nil {
			t.Error(err)
		}
	}
	_, _, err := newCommitter(m).Commit(ctx, configurer.Config{}, change("second"), "sheet apply")
	var conflict *committer.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Changes) != 1 || conflict.Changes[0].PutAccounts[0].ID != "a-first" ||
		!strings.Contains(err.Error(), "version 1 by op-first") {
		t.Fatalf("second commit: %v", err)
	}
	records, err := newCommitter(m).History(ctx, 10)
	if err != nil {
		t.Fatal(err)
	}
	results := map[string]committer.Result{}
	for _, r := range records {
		results[r.Author] = r.Result
	}
	if results["op-first"] != committer.ResultCommitted || results["op-second"] != committer.ResultConflict {
		t.Fatalf("audit trail %v", records)
	}
}

// Guards against committing a change that cannot be applied, which would block
// configuration updates on every daemon.
func TestCommitRefusesWhatCannotBeApplied(t *testing.T) {
	m := newMemory()
	d := change("x")
	d.PutAccounts[0].Share = 0
	_, _, err := newCommitter(m).Commit(context.Background(), configurer.Config{}, d, "test")
	_, _, empty := newCommitter(m).Commit(context.Background(), configurer.Config{}, configurer.Delta{}, "test")
	if !errors.Is(err, configurer.ErrInvalid) || !errors.Is(empty, committer.ErrEmpty) || len(m.rows) != 0 {
		t.Fatalf("errors %v and %v, rows %v", err, empty, m.rows)
	}
}

// Guards against a commit that overwrites a change if the head is lost or the
// changes since its base are compacted, and against a committed change that is
// reported as unknown because its row was compacted.
func TestCommitWithoutRows(t *testing.T) {
	m, ctx := newMemory(), context.Background()
	old := grow(t, m, 1)
	now := grow(t, m, 33)
	if _, _, err := newCommitter(m).Commit(ctx, old, change("late"), "test"); !errors.Is(err, provider.ErrConflict) {
		t.Errorf("from a compacted version: %v", err)
	}
	m.faults, m.reads["config/change/00000000000000000034"] = []fault{faultLostResponse}, provider.ErrNotFound
	if _, _, err := newCommitter(m).Commit(ctx, now, change("compacted"), "test"); err != nil {
		t.Errorf("with a compacted row: %v", err)
	}
	m = newMemory()
	old = grow(t, m, 1)
	m.hold, m.faults = true, slices.Repeat([]fault{faultDelayed}, 5)
	if _, _, err := newCommitter(m).Commit(ctx, old, change("delayed"), "test"); !errors.Is(err, provider.ErrUnknown) {
		t.Errorf("without any response: %v", err)
	}
	grow(t, m, 33)
	m.hold = false
	m.applyDelayed()
	if deltas, err := newCommitter(m).Poll(ctx, 33); err != nil || len(deltas) > 0 {
		t.Errorf("a transaction that arrives late took effect: %v", err)
	}
	m = newMemory()
	grow(t, m, 1)
	delete(m.rows, "config/head")
	if _, err := newCommitter(m).Load(ctx); !errors.Is(err, committer.ErrDamaged) {
		t.Errorf("load without head: %v", err)
	}
	if _, _, err := newCommitter(m).Commit(ctx, configurer.Config{}, change("first"), "test"); !errors.Is(err, provider.ErrConflict) {
		t.Errorf("commit without head: %v", err)
	}
}

// grow commits changes until the configuration has the given version.
func grow(t *testing.T, m *memory, version uint64) configurer.Config {
	t.Helper()
	c := load(t, m)
	for c.Version() < version {
		var err error
		if c, _, err = newCommitter(m).Commit(context.Background(), c, change(fmt.Sprintf("%03d", c.Version()+1)), "test"); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// Guards against a large change that does not fit in one transaction or cannot be
// decoded, and against a commit that fails because of stale reads.
func TestLargeChangeAfterLateRead(t *testing.T) {
	m, ctx, large := newMemory(), context.Background(), configurer.Delta{Author: "mei"}
	for i := range 19_000 {
		large.PutAccounts = append(large.PutAccounts, configurer.Account{
			ID: fmt.Sprintf("account-%05d", i), Share: 1, KeyHashes: []string{configurer.KeyHash(fmt.Sprint(i))}, Pools: []string{"large", "small"}})
	}
	before := grow(t, m, 1)
	late := committer.New(committer.Options{Table: &staleReads{memory: m, left: 2}, Objects: store{m}, Backoff: time.Nanosecond})
	after, _, err := late.Commit(ctx, before, large, "sheet apply")
	if err != nil {
		t.Fatal(err)
	}
	if got := load(t, m); got.Digest() != after.Digest() {
		t.Errorf("loaded %s, committed %s", got.Digest(), after.Digest())
	}
	if size := len(m.rows["config/change/00000000000000000002"].Value); size > 2<<20 {
		t.Errorf("the change has %d bytes", size)
	}
}

// staleReads serves the first reads from the empty state.
type staleReads struct {
	*memory
	// left is the number of stale reads that are still to come.
	left int
}

func (l *staleReads) Read(ctx context.Context, key string) (provider.Row, error) {
	if l.left--; l.left >= 0 {
		return provider.Row{}, provider.ErrNotFound
	}
	return l.memory.Read(ctx, key)
}
