package placer_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
)

// Guards against a pause and a request limit that are forgotten when the entry of the
// target lapses for a while and comes back under the same incarnation, and against those
// of an ended start that are applied to the next one.
func TestFactsSurviveALapsedEntry(t *testing.T) {
	f := placer.New(placer.Settings{DataCentre: "d", Policy: placer.ShortestExpectedTime})
	paused := registrar.Entry{ID: "paused", Service: "a", Address: "127.0.0.1:1", DataCentre: "d", Incarnation: 1, Slots: 100}
	limited := registrar.Entry{ID: "limited", Service: "b", Address: "127.0.0.1:2", DataCentre: "d", Incarnation: 1, Slots: 100}
	f.SetTargets([]registrar.Entry{paused, limited})
	f.RecordClosure("paused", 1, 20*time.Second)
	f.RecordLimit(time.Second, "limited", placer.RequestLimit{Limited: true, PerSecond: 0.5})
	f.SetTargets(nil)
	f.TakeLoads(2*time.Second, true)
	f.SetTargets([]registrar.Entry{paused, limited})
	if c, ok := f.Choose(3*time.Second, placer.Request{ID: 1, Service: "a"}, defaultConstraints); ok {
		t.Errorf("%s is chosen although it wants no requests until 20 s", c.Target.ID)
	}
	if limits := f.Limits(3 * time.Second); limits["limited"] != 0.5 {
		t.Errorf("limits %v in force, want 0.5 per second", limits)
	}
	paused.Incarnation, limited.Incarnation = 2, 2
	f.SetTargets([]registrar.Entry{paused, limited})
	if _, ok := f.Choose(3*time.Second, placer.Request{ID: 2, Service: "a"}, defaultConstraints); !ok {
		t.Error("the pause of the last start holds for the next one")
	}
	if limits := f.Limits(3 * time.Second); len(limits) > 0 {
		t.Errorf("the limits of the last start, %v, hold for the next one", limits)
	}
}
