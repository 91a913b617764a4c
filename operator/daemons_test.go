package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a report that gives a version for daemons that did not respond.
func TestFleetStatusNamesUnreachableDaemons(t *testing.T) {
	f := newConfiguredFleet(t)
	daemon := func(responses map[string]any) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response, ok := responses[r.URL.Path]
			if !ok {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_ = json.NewEncoder(w).Encode(response)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	stopped := httptest.NewServer(nil)
	stopped.Close()
	stoppedAddress := strings.TrimPrefix(stopped.URL, "http://")
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
	f.daemons = append(f.daemons, stoppedAddress)
	f.want(1, "sora", "fleet", "status")
	f.wantText(&f.out, stoppedAddress+"\t\tunreachable")
	f.wantText(&f.err, "cannot be reached: "+stoppedAddress)
	f.want(0, "haruka", "target", "drain", "quote-01")
	f.want(1, "sora", "fleet", "status")
	f.wantText(&f.err, "behind: r1, r2")

	f.want(0, "sora", "request", "explain", "q 1")
	f.wantText(&f.out, "2.5", "quote-01", current)
	f.wantText(&f.err, stoppedAddress)
	f.want(1, "sora", "request", "explain", "q9")
	f.wantText(&f.err, "not reached: "+stoppedAddress)
	f.want(0, "sora", "account", "explain", "dealer-otaru")
	f.wantText(&f.err, "share 1", "pool quote")

	f.table = "http://" + stoppedAddress // the platform is down
	f.want(0, "sora", "request", "explain", "q 1")
	f.want(1, "sora", "fleet", "status")
	f.wantText(&f.err, "accepted version: not known")
}
