package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a report that claims a version for daemons that gave no answer.
func TestFleetStatusNamesUnreachableDaemons(t *testing.T) {
	f := started(t)
	daemon := func(answers map[string]any) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer, ok := answers[r.URL.Path]
			if !ok {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_ = json.NewEncoder(w).Encode(answer)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	gone := httptest.NewServer(nil)
	gone.Close()
	goneAddress := strings.TrimPrefix(gone.URL, "http://")
	current := daemon(map[string]any{
		"/v1/status":                map[string]any{"id": "r1", "configVersion": 1, "members": []string{"r1", "r2"}},
		"/v1/requests/q 1":          []map[string]any{{"requestID": "q 1", "waitedNanoseconds": 2_500_000, "target": "quote-01"}},
		"/v1/accounts/dealer-otaru": []map[string]any{{"requestID": "q 2", "account": "dealer-otaru"}},
	})
	f.daemons = []string{current}
	f.want(1, "sora", "fleet", "status")
	f.wantText(&f.err, "members without answer: r2")
	f.daemons = []string{current, daemon(map[string]any{"/v1/status": map[string]any{"id": "r2", "configVersion": 1}})}
	f.want(0, "sora", "fleet", "status")
	f.wantText(&f.out, "r1\tcurrent", "r2\tcurrent")
	f.daemons = append(f.daemons, goneAddress)
	f.want(1, "sora", "fleet", "status")
	f.wantText(&f.out, goneAddress+"\t\tunreachable")
	f.wantText(&f.err, "cannot be reached: "+goneAddress)
	f.want(0, "haruka", "target", "drain", "quote-01")
	f.want(1, "sora", "fleet", "status")
	f.wantText(&f.err, "behind: r1, r2")

	f.want(0, "sora", "request", "explain", "q 1")
	f.wantText(&f.out, "2.5", "quote-01", current)
	f.wantText(&f.err, goneAddress)
	f.want(1, "sora", "request", "explain", "q9")
	f.wantText(&f.err, "not reached: "+goneAddress)
	f.want(0, "sora", "account", "explain", "dealer-otaru")
	f.wantText(&f.err, "share 1", "pool quote")

	f.table = "http://" + goneAddress // the platform is down
	f.want(0, "sora", "request", "explain", "q 1")
	f.want(1, "sora", "fleet", "status")
	f.wantText(&f.err, "accepted version: not known")
}
