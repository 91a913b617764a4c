package controller_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// coldConfig limits the requests to cold targets of the service of the tests.
func coldConfig(version uint64) resolver.Config {
	return resolver.New(resolver.Content{Version: version, Services: []resolver.Service{{Name: "s", ColdPerSecond: 20, ColdStart: 20 * time.Second}}})
}

func boundCold(o *controller.Options) {
	o.Cold = placer.ColdBounds{Bounded: true, Overshoot: 1.5, Tolerance: 5}
}

// crashes lets several starts of targets crash under the demands and returns the number of
// parts and requests in quarantine. The entries of the targets state the given WarmUp.
func crashes(t *testing.T, warmUp time.Duration, next func(id uint64) receiver.Demand) int {
	t.Helper()
	var c *testController
	began := time.Now()
	// Ten times as fast as real time, and past the first seconds of the daemon.
	clock := func() time.Duration { return 10*time.Second + 10*time.Since(began) }
	c = start(t, crashing(&c), boundCold, func(o *controller.Options) {
		o.Clock = clock
		o.ReportInterval = func(int) time.Duration { return 5 * time.Millisecond }
	})
	c.SetConfig(clock(), coldConfig(2))
	for i := range uint64(4) {
		entries := targets(4, int64(i+1))
		for j := range entries {
			entries[j].WarmUp = warmUp
		}
		c.SetRegistry(clock(), registrar.Read{Moment: registrar.Moment{Revision: i + 2}, Entries: entries})
		if r := refusal(t, c, next(i+1), placer.Broken); r != "" {
			return c.Stats().Quarantined
		}
		time.Sleep(50 * time.Millisecond) // crashes within 300 ms are not independent
	}
	return c.Stats().Quarantined
}

// Guards against a prompt, or a request that comes again, in quarantine because cold targets
// crashed under more requests than they take. Crashes of warm targets must still be
// evidence.
func TestCrashesOfColdTargetsAreNoEvidence(t *testing.T) {
	for name, next := range map[string]func(id uint64) receiver.Demand{
		"prompts with one part": func(id uint64) receiver.Demand { return promptDemand(id, "subject") },
		"one request": func(id uint64) receiver.Demand {
			d := demand(id)
			d.Request.Fingerprint = 7
			return d
		},
	} {
		if n := crashes(t, 20*time.Second, next); n != 0 {
			t.Errorf("%s: %d in quarantine after crashes of cold targets", name, n)
		}
		if n := crashes(t, 0, next); n == 0 {
			t.Errorf("%s: none in quarantine after crashes of warm targets", name)
		}
	}
}

// Load: a fleet of 48 daemons in three data centres, in which two read the registry.
// Guards against daemons that do not learn that a target has become cold or warm again,
// although nothing else in its entry changes.
func TestAllDaemonsLearnOfColdTargets(t *testing.T) {
	const daemons = 48
	n := newNetwork()
	n.options = boundCold
	n.fill(t, daemons)
	for i := range daemons {
		n.nodes[daemonName(i)].SetConfig(0, coldConfig(2))
	}
	var readers []*testController
	for i := range daemons {
		if c := n.nodes[daemonName(i)]; c.Freshness().Reader {
			readers = append(readers, c)
		}
	}
	if len(readers) == 0 {
		t.Fatal("no daemon reads the registry")
	}
	for i, warmUp := range []time.Duration{time.Hour, 0, time.Hour, 0} {
		entry := registrar.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2, WarmUp: warmUp}
		readers[0].SetRegistry(n.speed*time.Since(n.began), registrar.Read{Moment: registrar.Moment{Revision: uint64(i) + 2}, Entries: []registrar.Entry{entry}})
		want := 0
		if warmUp > 0 {
			want = 1
		}
		for j := range daemons {
			waitUntil(func() bool { return n.nodes[daemonName(j)].Stats().Cold == want })
		}
	}
}

// Guards against requests of a daemon that has just started to a cold target: it does not
// know yet how many others send there.
func TestStartedDaemonsSendNothingToColdTargets(t *testing.T) {
	var mutex sync.Mutex
	now, known := time.Second, true
	c := start(t, boundCold, func(o *controller.Options) {
		o.Clock = func() time.Duration { mutex.Lock(); defer mutex.Unlock(); return now }
		o.FleetKnown = func() bool { mutex.Lock(); defer mutex.Unlock(); return known }
	})
	c.SetConfig(0, coldConfig(2))
	c.SetRegistry(0, registrar.Read{Moment: registrar.Moment{Revision: 2}, Entries: []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2, WarmUp: time.Hour}}})
	granted := make(chan error, 1)
	go func() {
		_, err := c.Wait(context.Background(), demand(1))
		granted <- err
	}()
	for _, step := range []struct {
		now   time.Duration
		known bool
	}{{2 * time.Second, true}, {5 * time.Second, false}} {
		mutex.Lock()
		now, known = step.now, step.known
		mutex.Unlock()
		select {
		case err := <-granted:
			t.Fatal(fmt.Sprint("the request is decided at ", step.now), err)
		case <-time.After(50 * time.Millisecond):
		}
	}
	mutex.Lock()
	known = true
	mutex.Unlock()
	for {
		mutex.Lock()
		now += 10 * time.Millisecond
		mutex.Unlock()
		select {
		case err := <-granted:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Guards against a request to a cold target that is written long after its slot, because it
// waited for its connection or its host was stopped.
func TestPermitEndsWithTheSlot(t *testing.T) {
	clock := &atomic.Int64{}
	clock.Store(int64(10 * time.Second))
	now := func() time.Duration { return time.Duration(clock.Load()) }
	c := start(t, boundCold, func(o *controller.Options) { o.Clock = now })
	c.SetConfig(now(), coldConfig(2))
	entries := targets(1, 1)
	entries[0].WarmUp = 20 * time.Second
	c.SetRegistry(now(), registrar.Read{Moment: registrar.Moment{Revision: 2}, Entries: entries})
	granted := make(chan receiver.Permit, 1)
	go func() { granted <- wait(context.Background(), t, c, 1) }()
	var p receiver.Permit
	for p == nil { // until the daemon has a slot
		clock.Add(int64(time.Millisecond))
		select {
		case p = <-granted:
		case <-time.After(time.Millisecond):
		}
	}
	if !p.TargetUsable() {
		t.Error("the request may not be written although its slot has just opened")
	}
	clock.Add(int64(3 * time.Second))
	if p.TargetUsable() {
		t.Error("the request may be written although its slot has ended")
	}
	p.End(placer.Unsent)
}
