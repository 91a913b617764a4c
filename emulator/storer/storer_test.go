package storer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"monsoondeck.example/emulator/storer"
)

func sendCall(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(b)
}

// Guards against a store that differs from the platform: transactions that apply in
// part, calls for changes that never time out, a history that is never dropped, and
// injected faults without effect.
func TestStoreBehavesLikePlatform(t *testing.T) {
	s := storer.New()
	server := httptest.NewServer(s)
	defer server.Close()
	const both = `{"precondition":[{"table-name":"t","part":"","key":"a","row-version":0}],"write":[{"table-name":"t","part":"","key":"a","payload":"eA=="},{"table-name":"t","part":"","key":"b","payload":"eQ=="}]}`
	if status, _ := sendCall(t, http.MethodPost, server.URL+"/rows-tx", both); status != 200 {
		t.Fatal(status)
	}
	if status, _ := sendCall(t, http.MethodPost, server.URL+"/rows-tx", both); status != http.StatusPreconditionFailed {
		t.Errorf("transaction with a false condition: status %d", status)
	}
	if keys := s.Keys("t"); len(keys) != 2 {
		t.Errorf("keys %v", keys)
	}
	if _, page := sendCall(t, http.MethodGet, server.URL+"/rows-feed?table-name=t&after=0&wait-ms=1000", ""); strings.Count(page, `"payload"`) != 2 {
		t.Errorf("changes after version 0: %s", page)
	}
	if status, page := sendCall(t, http.MethodGet, server.URL+"/rows-feed?table-name=t&after=1&wait-ms=1", ""); status != 200 || strings.Contains(page, `"key"`) {
		t.Errorf("call without changes: status %d, body %s", status, page)
	}
	s.Delete("t", "a")
	if _, page := sendCall(t, http.MethodGet, server.URL+"/rows-feed?table-name=t&after=1&wait-ms=1000", ""); !strings.Contains(page, `"deleted":true`) {
		t.Errorf("changes after a deletion: %s", page)
	}
	s.DropHistory()
	if status, _ := sendCall(t, http.MethodGet, server.URL+"/rows-feed?table-name=t&after=1&wait-ms=1000", ""); status != http.StatusGone {
		t.Errorf("changes after a version in the dropped history: status %d", status)
	}
	s.SetFault(storer.Fault{LoseAnswers: true})
	if status, _ := sendCall(t, http.MethodPost, server.URL+"/rows-tx", `{"write":[{"table-name":"t","part":"","key":"c","payload":"eA=="}]}`); status != 0 {
		t.Errorf("lost response: status %d", status)
	}
	if _, ok := s.Row("t", "c"); !ok {
		t.Error("the write whose response was lost was not applied")
	}
	s.SetFault(storer.Fault{Status: http.StatusServiceUnavailable})
	if status, _ := sendCall(t, http.MethodPost, server.URL+"/rows-tx", `{"write":[{"table-name":"t","part":"","key":"d","payload":"eA=="}]}`); status != 503 {
		t.Errorf("write during an outage: status %d", status)
	}
	if _, ok := s.Row("t", "d"); ok {
		t.Error("the write during an outage was applied")
	}
}

// Guards against a store that comes back from a copy with what it should have lost, or that
// answers calls for changes after a version that it does not have.
func TestRestoredStoreLosesWhatWasWrittenSince(t *testing.T) {
	s := storer.New()
	server := httptest.NewServer(s)
	defer server.Close()
	s.Put("kept", "a", []byte("old"))
	s.Put("kept", "gone", nil)
	s.Put("lost", "a", []byte("old"))
	c := s.Copy()
	s.Put("kept", "a", []byte("new"))
	s.Delete("kept", "gone")
	s.Put("lost", "a", []byte("new"))
	s.Put("lost", "b", nil)
	before := s.Put("lost", "c", nil)
	s.Restore(c, "kept")
	if a, _ := s.Row("kept", "a"); string(a.Payload) != "new" || a.Version > before {
		t.Errorf("kept row %+v", a)
	}
	if a, _ := s.Row("lost", "a"); string(a.Payload) != "old" || len(s.Keys("lost")) != 1 || len(s.Keys("kept")) != 1 {
		t.Errorf("lost row %+v, keys %v and %v", a, s.Keys("lost"), s.Keys("kept"))
	}
	if status, _ := sendCall(t, http.MethodGet, server.URL+fmt.Sprintf("/rows-feed?table-name=lost&after=%d&wait-ms=0", before), ""); status != http.StatusGone {
		t.Errorf("changes after a version that was lost: status %d", status)
	}
	response, err := http.Get(server.URL + "/rows-get?table-name=kept")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if era := response.Header.Get("Store-Era"); era != "2" {
		t.Errorf("era %q after the restoration, want 2", era)
	}
}
