package controller_test

import (
	"context"
	"fmt"
	"slices"
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
	// silent holds the daemons whose messages are lost in both directions.
	silent map[string]bool
	// sent counts the reports by sender and recipient. loads holds the number of
	// running requests at the target that each recipient was last told of, by sender,
	// group, or totalReport.
	sent  map[string]map[string]int
	loads map[string]map[string]int
	// began is the real time at which the clocks of the daemons show 0, and speed how fast
	// they run.
	began time.Time
	speed time.Duration
	// realTimeOnly keeps the clocks of a small fleet from running fast.
	realTimeOnly bool
	// delay is the time by the daemons' clocks for which each message waits on its way.
	delay time.Duration
	// maxRegistryAge is Options.MaxRegistryAge of all daemons.
	maxRegistryAge time.Duration
	// options changes the options of all daemons; nil changes none.
	options func(*controller.Options)
	// maxEvacuationAge is Options.MaxEvacuationAge of all daemons.
	maxEvacuationAge time.Duration
}

func newNetwork() *network {
	return &network{
		nodes: map[string]*testController{}, silent: map[string]bool{}, sent: map[string]map[string]int{}, loads: map[string]map[string]int{},
		began: time.Now(), speed: 1,
	}
}

// clock returns the time of the daemons' clocks.
func (n *network) clock() time.Duration { return n.speed * time.Since(n.began) }

// realTime converts a time by the daemons' clocks.
func (n *network) realTime(d time.Duration) time.Duration { return d / n.speed }

// totalReport is the key of totals in network.loads.
const totalReport = "total"

func (n *network) send(from string, r controller.Report, to []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, name := range to {
		if n.silent[from] || n.silent[name] {
			continue
		}
		if n.sent[from] == nil {
			n.sent[from] = map[string]int{}
		}
		n.sent[from][name]++
		if n.loads[name] == nil {
			n.loads[name] = map[string]int{}
		}
		key := from
		switch {
		case r.Total:
			key = totalReport
		case r.Group != "":
			key = string(r.Group)
		}
		if r.Whole {
			n.loads[name][key] = 0
		}
		for _, l := range r.Loads {
			n.loads[name][key] = l.Running
		}
		if node := n.nodes[name]; node != nil {
			time.AfterFunc(n.realTime(n.delay), func() { node.Received(controller.PeerReport{Peer: from, Incarnation: 1, Report: r}) })
		}
	}
}

// sendChange delivers a change of the registry to those that are not silent.
func (n *network) sendChange(from string, c controller.RegistryChange, to []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, name := range to {
		if node := n.nodes[name]; node != nil && !n.silent[from] && !n.silent[name] {
			time.AfterFunc(n.realTime(n.delay), func() { node.ReceivedRegistryChange(c) })
		}
	}
}

// known returns the number of running requests that a daemon was last told of.
func (n *network) known(name string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if total, ok := n.loads[name][totalReport]; ok {
		return total
	}
	known := 0
	for _, running := range n.loads[name] {
		known += running
	}
	return known
}

// waitUntil waits until a condition holds.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

const testDataCentres = 3

func daemonName(i int) string { return fmt.Sprintf("h-%d", i) }

func dataCentreName(i int) string { return fmt.Sprintf("d-%d", i%testDataCentres) }

// otherDaemons returns all daemons of a fleet except the one with index self.
func otherDaemons(self, daemons int) []controller.Daemon {
	var others []controller.Daemon
	for i := range daemons {
		if i != self {
			others = append(others, controller.Daemon{ID: daemonName(i), DataCentre: dataCentreName(i)})
		}
	}
	return others
}

// maxFastFleet is the largest fleet whose clocks run fast. On a busy machine, the reports
// of a larger one would arrive after the daemons take each other for dead.
const maxFastFleet = 100

