package controller_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
)

// Guards against DRAIN of 2026-12-05: a report that waited on its way, at each of up to
// three daemons, made an old state of the registry look as young as at the sending.
func TestLateReportsDoNotMakeOldStatesYoung(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(10 * time.Second))
	c := start(t, func(o *controller.Options) { o.Clock = func() time.Duration { return time.Duration(clock.Load()) } })
	entries := []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}}
	// This daemon reads the registry when the store's clock shows 100 s.
	c.SetRegistry(10*time.Second, registrar.Read{Moment: registrar.Moment{Revision: 1}, StoreTime: 100 * time.Second, Entries: entries})
	clock.Store(int64(15 * time.Second))
	id := uint64(0)
	receive := func(storeTime, age time.Duration) controller.Freshness {
		id++
		c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{
			Config:   controller.ConfigState{Version: 1, Confirmed: true, Age: age, StoreTime: storeTime},
			Registry: controller.RegistryState{Moment: registrar.Moment{Revision: 1}, Digest: registrar.Digest(entries), Age: age, StoreTime: storeTime},
		}})
		wait(context.Background(), t, c, id).End(placer.Complete) // the report has been applied before
		return c.Freshness()
	}
	if f := receive(102*time.Second, 100*time.Millisecond); f.RegistryConfirmedAt != 12*time.Second || f.ConfigConfirmedAt != 12*time.Second {
		t.Errorf("a report that was three seconds late: registry confirmed at %v, configuration at %v; want 12 s", f.RegistryConfirmedAt, f.ConfigConfirmedAt)
	}
	if f := receive(104900*time.Millisecond, 100*time.Millisecond); f.RegistryConfirmedAt != 14900*time.Millisecond || f.ConfigConfirmedAt != 14900*time.Millisecond {
		t.Errorf("a report in time: registry confirmed at %v, configuration at %v; want 14.9 s", f.RegistryConfirmedAt, f.ConfigConfirmedAt)
	}
}

// Guards against a permit that is used although its target has begun to leave since the
// decision, has started again, or the registry has become too old.
func TestPermitEndsWithItsTarget(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(time.Second))
	c := start(t, func(o *controller.Options) {
		o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
		o.MaxRegistryAge = time.Second
	})
	entry := registrar.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}
	revision := uint64(1)
	read := func(e registrar.Entry) {
		revision++
		c.SetRegistry(time.Duration(clock.Load()), registrar.Read{Moment: registrar.Moment{Revision: revision}, Entries: []registrar.Entry{e}})
	}
	changes := map[string]func(){
		"announced in an answer":   func() {},
		"draining in the registry": func() { e := entry; e.Draining = true; read(e) },
		"started again":            func() { e := entry; e.Incarnation++; read(e) },
		"registry is too old":      func() { clock.Add(int64(time.Second + 1)) },
	}
	for name, change := range changes {
		entry.Incarnation += 10
		read(entry)
		p := wait(context.Background(), t, c, revision)
		if !p.TargetUsable() {
			t.Errorf("%s: the target is not usable at first", name)
		}
		if change(); name == "announced in an answer" {
			p.ObserveLeave()
		}
		p.End(placer.Complete)
		waitUntil(func() bool { return !p.TargetUsable() })
	}
}

// lateNews is the time for which each message between daemons waits on its way, and
// maxAge the age up to which the registry may be used, in the time of the test's clocks.
const (
	lateNews = 1500 * time.Millisecond
	maxAge   = 2 * time.Second
)

