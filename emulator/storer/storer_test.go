package storer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"monsoondeck.example/emulator/storer"
)

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(b)
}

// Guards against a stand-in that is kinder than the platform: half-applied
// transactions, held calls without an end, history that never goes.
func TestStoreBehavesAsThePlatform(t *testing.T) {
	s := storer.New()
	server := httptest.NewServer(s)
	defer server.Close()
	const both = `{"precondition":[{"table-name":"t","part":"","key":"a","row-version":0}],"write":[{"table-name":"t","part":"","key":"a","payload":"eA=="},{"table-name":"t","part":"","key":"b","payload":"eQ=="}]}`
	if status, _ := call(t, http.MethodPost, server.URL+"/rows-tx", both); status != 200 {
		t.Fatal(status)
	}
	if status, _ := call(t, http.MethodPost, server.URL+"/rows-tx", both); status != http.StatusPreconditionFailed {
		t.Errorf("a transaction whose condition does not hold: %d", status)
	}
	if keys := s.Keys("t"); len(keys) != 2 {
		t.Errorf("keys %v", keys)
	}
	if _, page := call(t, http.MethodGet, server.URL+"/rows-feed?table-name=t&after=0&wait-ms=1000", ""); strings.Count(page, `"payload"`) != 2 {
		t.Errorf("changes %s", page)
	}
	if status, page := call(t, http.MethodGet, server.URL+"/rows-feed?table-name=t&after=1&wait-ms=1", ""); status != 200 || strings.Contains(page, `"key"`) {
		t.Errorf("no changes: %d %s", status, page)
	}
	s.Delete("t", "a")
	if _, page := call(t, http.MethodGet, server.URL+"/rows-feed?table-name=t&after=1&wait-ms=1000", ""); !strings.Contains(page, `"deleted":true`) {
		t.Errorf("a dropped row: %s", page)
	}
	s.Forget()
	if status, _ := call(t, http.MethodGet, server.URL+"/rows-feed?table-name=t&after=1&wait-ms=1000", ""); status != http.StatusGone {
		t.Errorf("forgotten history: %d", status)
	}
	s.SetFault(storer.Fault{LoseAnswers: true})
	if status, _ := call(t, http.MethodPost, server.URL+"/rows-tx", `{"write":[{"table-name":"t","part":"","key":"c","payload":"eA=="}]}`); status != 0 {
		t.Errorf("a lost answer: %d", status)
	}
	if _, ok := s.Row("t", "c"); !ok {
		t.Error("the write whose answer was lost was not done")
	}
	s.SetFault(storer.Fault{Status: http.StatusServiceUnavailable})
	if status, _ := call(t, http.MethodPost, server.URL+"/rows-tx", `{"write":[{"table-name":"t","part":"","key":"d","payload":"eA=="}]}`); status != 503 {
		t.Errorf("a store that is away: %d", status)
	}
	if _, ok := s.Row("t", "d"); ok {
		t.Error("a store that is away applied a write")
	}
}
