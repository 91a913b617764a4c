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
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// network delivers the reports that controllers send to each other.
type network struct {
	mutex sync.Mutex
	nodes map[string]*testController
	// sent counts the reports by sender and recipient. loads holds the number of
	// running requests at the target that each recipient was last told of, by sender
	// or, for sums, by group.
	sent  map[string]map[string]int
	loads map[string]map[string]int
}

func (n *network) send(from string, r controller.Report, to []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, name := range to {
		if n.sent[from] == nil {
			n.sent[from] = map[string]int{}
		}
		n.sent[from][name]++
		if n.loads[name] == nil {
			n.loads[name] = map[string]int{}
		}
		for _, l := range r.Loads {
			key := from
			if r.Group.Count > 0 {
				key = fmt.Sprint(r.Group)
			}
			n.loads[name][key] = l.Running
		}
		if node := n.nodes[name]; node != nil {
			go node.Received(controller.PeerReport{Peer: from, Incarnation: 1, Report: r})
		}
	}
}

// otherNames returns the names of all daemons of a fleet except the one with index
// self.
func otherNames(self, daemons int) []string {
	var names []string
	for i := range daemons {
		if i != self {
			names = append(names, fmt.Sprintf("h-%d", i))
		}
	}
	return names
}

// Load: a large fleet. Guards against daemons that do not learn of each other or of
// the work of others, and against reports from every daemon to every other one.
func TestLargeFleetExchangesSums(t *testing.T) {
	const daemons = 48
	n := &network{nodes: map[string]*testController{}, sent: map[string]map[string]int{}, loads: map[string]map[string]int{}}
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprintf("h-%d", i))
	}
	for i, self := range names {
		c := start(t, func(o *controller.Options) {
			o.Host = self
			o.SendReport = func(r controller.Report, to []string) { n.send(self, r, to) }
			o.ReportInterval = func(int) time.Duration { return 50 * time.Millisecond }
			o.Peers = func() []string { return otherNames(i, daemons) }
		})
		n.mutex.Lock()
		n.nodes[self] = c
		n.mutex.Unlock()
	}
	results := []placer.Result{placer.Complete, placer.Complete}
	for i := range results {
		p := wait(context.Background(), t, n.nodes["h-0"], uint64(i+1))
		defer p.End(placer.Complete)
	}
	for _, self := range names {
		for n.nodes[self].Stats().Peers < daemons-1 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	for _, self := range names[1:] {
		for {
			n.mutex.Lock()
			reported := 0
			for _, running := range n.loads[self] {
				reported += running
			}
			n.mutex.Unlock()
			if reported > len(results) {
				t.Fatalf("%s received reports of %d requests at the target, %d run", self, reported, len(results))
			}
			if reported == len(results) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	pairs := 0
	for _, to := range n.sent {
		pairs += len(to)
	}
	if pairs > daemons*daemons/2 {
		t.Errorf("%d daemons send to %d recipients in total, want at most half of all pairs", daemons, pairs)
	}
}

// Load: a large fleet, in which few daemons read the configuration from the store.
// Guards against store readers that do not send a new configuration to the others,
// and against other daemons that send it, too.
func TestStoreReadersForwardConfigurations(t *testing.T) {
	const daemons = 40
	var sent atomic.Int64
	senders := 0
	for i := range daemons {
		var clock atomic.Int64 // stands still, so that no peer times out
		c := start(t, func(o *controller.Options) {
			o.Host = fmt.Sprintf("h-%d", i)
			o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
			o.SendConfig = func(resolver.Config) { sent.Add(1) }
			o.Peers = func() []string { return otherNames(i, daemons) }
		})
		for _, p := range otherNames(i, daemons) {
			c.Received(controller.PeerReport{Peer: p, Incarnation: 1})
		}
		for c.Stats().Peers < daemons-1 {
			time.Sleep(time.Millisecond)
		}
		clock.Store(int64(2 * time.Second)) // the next report is a full one
		for !c.Freshness().Grouped {
			time.Sleep(time.Millisecond)
		}
		before := sent.Load()
		initial, _ := c.Current()
		c.ReceivedConfig(resolver.New(resolver.Content{Version: initial.Version() + 1}))
		c.SetConfig(0, resolver.New(resolver.Content{Version: initial.Version() + 2}))
		for {
			if current, _ := c.Current(); current.Version() == initial.Version()+2 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		switch n := sent.Load() - before; {
		case n == 1:
			senders++
		case n > 1:
			t.Errorf("a daemon sent one configuration %d times, want at most once", n)
		}
	}
	if senders != 2 {
		t.Errorf("%d of %d daemons forwarded the configuration that they read, want the 2 store readers", senders, daemons)
	}
}

// Load: all daemons of a fleet start at once. Guards against a burst of store reads
// by daemons that have not heard from each other yet, and against a fleet without
// store readers because the listed daemons that should read are not running.
func TestStartingDaemonsDoNotAllReadTheStore(t *testing.T) {
	const daemons = 9
	readers := 0
	for i := range daemons {
		var clock atomic.Int64
		c := start(t, func(o *controller.Options) {
			o.Host = fmt.Sprintf("h-%d", i)
			o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
			o.Peers = func() []string { return otherNames(i, daemons) }
		})
		if c.Freshness().Reader {
			readers++
		}
		clock.Store(int64(3 * time.Second)) // the start phase is over and no peer has reported
		for !c.Freshness().Reader {
			time.Sleep(time.Millisecond)
		}
	}
	if readers != 2 {
		t.Errorf("%d of %d daemons read the store at the start, want 2", readers, daemons)
	}
}

// Guards against a daemon that keeps relying on its peers although none of them has
// asked the store for the configuration: they only confirm it to each other, or
// read only the registry.
func TestConfigAgeIsNotForwardedIndefinitely(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(10 * time.Second))
	c := start(t, func(o *controller.Options) { o.Clock = func() time.Duration { return time.Duration(clock.Load()) } })
	report := func(s controller.ConfigState) time.Duration {
		c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{Config: s}})
		peers := c.Stats().Peers
		for peers == 0 {
			time.Sleep(time.Millisecond)
			peers = c.Stats().Peers
		}
		wait(context.Background(), t, c, uint64(s.Version)+uint64(s.Age)).End(placer.Complete) // the event of the report has been applied before
		return c.Freshness().ConfigConfirmedAt
	}
	state := controller.ConfigState{Version: 1, Confirmed: true, Age: time.Second, Hops: 1}
	if at := report(state); at != 9*time.Second {
		t.Errorf("configuration confirmed at %v, want 9 s", at)
	}
	for _, s := range []controller.ConfigState{
		{Version: 1, Confirmed: true, Age: time.Millisecond, Hops: 2}, // forwarded too often
		{Version: 1, Age: 2 * time.Millisecond},                       // never confirmed
		{Version: 0, Confirmed: true, Age: 3 * time.Millisecond},      // older version
	} {
		if at := report(s); at != 9*time.Second {
			t.Errorf("%+v: configuration confirmed at %v, want 9 s", s, at)
		}
	}
	clock.Store(int64(20 * time.Second))
	c.SetRegistry(20*time.Second, 2, []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}})
	if at := report(controller.ConfigState{}); at != 9*time.Second {
		t.Errorf("configuration confirmed at %v after a read of only the registry, want 9 s", at)
	}
	c.SetWatching(true)
	for c.Freshness().ConfigConfirmedAt != 20*time.Second {
		time.Sleep(time.Millisecond) // updated with the next report
	}
}

// Guards against ages of the registry state that stay small because daemons forward
// them in a circle without the transmission time. A daemon would keep using targets
// that have left.
func TestRegistryAgeIsNotForwardedIndefinitely(t *testing.T) {
	c := start(t)
	digest := registrar.Digest([]registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}})
	for c.Freshness().RegistryConfirmedAt == 0 && !c.Ready() {
		time.Sleep(time.Millisecond)
	}
	report := func(hops int) time.Duration {
		before := c.Freshness().RegistryConfirmedAt
		time.Sleep(2 * time.Millisecond)
		c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{
			Registry: controller.RegistryState{Revision: 1, Digest: digest, Hops: hops},
		}})
		for range 50 {
			if c.Freshness().RegistryConfirmedAt > before {
				break
			}
			time.Sleep(time.Millisecond)
		}
		return c.Freshness().RegistryConfirmedAt - before
	}
	if report(0) <= 0 || report(1) <= 0 {
		t.Error("an age that was forwarded at most once was ignored")
	}
	if report(2) > 0 || report(7) > 0 {
		t.Error("an age that was forwarded twice or more was accepted")
	}
}
