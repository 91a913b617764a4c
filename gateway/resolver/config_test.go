package resolver_test

import (
	"testing"

	"monsoondeck.example/gateway/resolver"
)

func config() resolver.Config {
	return resolver.New(resolver.Content{
		Version: 3,
		Routes: []resolver.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Destinations: []resolver.Destination{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Destinations: []resolver.Destination{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
		},
		Accounts: []resolver.Account{{Name: "forge", Keys: []string{"k1", "k2"}}},
	})
}

// Guards against requests that are run by the service of another route.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	for name, tc := range map[string]struct{ host, path, route string }{
		"short":          {"a.example", "/x/1", "short"},
		"long":           {"a.example", "/x/y/1", "long"},
		"host with port": {"A.example:8080", "/x/y/1", "long"},
		"other host":     {"b.example", "/x/1", ""},
		"no slash":       {"a.example", "/x", ""},
		"prefix only":    {"a.example", "/x/", "short"},
	} {
		r, ok := config().Resolve(tc.host, tc.path)
		if r.Name != tc.route || ok != (tc.route != "") {
			t.Errorf("%s: route %q, %t", name, r.Name, ok)
		}
	}
}

// Guards against requests with unknown keys that are served.
func TestOnlyKnownKeysHaveAnAccount(t *testing.T) {
	for key, account := range map[string]string{"k1": "forge", "k2": "forge", "k3": "", "": ""} {
		if a, ok := config().AccountByKey(key); a.Name != account || ok != (account != "") {
			t.Errorf("key %q: account %q, %t", key, a.Name, ok)
		}
	}
}

// Guards against a split that does not follow the weights.
func TestDestinationsFollowTheWeights(t *testing.T) {
	route, _ := config().Resolve("a.example", "/x/y/1")
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[route.Destination(draw)]++
	}
	if counts["s"] != 900 || counts["t"] != 100 {
		t.Errorf("counts %v", counts)
	}
	none := resolver.Route{Destinations: []resolver.Destination{{Service: "s"}}}
	if none.Destination(7) != "s" {
		t.Error("a route without weights has no destination")
	}
}

// Guards against repeats of requests that may run only once.
func TestOnlyIdempotentRequestsAndResumableStreamsAreRepeatable(t *testing.T) {
	for want, routes := range map[bool][]resolver.Route{
		true:  {{Kind: resolver.Idempotent}, {Kind: resolver.Streaming, Resumable: true}},
		false: {{Kind: resolver.NonIdempotent}, {Kind: resolver.Streaming}, {Kind: resolver.NonIdempotent, Resumable: true}},
	} {
		for _, r := range routes {
			if r.Repeatable() != want {
				t.Errorf("%+v: repeatable %t", r, r.Repeatable())
			}
		}
	}
}
