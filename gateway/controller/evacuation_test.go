package controller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
)

// evacuationBound is the time within which an evacuation must be in force, and
// maxEvacuationAge the age up to which the state of the evacuations may be used.
const (
	evacuationBound  = 5 * time.Second
	maxEvacuationAge = 4 * time.Second
)

// evacuationEntry is the only target, in the data centre d.
var evacuationEntry = registrar.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 100000}

// evacuations returns the state of the store at a moment.
func evacuations(era, revision uint64, dataCentres ...string) registrar.EvacuationState {
	return registrar.NewEvacuationState(registrar.Moment{Era: era, Revision: revision}, dataCentres)
}

// startEvacuating starts a daemon whose clock the test sets.
func startEvacuating(t *testing.T) (*testController, *atomic.Int64) {
	t.Helper()
	clock := &atomic.Int64{}
	clock.Store(int64(10 * time.Second))
	c := start(t, func(o *controller.Options) {
		o.Clock, o.MaxEvacuationAge = func() time.Duration { return time.Duration(clock.Load()) }, maxEvacuationAge
	})
	return c, clock
}

// sends reports whether the daemon sends a request to the target now.
func sends(c *testController) bool {
	d := demand(1 << 42)
	d.Objective = time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	p, err := c.Wait(ctx, d)
	if err != nil {
		return false
	}
	usable := p.TargetUsable()
	p.End(placer.Unsent)
	return usable
}

// Guards against a request that is written to a target whose data centre was evacuated
// after the decision, against a target that is lost for good, and against a daemon that
// uses targets before it knows what is evacuated.
func TestPermitEndsWithAnEvacuation(t *testing.T) {
	c, clock := startEvacuating(t)
	if sends(c) || c.Ready() {
		t.Error("the daemon is ready or sends requests before it knows the evacuations")
	}
	now := time.Duration(clock.Load())
	c.SetEvacuated(now, 0, evacuations(1, 5, "elsewhere"))
	waitUntil(c.Ready)
	p := wait(context.Background(), t, c, 1)
	if !p.TargetUsable() {
		t.Error("the target is not usable although another data centre is evacuated")
	}
	c.SetEvacuated(now, 0, evacuations(1, 6, "d", "elsewhere"))
	waitUntil(func() bool { return !p.TargetUsable() })
	if sends(c) {
		t.Error("a request is sent to an evacuated target")
	}
	c.SetEvacuated(now, 0, evacuations(1, 5)) // late news
	if sends(c) {
		t.Error("late news ends the evacuation")
	}
	c.SetEvacuated(now, 0, evacuations(1, 7))
	waitUntil(p.TargetUsable)
	if !sends(c) {
		t.Error("no request is sent after the end of the evacuation")
	}
	p.End(placer.Complete)
}

// Guards against a daemon that was stopped or cut off for a while, reads the registry, and
// sends requests to a data centre that was evacuated meanwhile.
func TestOldEvacuationsAreNotUsed(t *testing.T) {
	c, clock := startEvacuating(t)
	now := time.Duration(clock.Load())
	c.SetEvacuated(now, 100*time.Second, evacuations(1, 5))
	waitUntil(func() bool { return sends(c) })
	clock.Add(int64(time.Minute))
	now = time.Duration(clock.Load())
	c.SetRegistry(now, registrar.Read{Moment: registrar.Moment{Revision: 9}, StoreTime: 160 * time.Second, Entries: []registrar.Entry{evacuationEntry}})
	if sends(c) {
		t.Error("a request is sent although nobody has confirmed the evacuations for a minute")
	}
	c.OperationsFailed(now - 30*time.Second) // the long poll from before has timed out
	if sends(c) {
		t.Error("a request is sent because a call from before has failed")
	}
	c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{Evacuations: controller.EvacuationReport{
		EvacuationState: evacuations(1, 8, "d"), Known: true, Age: time.Second,
	}}})
	waitUntil(func() bool { return c.Freshness().EvacuationsConfirmedAt == now-time.Second })
	if sends(c) {
		t.Error("a request is sent to an evacuated target")
	}
	c.SetEvacuated(now, 0, evacuations(1, 12))
	waitUntil(func() bool { return sends(c) })
	clock.Add(int64(time.Minute))
	now = time.Duration(clock.Load())
	if sends(c) {
		t.Error("a request is sent although nobody has confirmed the evacuations for another minute")
	}
	c.RegistryFailed(now - 30*time.Second) // a read from before the stop
	if sends(c) {
		t.Error("a request is sent because a read of the registry from before has failed")
	}
	c.RegistryFailed(now) // the store is down: the last known state stays in force
	waitUntil(func() bool { return sends(c) })
}

// Guards against a daemon whose peers report no evacuations, as those of an older build,
// and that stops to send requests although it watches the store itself, and against a long
// poll that counts as pending before it is.
func TestOwnReadsConfirmEvacuationsWhileWatching(t *testing.T) {
	c, clock := startEvacuating(t)
	confirmed := func(want time.Duration) bool {
		c.SetRegistry(time.Duration(clock.Load()), registrar.Read{Moment: registrar.Moment{Era: 1, Revision: 9}, Entries: []registrar.Entry{evacuationEntry}})
		_ = sends(c) // the read has been applied before
		return c.Freshness().EvacuationsConfirmedAt == want
	}
	c.SetEvacuated(10*time.Second, 0, evacuations(1, 5))
	clock.Store(int64(20 * time.Second))
	if !confirmed(10 * time.Second) {
		t.Errorf("confirmed at %v without a long poll", c.Freshness().EvacuationsConfirmedAt)
	}
	c.SetWatching(true, 1)
	clock.Store(int64(30 * time.Second))
	if !confirmed(30*time.Second) || !sends(c) {
		t.Errorf("confirmed at %v, want 30 s", c.Freshness().EvacuationsConfirmedAt)
	}
	clock.Store(int64(40 * time.Second))
	c.SetWatching(true, 2) // the poll is one of another era
	if !confirmed(30 * time.Second) {
		t.Errorf("confirmed at %v by a poll of another era", c.Freshness().EvacuationsConfirmedAt)
	}
}

// Guards against an answer to a long poll, or a report of a peer, that was read long after
// it had been sent and counts as new.
func TestLateAnswersDoNotConfirmEvacuations(t *testing.T) {
	c, clock := startEvacuating(t)
	c.SetRegistry(10*time.Second, registrar.Read{Moment: registrar.Moment{Revision: 9}, StoreTime: 110 * time.Second, Entries: []registrar.Entry{evacuationEntry}})
	clock.Store(int64(60 * time.Second))
	c.SetEvacuated(12*time.Second, 130*time.Second, evacuations(1, 5))
	waitUntil(func() bool { return c.Freshness().EvacuationsConfirmedAt == 30*time.Second })
	if sends(c) {
		t.Error("a request is sent by an answer that is 30 s old")
	}
	c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{Evacuations: controller.EvacuationReport{
		EvacuationState: evacuations(1, 5), Known: true, StoreTime: 135 * time.Second,
	}}})
	waitUntil(func() bool { return c.Freshness().EvacuationsConfirmedAt >= 35*time.Second })
	if at := c.Freshness().EvacuationsConfirmedAt; at != 35*time.Second || sends(c) {
		t.Errorf("confirmed at %v by a report that was 25 s on its way, want 35 s and no request", at)
	}
}
