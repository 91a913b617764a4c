package controller_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/registrar"
)

// Guards against a target that was cut off, with a reset, and is taken for crashed for good:
// a sound part stayed in quarantine although the same start of the target answered again.
func TestTargetThatAnswersAgainDidNotCrash(t *testing.T) {
	var c *testController
	var cutOff atomic.Bool
	cutOff.Store(true)
	began := time.Now()
	clock := func() time.Duration { return 50 * time.Since(began) }
	c = start(t, func(o *controller.Options) {
		o.Clock = clock
		o.ReportInterval = func(int) time.Duration { return 5 * time.Millisecond }
		o.Probe = func(e registrar.Entry) {
			result := controller.ProbeReached
			if cutOff.Load() {
				result = controller.ProbeRefused
			}
			go c.ProbeFinished(e.ID, result)
		}
	})
	entry := func(id string) registrar.Entry {
		return registrar.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 100, Incarnation: 1}
	}
	revision := uint64(1)
	publish := func(ids ...string) {
		revision++
		read := registrar.Read{Moment: registrar.Moment{Revision: revision}}
		for _, id := range ids {
			read.Entries = append(read.Entries, entry(id))
		}
		c.SetRegistry(clock(), read)
	}
	ids := []string{"t1", "t2"}
	for i, id := range ids {
		publish(id)
		if r := refusal(t, c, promptDemand(uint64(i+1), "new"), placer.Broken); r != "" {
			t.Fatalf("request %d: %s", i+1, r)
		}
		time.Sleep(20 * time.Millisecond) // a second of the daemon's clock
	}
	waitUntil(func() bool { return c.Stats().Quarantined == 1 })
	cutOff.Store(false)
	for i, id := range ids {
		publish(id)
		c.ProbeFinished(id, controller.ProbeReached)
		if r := refusal(t, c, promptDemand(uint64(10+i), "other"), placer.Complete); r != "" {
			t.Fatalf("%s: %s", id, r)
		}
	}
	answered := clock()
	waitUntil(func() bool { return c.Stats().Quarantined == 0 })
	if d := clock() - answered; d > 5*time.Minute {
		t.Errorf("the part was released %v after the answers, by the end of its quarantine", d)
	}
	var proofs []quarantiner.Proof
	c.mutex.Lock()
	for _, r := range c.reports {
		proofs = append(proofs, r.Evidence.Proofs...)
	}
	c.mutex.Unlock()
	for _, id := range ids {
		if want := (quarantiner.Proof{Crash: quarantiner.CrashOf(id, 1)}); !slices.Contains(proofs, want) {
			t.Error(fmt.Sprint("no report says that ", id, " has not crashed"))
		}
	}
}
