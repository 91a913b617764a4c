package placer_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
)

// Guards against requests, retries and copies of KV cache that use a target of an evacuated
// data centre, for engines and plain services, against streams there that are no longer
// counted, and against losing what is known about the targets until they come back.
func TestEvacuatedTargetsAreNotChosen(t *testing.T) {
	f := newFleetWithCopySpeed(2, 100*speed) // engines in d0, services in d0 and d1
	now := time.Second
	running := newPrompt("stream", 2000, 100)
	stream := place(t, f, now, running, defaultConstraints)
	f.RecordClosure("s0", 0, now+time.Minute)
	f.SetEvacuated([]string{"d0"})
	if n := f.Targets("model"); n != 0 {
		t.Errorf("%d engines may get requests, want none", n)
	}
	if c, ok := f.Choose(now, newPrompt("a", 2000, 100), defaultConstraints); ok {
		t.Errorf("engine %s was chosen", c.Target.ID)
	}
	for i := range 50 {
		r := placer.Request{ID: uint64(1000 + i), Service: "desk", Retry: i%2 == 1}
		if c, ok := f.Choose(now, r, defaultConstraints); !ok || c.Target.ID != "s1" {
			t.Fatalf("%q was chosen, %t, want s1", c.Target.ID, ok)
		}
	}
	loads := f.TakeLoads(now, true)
	if len(loads) != 1 || loads[0].Target != placer.KeyOf(stream.Target.ID) || loads[0].Running != 1 {
		t.Errorf("loads %+v, want the stream at %s", loads, stream.Target.ID)
	}
	f.RecordEnd(now, running.ID, placer.Complete)
	f.SetEvacuated([]string{"d1"})
	if _, ok := f.Choose(now, placer.Request{ID: 1, Service: "desk"}, defaultConstraints); ok {
		t.Error("the closure of a target was forgotten during its evacuation")
	}
	if _, ok := f.Choose(now, newPrompt("a", 2000, 100), defaultConstraints); !ok {
		t.Error("no engine may be used after the end of the evacuation")
	}
}
