package table

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/emulator/fault"
)

// Guards against lists that omit, repeat or misplace rows, and against transactions
// that apply in part.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := New(Settings{}), map[string]uint64{}
		key := rapid.SampledFrom([]string{"a", "a/1", "a/2", "a/10", "b", "b/1"})
		for range rapid.IntRange(1, 30).Draw(t, "transactions") {
			c := Condition{Key: key.Draw(t, "condition"), Revision: rapid.Uint64Range(0, 5).Draw(t, "revision")}
			put, remove := key.Draw(t, "put"), key.Draw(t, "delete")
			revision, _, ok := table.Transact(Transaction{Conditions: []Condition{c}, Puts: []Row{{Key: put}}, Deletes: []string{remove}})
			if ok != (model[c.Key] == c.Revision) {
				t.Fatalf("condition %+v on %v gave %v", c, model, ok)
			}
			if ok {
				model[put] = revision
				delete(model, remove)
			}
		}
		prefix, after := rapid.SampledFrom([]string{"", "a", "a/", "b"}).Draw(t, "prefix"), key.Draw(t, "after")
		var want, got []string
		for _, k := range slices.Sorted(maps.Keys(model)) {
			if strings.HasPrefix(k, prefix) && k > after {
				want = append(want, k)
			}
		}
		for _, r := range table.List(prefix, after, 100) {
			got = append(got, r.Key)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("list %q after %q: %v, want %v", prefix, after, got, want)
		}
	})
}

func postTransaction(url, body string) (int, error) {
	res, err := http.Post(url+"/v1/transactions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

// Guards against a lost response to a transaction that was not applied, and against
// an outage in which a refused transaction is applied.
func TestTransactionAppliesOnLostResponseButNotInOutage(t *testing.T) {
	table := New(Settings{WritesPerSecond: 10})
	server := httptest.NewServer(table)
	defer server.Close()
	one, refuse := 1, fault.OutageRefuse
	table.Faults().Apply(fault.Change{LoseAnswers: &one})
	if status, err := postTransaction(server.URL, `{"conditions":[{"key":"a/b","revision":0}],"puts":[{"key":"a/b","value":"eA=="}]}`); err == nil {
		t.Fatalf("answered with %d", status)
	}
	if row, ok := table.Read("a/b"); !ok || string(row.Value) != "x" {
		t.Fatalf("row %+v", row)
	}
	table.Faults().Apply(fault.Change{Outage: &refuse})
	if status, err := postTransaction(server.URL, `{"deletes":["a/b"]}`); err != nil || status != http.StatusServiceUnavailable {
		t.Fatalf("status %d: %v", status, err)
	}
	if _, ok := table.Read("a/b"); !ok {
		t.Fatal("the refused transaction was applied")
	}
}

// Guards against a rate limit that admits more requests than configured.
func TestRateIsBounded(t *testing.T) {
	r, now, taken := NewRate(100), time.Now(), 0
	for i := range 10000 {
		if r.Take(now.Add(time.Duration(i) * 100 * time.Microsecond)) {
			taken++
		}
	}
	if taken < 100 || taken > 110 {
		t.Fatalf("took %d in one second", taken)
	}
}

// Guards against stale reads that return a newer state than asked for, with which
// tests of stale reads would pass without testing anything.
func TestStaleReadReturnsStateAtTime(t *testing.T) {
	table := New(Settings{})
	table.Transact(Transaction{Puts: []Row{{Key: "k", Value: []byte("old")}}})
	then := time.Now()
	table.Transact(Transaction{Puts: []Row{{Key: "k", Value: []byte("new")}}})
	if row, ok := table.rowAt("k", then); !ok || string(row.Value) != "old" {
		t.Fatalf("row %+v", row)
	}
	if _, ok := table.rowAt("k", then.Add(-time.Hour)); ok {
		t.Fatal("the row existed an hour ago")
	}
}