// Load: a fleet whose messages all wait for 1.5 s. Guards against daemons that go on using
// a target for longer than the registry may be used, because each hop hides the time for
// which the news waited: after three hops it was up to 4.5 s older than stated.
func TestFleetWithLateNewsDoesNotUseOldStates(t *testing.T) {
	for _, daemons := range []int{6, 40, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			entry := registrar.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 100000}
			n := newNetwork()
			n.maxRegistryAge, n.delay = maxAge, lateNews
			n.fill(t, daemons)
			read := func(revision uint64, draining bool) {
				e := entry
				e.Draining = draining
				for _, c := range n.nodes {
					if c.Freshness().Reader {
						now := n.clock()
						c.SetRegistry(now, registrar.Read{Moment: registrar.Moment{Revision: revision}, StoreTime: now + time.Hour, Entries: []registrar.Entry{e}})
					}
				}
			}
			for _, c := range n.nodes { // each daemon reads the store once at its start
				now := n.clock()
				c.SetRegistry(now, registrar.Read{Moment: registrar.Moment{Revision: 1}, StoreTime: now + time.Hour, Entries: []registrar.Entry{entry}})
			}
			for end := n.clock() + 3*time.Second; n.clock() < end; time.Sleep(n.realTime(100 * time.Millisecond)) {
				read(1, false)
			}
			leaving := n.clock()
			for end := leaving + maxAge + 500*time.Millisecond; n.clock() < end; time.Sleep(n.realTime(100 * time.Millisecond)) {
				read(2, true)
			}
			used := 0
			for _, c := range n.nodes {
				ctx, cancel := context.WithTimeout(context.Background(), n.realTime(50*time.Millisecond))
				if p, err := c.Wait(ctx, demand(1<<40)); err == nil {
					used++
					p.End(placer.Complete)
				}
				cancel()
			}
			if used > 0 {
				t.Errorf("%d of %d daemons use the target %v after it began to leave, want none after %v", used, daemons, n.clock()-leaving, maxAge)
			}
		})
	}
}

// Guards against CONFIG of 2026-12-05: daemons that know a later revision of the store than
// it has after it was restored ignore it, and the peers that have read it.
func TestDaemonFollowsPeersIntoANewEra(t *testing.T) {
	var noticed atomic.Uint64
	c := start(t, func(o *controller.Options) { o.NoticeEra = func(era uint64) { noticed.Store(era) } })
	entry := registrar.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}
	before := []registrar.Entry{entry}
	c.SetRegistry(0, registrar.Read{Moment: registrar.Moment{Era: 1, Revision: 40}, Entries: before})
	entry.Draining = true
	after := []registrar.Entry{entry}
	restored := registrar.Moment{Era: 2, Revision: 31}
	c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{
		Registry: controller.RegistryState{Moment: restored, Digest: registrar.Digest(after)},
	}})
	waitUntil(func() bool { return noticed.Load() == 2 && c.Freshness().RegistryBehindSince > 0 })
	c.ReceivedRegistryChange(controller.RegistryChange{Change: registrar.Difference(before, after, restored)})
	waitUntil(func() bool { return c.Freshness().RegistryBehindSince == 0 })
	d := demand(1)
	d.Objective = time.Millisecond
	if _, err := c.Wait(context.Background(), d); err == nil {
		t.Error("the target is used although it leaves by the registry of the new era")
	}
}

// Load: a fleet whose store comes back from an older copy. Guards against CONFIG of
// 2026-12-05: daemons that know later revisions than the store has ignore a target's leave
// that its readers have read, and the changes that they forward.
func TestFleetFollowsARestoredStore(t *testing.T) {
	for _, daemons := range []int{6, 40, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			n := newNetwork()
			n.fill(t, daemons)
			entry := registrar.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 100000}
			for _, c := range n.nodes {
				c.SetRegistry(n.clock(), registrar.Read{Moment: registrar.Moment{Era: 1, Revision: 40}, StoreTime: n.clock() + time.Hour, Entries: []registrar.Entry{entry}})
			}
			for _, c := range n.nodes {
				wait(context.Background(), t, c, 1<<40).End(placer.Complete)
			}
			entry.Draining = true
			restored := n.clock()
			readers := 0
			for _, c := range n.nodes {
				if c.Freshness().Reader {
					readers++
					c.SetRegistry(restored, registrar.Read{Moment: registrar.Moment{Era: 2, Revision: 31}, StoreTime: restored + time.Hour, Entries: []registrar.Entry{entry}})
				}
			}
			if readers != 2 {
				t.Fatalf("%d daemons read the store, want 2", readers)
			}
			for i := range daemons {
				waitUntil(func() bool {
					d := demand(1 << 41)
					d.Objective = time.Millisecond
					p, err := n.nodes[daemonName(i)].Wait(context.Background(), d)
					if err == nil {
						p.End(placer.Complete)
					}
					if err == nil && n.clock()-restored > maxAge {
						t.Fatalf("%s uses the target %v after the readers saw its leave", daemonName(i), n.clock()-restored)
					}
					return err != nil
				})
			}
			t.Logf("%d daemons after %v", daemons, n.clock()-restored)
		})
	}
}
