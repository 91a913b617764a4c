package committer_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
)

// Guards against a configuration that is lost together with its newest snapshots,
// and against compaction that deletes what recovery needs or deletes nothing.
func TestLoadRecoversFromOlderSnapshots(t *testing.T) {
	m := newMemory()
	want := grow(t, m, 33)
	var keys []string
	keys, _ = store{m}.List(context.Background(), "")
	if len(keys) != 3 || !strings.HasSuffix(keys[0], "20") {
		t.Fatalf("snapshots %v", keys)
	}
	if _, kept := m.rows["config/change/00000000000000000020"]; kept {
		t.Error("a change row that no kept snapshot needs was not deleted")
	}
	check := func(damage string) {
		if got := load(t, m); got.Digest() != want.Digest() || got.Version() != want.Version() {
			t.Errorf("%s: version %d, want %d", damage, got.Version(), want.Version())
		}
	}
	check("all snapshots intact")
	intact := bytes.Clone(m.objects[keys[2]])
	m.objects[keys[2]][len(m.objects[keys[2]])-9] ^= 1
	check("newest snapshot damaged")
	delete(m.objects, keys[2])
	check("newest snapshot missing")
	m.objects[keys[1]] = m.objects[keys[0]]
	check("second snapshot replaced by an older one")
	m.down = true
	if _, err := newCommitter(m).Load(context.Background()); !errors.Is(err, provider.ErrUnavailable) || errors.Is(err, committer.ErrDamaged) {
		t.Errorf("with the object store down: %v", err)
	}
	m.down = false
	delete(m.objects, keys[0])
	if _, err := newCommitter(m).Load(context.Background()); !errors.Is(err, committer.ErrDamaged) {
		t.Errorf("without a readable snapshot: %v", err)
	}
	m.objects[keys[2]] = bytes.Replace(intact, []byte(`"sha256":"`), []byte(`"sha256":"0`), 1)
	if _, err := newCommitter(m).Load(context.Background()); !errors.Is(err, committer.ErrDamaged) {
		t.Errorf("with a snapshot that does not match its checksum: %v", err)
	}
}

// Guards against compaction that counts snapshots without checking that they are
// readable.
func TestCompactionDoesNotCountDamagedSnapshots(t *testing.T) {
	m := newMemory()
	grow(t, m, 12)
	for key := range m.objects {
		m.objects[key] = []byte("{}\n")
	}
	want := grow(t, m, 24)
	for key := range m.objects {
		m.objects[key] = nil
	}
	if got := load(t, m); got.Digest() != want.Digest() {
		t.Errorf("version %d, want %d", got.Version(), want.Version())
	}
}

// Guards against a Poll that misses changes, goes back after a stale read or does
// not report compacted rows.
func TestPoll(t *testing.T) {
	m, ctx := newMemory(), context.Background()
	grow(t, m, 33)
	for _, tc := range []struct {
		after uint64
		want  int
		err   error
	}{{33, 0, nil}, {32, 1, nil}, {20, 13, nil}, {19, 0, committer.ErrCompacted}, {34, 0, committer.ErrStaleRead}} {
		deltas, err := newCommitter(m).Poll(ctx, tc.after)
		if len(deltas) != tc.want || !errors.Is(err, tc.err) {
			t.Errorf("after %d: %d deltas, error %v", tc.after, len(deltas), err)
		}
	}
	m.reads["config/head"] = provider.ErrUnavailable
	if _, err := newCommitter(m).Poll(ctx, 3); !errors.Is(err, provider.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}

// Guards against a history in the wrong order or longer than its limit.
func TestHistoryIsNewestFirst(t *testing.T) {
	m := newMemory()
	grow(t, m, 12)
	records, err := newCommitter(m).History(context.Background(), 3)
	if err != nil {
		t.Fatal(err)
	}
	var versions []uint64
	for _, r := range records {
		versions = append(versions, r.To)
	}
	if !slices.Equal(versions, []uint64{12, 11, 10}) {
		t.Errorf("versions %v", versions)
	}
}

func BenchmarkRecovery(b *testing.B) {
	m, large := newMemory(), configurer.Delta{Author: "mei"}
	for i := range 19_000 {
		large.PutAccounts = append(large.PutAccounts, configurer.Account{
			ID: fmt.Sprintf("account-%05d", i), Name: fmt.Sprintf("Client account %d", i), Share: 1 + float64(i%7),
			KeyHashes: []string{configurer.KeyHash(fmt.Sprint(i))}, Pools: []string{"model-01", "model-02"}, QueueLimit: 64})
	}
	c := committer.New(committer.Options{Table: m, Objects: store{m}, SnapshotEvery: 1})
	if _, _, err := c.Commit(context.Background(), configurer.Config{}, large, "sheet apply"); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := c.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	for _, object := range m.objects {
		b.ReportMetric(float64(len(object)), "snapshotBytes")
	}
	b.ReportMetric(float64(len(m.rows["config/change/00000000000000000001"].Value)), "changeBytes")
}