// startFleet starts a large fleet whose clocks run five times as fast as real time, or
// as fast beyond maxFastFleet.
func startFleet(t *testing.T, daemons int) *network {
	t.Helper()
	n := newNetwork()
	n.fill(t, daemons)
	return n
}

// fill starts the daemons of a fleet and waits until all know each other.
func (n *network) fill(t *testing.T, daemons int) {
	t.Helper()
	if daemons <= maxFastFleet && !n.realTimeOnly {
		n.speed = 5
	}
	for i := range daemons {
		n.start(t, i, daemons, n.began)
	}
	for _, c := range n.nodes {
		waitUntil(func() bool { return c.Stats().Peers == daemons-1 })
	}
}

// start starts the daemon with the index i, or replaces it by one that knows nothing.
func (n *network) start(t *testing.T, i, daemons int, began time.Time) *testController {
	t.Helper()
	self := daemonName(i)
	c := start(t, func(o *controller.Options) {
		o.Host, o.DataCentre = self, dataCentreName(i)
		interval := 50 * time.Millisecond
		if daemons > maxFastFleet {
			interval = 350 * time.Millisecond
		}
		o.Clock, o.MaxRegistryAge = func() time.Duration { return n.speed * time.Since(began) }, n.maxRegistryAge
		o.MaxEvacuationAge = n.maxEvacuationAge
		o.SendReport = func(r controller.Report, to []string) { n.send(self, r, to) }
		o.SendRegistryChange = func(c controller.RegistryChange, to []string) { n.sendChange(self, c, to) }
		o.ReportInterval = func(int) time.Duration { return interval }
		o.Peers = func() []controller.Daemon { return otherDaemons(i, daemons) }
		if n.options != nil {
			n.options(o)
		}
	})
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodes[self] = c
	return c
}

