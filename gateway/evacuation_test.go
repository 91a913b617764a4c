package gateway

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/settings"
)

// Guards against a daemon that relies on its peers for longer than the bound of an
// evacuation allows, and against calls to the store in deployments without evacuations.
func TestOldEvacuationsAreReadAgain(t *testing.T) {
	for name, c := range map[string]struct {
		bound, confirmed time.Duration
		want             bool
	}{
		"without the setting": {0, time.Second, false},
		"not known yet":       {5 * time.Second, 0, false},
		"recent":              {5 * time.Second, 59 * time.Second, false},
		"old":                 {5 * time.Second, 57 * time.Second, true},
	} {
		g := &Gateway{settings: settings.Settings{EvacuationBound: c.bound}}
		if got := g.evacuationsStale(controller.Freshness{EvacuationsConfirmedAt: c.confirmed}, time.Minute); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}
