package placer_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
)

// Guards against BUDGET of 2026-12-05: a target that turns this daemon away for some time is
// chosen before its end, or never again, or not after it has started anew.
func TestClosedTargetsAreNotChosen(t *testing.T) {
	f := placer.New(placer.Settings{DataCentre: "d", Policy: placer.ShortestExpectedTime})
	a := registrar.Entry{ID: "a", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Incarnation: 1, Slots: 100}
	b := a
	b.ID = "b"
	f.SetTargets([]registrar.Entry{a, b})
	chosen := func(now time.Duration) string {
		c, _ := f.Choose(now, placer.Request{ID: 1, Service: "s"}, placer.Constraints{FirstEventBudget: time.Second})
		return c.Target.ID
	}
	if !f.RecordClosure("a", 1, 5*time.Second) || f.RecordClosure("a", 1, 4*time.Second) || f.RecordClosure("b", 2, time.Hour) || f.RecordClosure("c", 1, time.Hour) {
		t.Error("a closure is news if it is longer and that of a known target")
	}
	for now := range 5 {
		if got := chosen(time.Duration(now) * time.Second); got != "b" {
			t.Errorf("%q chosen at %d s, want b", got, now)
		}
	}
	if in := f.ReopensIn(0, "s"); in != 0 {
		t.Errorf("reopens in %v although b is open", in)
	}
	f.RecordClosure("b", 1, 7*time.Second)
	if got, in := chosen(3*time.Second), f.ReopensIn(3*time.Second, "s"); got != "" || in != 2*time.Second {
		t.Errorf("%q chosen, reopens in %v; want none and 2 s", got, in)
	}
	if got := chosen(5 * time.Second); got != "a" {
		t.Errorf("%q chosen at 5 s, want a", got)
	}
	b.Incarnation = 2
	f.SetTargets([]registrar.Entry{b})
	if got := chosen(5 * time.Second); got != "b" {
		t.Errorf("%q chosen after b has started anew", got)
	}
}