// Load: a large fleet. Guards against daemons that do not learn of each other or of
// the work of others, or count it twice, and against reports from every daemon to
// every other one.
func TestLargeFleetExchangesTotals(t *testing.T) {
	const daemons = 48
	n := startFleet(t, daemons)
	results := []placer.Result{placer.Complete, placer.Complete}
	for i := range results {
		p := wait(context.Background(), t, n.nodes[daemonName(0)], uint64(i+1))
		defer p.End(placer.Complete)
	}
	for i := 1; i < daemons; i++ {
		waitUntil(func() bool {
			if known := n.known(daemonName(i)); known > len(results) {
				t.Fatalf("%s was told of %d requests at the target, %d run", daemonName(i), known, len(results))
			}
			return n.known(daemonName(i)) == len(results)
		})
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	pairs := 0
	for _, to := range n.sent {
		pairs += len(to)
	}
	if pairs > daemons*daemons/5 {
		t.Errorf("%d daemons send to %d recipients in total, want at most a fifth of all pairs", daemons, pairs)
	}
}

// Guards against a group that learns nothing of the others after all of its relays
// have died at once, until they are back.
func TestOtherDaemonsReplaceDeadRelays(t *testing.T) {
	const daemons = 36
	n := startFleet(t, daemons)
	relays := 0
	n.mutex.Lock()
	for i := range daemons {
		// Only a relay has recipients in other data centres.
		for to := range n.sent[daemonName(i)] {
			if index := slices.IndexFunc(otherDaemons(-1, daemons), func(d controller.Daemon) bool { return d.ID == to }); dataCentreName(index) != dataCentreName(i) && dataCentreName(i) == dataCentreName(0) {
				n.silent[daemonName(i)] = true
			}
		}
	}
	relays = len(n.silent)
	var observer, worker string
	for i := range daemons {
		switch {
		case n.silent[daemonName(i)]:
		case dataCentreName(i) == dataCentreName(0):
			observer = daemonName(i)
		case n.loads[daemonName(i)] != nil:
			worker = daemonName(i)
		}
	}
	n.mutex.Unlock()
	if relays != 2 {
		t.Fatalf("a data centre has %d relays, want 2", relays)
	}
	p := wait(context.Background(), t, n.nodes[worker], 1)
	defer p.End(placer.Complete)
	waitUntil(func() bool { return n.known(observer) == 1 })
}

// Load: a large fleet, in which few daemons read the configuration from the store.
// Guards against store readers that do not send a new configuration to the others,
// and against other daemons that send it, too.
func TestStoreReadersForwardConfigurations(t *testing.T) {
	const daemons = 40
	var sent atomic.Int64
	var senders [2]int // of configurations that were received, and of those read
	for i := range daemons {
		var clock atomic.Int64 // stands still, so that no peer times out
		c := start(t, func(o *controller.Options) {
			o.Host, o.DataCentre = daemonName(i), dataCentreName(i)
			o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
			o.SendConfig = func(resolver.Config, []string) { sent.Add(1) }
			o.Peers = func() []controller.Daemon { return otherDaemons(i, daemons) }
		})
		for _, p := range otherDaemons(i, daemons) {
			c.Received(controller.PeerReport{Peer: p.ID, Incarnation: 1})
		}
		for c.Stats().Peers < daemons-1 {
			time.Sleep(time.Millisecond)
		}
		clock.Store(int64(2 * time.Second)) // the next report is a full one
		for !c.Freshness().Grouped {
			time.Sleep(time.Millisecond)
		}
		initial, _ := c.Current()
		for j, set := range []func(resolver.Config){c.ReceivedConfig, func(config resolver.Config) { c.SetConfig(0, config) }} {
			before, version := sent.Load(), initial.Version()+uint64(j)+1
			set(resolver.New(resolver.Content{Version: version}))
			waitUntil(func() bool { current, _ := c.Current(); return current.Version() == version })
			switch n := sent.Load() - before; {
			case n == 1:
				senders[j]++
			case n > 1:
				t.Errorf("a daemon sent one configuration %d times, want at most once", n)
			}
		}
	}
	if senders[1] != 2 {
		t.Errorf("%d of %d daemons sent the configuration that they read, want the 2 store readers", senders[1], daemons)
	}
	if relays := 2 * testDataCentres; senders[0] != relays {
		t.Errorf("%d of %d daemons forwarded a configuration that they received, want the %d relays", senders[0], daemons, relays)
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
			o.Host, o.DataCentre = daemonName(i), dataCentreName(i)
			o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
			o.Peers = func() []controller.Daemon { return otherDaemons(i, daemons) }
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
		{Version: 1, Confirmed: true, Age: time.Millisecond, Hops: 3}, // forwarded too often
		{Version: 1, Age: 2 * time.Millisecond},                       // never confirmed
		{Version: 0, Confirmed: true, Age: 3 * time.Millisecond},      // older version
	} {
		if at := report(s); at != 9*time.Second {
			t.Errorf("%+v: configuration confirmed at %v, want 9 s", s, at)
		}
	}
	clock.Store(int64(20 * time.Second))
	c.SetRegistry(20*time.Second, registrar.Read{Moment: registrar.Moment{Revision: 2}, Entries: []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}}})
	if at := report(controller.ConfigState{}); at != 9*time.Second {
		t.Errorf("configuration confirmed at %v after a read of only the registry, want 9 s", at)
	}
	c.SetWatching(true, 0)
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
			Registry: controller.RegistryState{Moment: registrar.Moment{Revision: 1}, Digest: digest, Hops: hops},
		}})
		for range 50 {
			if c.Freshness().RegistryConfirmedAt > before {
				break
			}
			time.Sleep(time.Millisecond)
		}
		return c.Freshness().RegistryConfirmedAt - before
	}
	if report(0) <= 0 || report(1) <= 0 || report(2) <= 0 {
		t.Error("an age that was forwarded at most twice was ignored")
	}
	if report(3) > 0 || report(7) > 0 {
		t.Error("an age that was forwarded three times or more was accepted")
	}
}
