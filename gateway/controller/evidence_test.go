package controller_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
)

// promptDemand is the demand of a request with shared parts and a part of its own.
func promptDemand(id uint64, shared ...string) receiver.Demand {
	d := demand(id)
	parts := append(shared, fmt.Sprint("own", id))
	d.Request.Parts = placer.NewPromptParts("m", parts, make([]int, len(parts)))
	return d
}

// targets returns registry entries of the service of the tests.
func targets(count int, incarnation int64) []registrar.Entry {
	var entries []registrar.Entry
	for i := range count {
		entries = append(entries, registrar.Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 100, Incarnation: incarnation})
	}
	return entries
}

// crashing makes the probes of a controller find its targets crashed.
func crashing(c **testController) func(*controller.Options) {
	return func(o *controller.Options) {
		o.Probe = func(e registrar.Entry) { go func() { (*c).ProbeFinished(e.ID, controller.ProbeRefused) }() }
	}
}

// refusal returns the reason for which a request is refused, or "" if a target is chosen.
// The request then ends with the result.
func refusal(t *testing.T, c *testController, d receiver.Demand, result placer.Result) queuer.Reason {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p, err := c.Wait(ctx, d)
	switch {
	case errors.Is(err, receiver.ErrRefused):
		return p.Decision().Reason
	case err != nil:
		t.Fatal(err)
	}
	if result == placer.Complete {
		p.FirstEvent()
	}
	p.End(result)
	return ""
}

// Guards against a request that crashes a second target because it is repeated before
// the first crash is known, and against sound requests that are not repeated.
func TestRepetitionWaitsForTheVerdict(t *testing.T) {
	var c *testController
	c = start(t, crashing(&c), func(o *controller.Options) {
		o.ReportInterval = func(int) time.Duration { return 10 * time.Millisecond }
	})
	c.SetRegistry(0, registrar.Read{Moment: registrar.Moment{Revision: 2}, Entries: targets(4, 1)})
	if r := refusal(t, c, promptDemand(1, "all"), placer.Complete); r != "" {
		t.Fatal(r)
	}
	for id, shared := range map[uint64][]string{2: {"all", "deadly"}, 3: {"all"}} {
		d := promptDemand(id, shared...)
		d.Request.ID = 10 * id
		if r := refusal(t, c, d, placer.Broken); r != "" {
			t.Fatal(r)
		}
		d.Request.ID, d.Request.Retry = 10*id+1, true
		r := refusal(t, c, d, placer.Complete)
		if id == 2 && r != queuer.ReasonSuspected {
			t.Errorf("the request with an unknown part is repeated: %q", r)
		}
		if id == 3 && r != "" {
			t.Errorf("the request with known parts is not repeated: %q", r)
		}
	}
}

// Guards against connections that break without a crash and count against the prompts,
// because a fault of the network breaks them or also cuts off the target.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	for _, result := range []controller.ProbeResult{controller.ProbeReached, controller.ProbeUnanswered} {
		testBrokenConnections(t, result)
	}
}

// testBrokenConnections breaks the connections of requests at several targets, one after
// the other, whose probes have the given result.
func testBrokenConnections(t *testing.T, result controller.ProbeResult) {
	t.Helper()
	var c *testController
	var probes sync.WaitGroup
	began := time.Now()
	c = start(t, func(o *controller.Options) {
		o.Clock = func() time.Duration { return 50 * time.Since(began) }
		o.ReportInterval = func(int) time.Duration { return 5 * time.Millisecond }
		o.Probe = func(e registrar.Entry) {
			probes.Add(1)
			go func() { defer probes.Done(); c.ProbeFinished(e.ID, result) }()
		}
	})
	for i := range uint64(6) {
		c.SetRegistry(50*time.Since(began), registrar.Read{Moment: registrar.Moment{Revision: i + 2}, Entries: targets(4, int64(i+1))})
		if r := refusal(t, c, promptDemand(i+1, "all"), placer.Broken); r != "" {
			t.Fatalf("request %d: %s", i+1, r)
		}
		time.Sleep(20 * time.Millisecond) // a second of the daemon's clock
		probes.Wait()
	}
	if n := c.Stats().Quarantined; n != 0 {
		t.Errorf("%d parts are in quarantine", n)
	}
}

// Load: fleets of 6 to 300 daemons, in which each daemon sees one crash. Guards against
// daemons that learn of a part in quarantine later than the users allow, and against a
// daemon that starts anew and does not learn of it at all.
func TestEveryDaemonLearnsOfTheQuarantine(t *testing.T) {
	for _, daemons := range []int{6, 48, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			n := startFleet(t, daemons)
			deadly := quarantiner.PartOf("s", placer.NewPromptParts("m", []string{"deadly"}, []int{1})[0].ID)
			for i := range 2 {
				c := n.nodes[daemonName(i*daemons/2)]
				c.Received(controller.PeerReport{Peer: "seed", Incarnation: 1, Report: controller.Report{Evidence: quarantiner.Evidence{Incidents: []quarantiner.Incident{
					{Part: deadly, Crash: quarantiner.Crash(i + 1), Request: uint64(i + 101), Age: time.Duration(i) * 2 * time.Second},
				}}}})
			}
			began := time.Now()
			for i := range daemons {
				waitUntil(func() bool { return n.nodes[daemonName(i)].Stats().Quarantined == 1 })
			}
			t.Logf("%d daemons after %v of real time", daemons, time.Since(began))
			restarted := n.start(t, 1, daemons, began)
			waitUntil(func() bool { return restarted.Stats().Quarantined == 1 })
		})
	}
}

// Guards against a request without a prompt that crashes a second target in each attempt of
// its caller, and against sound requests that are not repeated after a crash.
func TestWholeRequestIsNotRepeatedAfterTwoCrashes(t *testing.T) {
	var c *testController
	c = start(t, crashing(&c), func(o *controller.Options) {
		o.ReportInterval = func(int) time.Duration { return 10 * time.Millisecond }
	})
	c.SetRegistry(0, registrar.Read{Moment: registrar.Moment{Revision: 2}, Entries: targets(8, 1)})
	id := uint64(0)
	var excluded []string
	send := func(fingerprint uint64, retry bool, result placer.Result) queuer.Reason {
		id++
		d := demand(id)
		d.Request.Fingerprint, d.Request.Retry, d.Request.Excluded = fingerprint, retry, excluded
		p, err := c.Wait(context.Background(), d)
		if errors.Is(err, receiver.ErrRefused) {
			return p.Decision().Reason
		}
		if err != nil {
			t.Fatal(err)
		}
		excluded = append(excluded, p.Decision().Choice.Target.ID)
		if result == placer.Complete {
			p.FirstEvent()
		}
		p.End(result)
		return ""
	}
	const unknown, known = 1, 2
	if r := send(known, false, placer.Complete); r != "" {
		t.Fatal(r)
	}
	for _, fingerprint := range []uint64{unknown, known} {
		for attempt, want := range []queuer.Reason{"", "", queuer.ReasonSuspected} {
			if fingerprint == known {
				want = ""
			}
			if r := send(fingerprint, attempt > 0, placer.Broken); r != want {
				t.Errorf("request %d, attempt %d: %q, want %q; targets %q", fingerprint, attempt+1, r, want, excluded)
			}
		}
	}
}
