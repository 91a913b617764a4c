package resolver_test

import (
	"slices"
	"testing"

	"monsoondeck.example/gateway/resolver"
)

func newConfig() resolver.Config {
	return resolver.New(resolver.Content{
		Version: 3,
		Routes: []resolver.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Destinations: []resolver.Destination{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Destinations: []resolver.Destination{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
		},
		Accounts: []resolver.Account{{Name: "forge", Keys: []string{"k1", "k2"}}},
	})
}

// Guards against sending requests to the service of another route.
func TestResolveChoosesLongestPrefixOfHost(t *testing.T) {
	for name, tc := range map[string]struct{ host, path, route string }{
		"short":          {"a.example", "/x/1", "short"},
		"long":           {"a.example", "/x/y/1", "long"},
		"host with port": {"A.example:8080", "/x/y/1", "long"},
		"other host":     {"b.example", "/x/1", ""},
		"no slash":       {"a.example", "/x", ""},
		"prefix only":    {"a.example", "/x/", "short"},
	} {
		r, ok := newConfig().Resolve(tc.host, tc.path)
		if r.Name != tc.route || ok != (tc.route != "") {
			t.Errorf("%s: route %q, %t", name, r.Name, ok)
		}
	}
}

// Guards against serving requests with unknown keys.
func TestOnlyKnownKeysHaveAnAccount(t *testing.T) {
	for key, account := range map[string]string{"k1": "forge", "k2": "forge", "k3": "", "": ""} {
		if a, ok := newConfig().AccountByKey(key); a.Name != account || ok != (account != "") {
			t.Errorf("key %q: account %q, %t", key, a.Name, ok)
		}
	}
}

// Guards against dividing requests in other proportions than those of the weights.
func TestDestinationsFollowTheWeights(t *testing.T) {
	route, _ := newConfig().Resolve("a.example", "/x/y/1")
	counts := map[string]int{}
	for random := range uint64(1000) {
		counts[route.Destination(random)]++
	}
	if counts["s"] != 900 || counts["t"] != 100 {
		t.Errorf("requests per service %v, want 900 for s and 100 for t", counts)
	}
	none := resolver.Route{Destinations: []resolver.Destination{{Service: "s"}}}
	if none.Destination(7) != "s" {
		t.Error("a route without weights does not use its first destination")
	}
}

// Guards against repeating requests that may run only once.
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

// Guards against a limit of the route or the account that is ignored when both set one, and
// against taking an empty intersection or an unknown region for no limit.
func TestAllowedRegionsOfRouteAndAccountBothApply(t *testing.T) {
	for name, tc := range map[string]struct {
		route, account, allowed []string
		limited                 bool
	}{
		"none":         {nil, nil, []string{"be", "nl", "de", ""}, false},
		"empty":        {[]string{}, []string{}, []string{"be", "nl", "de", ""}, false},
		"route":        {[]string{"be", "nl"}, nil, []string{"be", "nl"}, true},
		"account":      {nil, []string{"nl"}, []string{"nl"}, true},
		"both":         {[]string{"be", "nl"}, []string{"nl", "de"}, []string{"nl"}, true},
		"disjoint":     {[]string{"be"}, []string{"de"}, nil, true},
		"unnamed":      {[]string{""}, nil, nil, true},
		"both unnamed": {[]string{"", "be"}, []string{""}, nil, true},
	} {
		r := resolver.AllowedRegions(resolver.Route{AllowedRegions: tc.route}, resolver.Account{AllowedRegions: tc.account})
		if r.Limited() != tc.limited {
			t.Errorf("%s: limited: %t", name, r.Limited())
		}
		for _, region := range []string{"be", "nl", "de", ""} {
			if want := slices.Contains(tc.allowed, region); r.Allow(region) != want {
				t.Errorf("%s: region %q is allowed: %t", name, region, !want)
			}
		}
	}
}
