// Package table emulates the platform's transactional table service.
package table

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"monsoondeck.example/emulator/fault"
)

// Settings configures a Table.
type Settings struct {
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Row is one row. Value is base64 in JSON. Revision is that of the transaction which
// wrote the row last; in a Put it is ignored.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision,omitempty"`
}

// Condition requires a row to have a revision; 0 requires the row to be absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Transaction is applied completely or not at all. Deletes lists keys.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Row       `json:"puts"`
	Deletes    []string    `json:"deletes"`
}

// Stats counts the requests to a table. OverRate counts those that the rate limits
// refused, Conflicts the transactions with a failed condition.
type Stats struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"`
	OverRate  int `json:"overRate"`
}

// Table is an http.Handler that emulates the table service.
type Table struct {
	faults        *fault.Faults
	reads, writes *Rate

	mu       sync.Mutex
	rows     map[string]Row
	keys     []string // sorted
	revision uint64   // of the last transaction
	stats    Stats
	history  []rowVersion // oldest first
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		faults: fault.New(), rows: map[string]Row{},
		reads: NewRate(s.ReadsPerSecond), writes: NewRate(s.WritesPerSecond),
	}
}

// Faults returns the faults that tests inject into the table.
func (t *Table) Faults() *fault.Faults { return t.faults }

// Stats returns the request counts so far.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Read returns a row and whether it exists. The row is stale if the fault
// StaleReadMs asks for it.
func (t *Table) Read(key string) (Row, bool) {
	stale := t.faults.StaleReads()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rowAt(key, time.Now().Add(-stale))
}

// List returns up to limit rows whose keys have a prefix and come after a key, in key
// order.
func (t *Table) List(prefix, after string, limit int) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, found := slices.BinarySearch(t.keys, max(prefix, after))
	if found && t.keys[i] == after {
		i++
	}
	out := []Row{}
	for ; i < len(t.keys) && len(out) < limit && strings.HasPrefix(t.keys[i], prefix); i++ {
		out = append(out, t.rows[t.keys[i]])
	}
	return out
}

// Transact applies a transaction. It returns the new revision, or the key of
// the first condition that failed.
func (t *Table) Transact(x Transaction) (revision uint64, failed string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range x.Conditions {
		if t.rows[c.Key].Revision != c.Revision {
			t.stats.Conflicts++
			return 0, c.Key, false
		}
	}
	t.revision++
	for _, p := range x.Puts {
		t.recordVersion(p.Key, time.Now())
		t.put(Row{Key: p.Key, Value: p.Value, Revision: t.revision})
	}
	for _, k := range x.Deletes {
		t.recordVersion(k, time.Now())
		t.remove(k)
	}
	return t.revision, "", true
}

func (t *Table) put(r Row) {
	if _, ok := t.rows[r.Key]; !ok {
		i, _ := slices.BinarySearch(t.keys, r.Key)
		t.keys = slices.Insert(t.keys, i, r.Key)
	}
	t.rows[r.Key] = r
}

func (t *Table) remove(key string) {
	if i, ok := slices.BinarySearch(t.keys, key); ok {
		t.keys = slices.Delete(t.keys, i, i+1)
		delete(t.rows, key)
	}
}

// admitRead counts a read and reports whether the rate limit admits it.
func (t *Table) admitRead(now time.Time) bool {
	return t.countRequest(t.reads.Take(now), &t.stats.Reads)
}

// admitWrite counts a write and reports whether the rate limit admits it.
func (t *Table) admitWrite(now time.Time) bool {
	return t.countRequest(t.writes.Take(now), &t.stats.Writes)
}

// countRequest adds one to n, or to Stats.OverRate if the request was not admitted,
// and returns its first argument.
func (t *Table) countRequest(admitted bool, n *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if admitted {
		*n++
	} else {
		t.stats.OverRate++
	}
	return admitted
}

// clampLimit returns the page size for a requested limit, where 0 or less means the
// largest.
func clampLimit(n int) int {
	const maxRows = 1000
	return cmp.Or(min(max(n, 0), maxRows), maxRows)
}
