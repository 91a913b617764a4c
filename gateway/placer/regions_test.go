package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// regions returns the limit of a route.
func regions(allowed ...string) resolver.Regions {
	return resolver.AllowedRegions(resolver.Route{AllowedRegions: allowed}, resolver.Account{})
}

// newRegionalFleet returns a fleet with the given number of engines in each of the data
// centres be-1 and be-2 (region be), nl-1 (region nl) and xx (no known region).
func newRegionalFleet(perDataCentre int) *placer.Fleet {
	f := placer.New(placer.Settings{
		DataCentre: "nl-1", Policy: placer.ShortestExpectedTime, Regions: map[string]string{"be-1": "be", "be-2": "be", "nl-1": "nl", "de-1": "de"},
	})
	f.SetConfig(resolver.New(resolver.Content{
		Services: []resolver.Service{{Name: "model", Engine: &resolver.Engine{Slots: 64, MemoryTokens: 400000, EventTokens: 6, CopySpeed: 1000}}},
	}))
	var entries []registrar.Entry
	for _, dataCentre := range []string{"be-1", "be-2", "nl-1", "xx"} {
		for i := range perDataCentre {
			id := fmt.Sprint(dataCentre, "-", i)
			entries = append(entries, registrar.Entry{ID: id, Service: "model", Address: id, DataCentre: dataCentre, Slots: 64})
		}
	}
	f.SetTargets(entries)
	return f
}

// Guards against a request that is sent to a target in another region, or to one whose
// region is not known: in a small and a sampled fleet, when the targets in the region are
// busy or have failed the request, and as the source of a copy.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, tc := range map[string]struct {
		allowed resolver.Regions
		want    map[string]bool // regions of the data centres that get requests
	}{
		"no limit":       {regions(), map[string]bool{"be-1": true, "be-2": true, "nl-1": true, "xx": true}},
		"one region":     {regions("be"), map[string]bool{"be-1": true, "be-2": true}},
		"own region":     {regions("nl"), map[string]bool{"nl-1": true}},
		"two regions":    {regions("nl", "be"), map[string]bool{"be-1": true, "be-2": true, "nl-1": true}},
		"without target": {regions("de"), map[string]bool{}},
		"unknown region": {regions("fr", ""), map[string]bool{}},
	} {
		for _, perDataCentre := range []int{1, 2, 100} {
			f := newRegionalFleet(perDataCentre)
			got := map[string]bool{}
			for i := range 2000 {
				r := newPrompt(fmt.Sprint("subject", i%7), 4000, 500)
				r.Regions = tc.allowed
				c, ok := f.Choose(time.Duration(i)*time.Millisecond, r, placer.Constraints{FirstEventBudget: firstEventBudget, Waited: time.Second})
				if !ok {
					break
				}
				f.RecordStart(time.Duration(i)*time.Millisecond, r, c)
				used := []string{c.Target.ID}
				if c.CopySource != "" {
					used = append(used, c.CopySource)
				}
				for _, id := range used {
					got[id[:strings.LastIndexByte(id, '-')]] = true
				}
			}
			for dataCentre := range got {
				if !tc.want[dataCentre] {
					t.Errorf("%s, %d targets each: requests or copies came from %s", name, perDataCentre, dataCentre)
				}
			}
			if len(got) == 0 != (len(tc.want) == 0) {
				t.Errorf("%s, %d targets each: requests went to %v", name, perDataCentre, got)
			}
			r := newPrompt("subject", 4000, 500)
			r.Regions = tc.allowed
			if n := f.TargetsAllowed(r); n != len(tc.want)*perDataCentre {
				t.Errorf("%s: %d targets in an allowed region", name, n)
			}
		}
	}
}

// Guards against a second attempt in another region once all targets in the allowed one have
// failed the request.
func TestRetriesStayInTheirRegions(t *testing.T) {
	f := newRegionalFleet(1)
	r := newPrompt("subject", 4000, 500)
	r.Regions, r.Retry, r.Excluded = regions("be"), true, []string{"be-1-0"}
	if c, ok := f.Choose(0, r, defaultConstraints); !ok || c.Target.ID != "be-2-0" {
		t.Errorf("the second attempt goes to %q", c.Target.ID)
	}
	r.Excluded = append(r.Excluded, "be-2-0")
	if c, ok := f.Choose(0, r, defaultConstraints); ok {
		t.Errorf("the third attempt goes to %s", c.Target.ID)
	}
}
