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

// network delivers the reports of controllers to each other.
type network struct {
	mutex sync.Mutex
	nodes map[string]*control
	// sent counts the reports of each daemon by receiver, loads what each receiver
	// was told last of the work at the target, by sender.
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

// others returns the names of all daemons of a fleet but one.
func others(self, daemons int) []string {
	var names []string
	for i := range daemons {
		if i != self {
			names = append(names, fmt.Sprintf("h-%d", i))
		}
	}
	return names
}

// Load: a large fleet. Guards against daemons that do not hear of each other or of
// the work of others, and against messages from each to each.
func TestLargeFleetsExchangeSums(t *testing.T) {
	const daemons = 48
	n := &network{nodes: map[string]*control{}, sent: map[string]map[string]int{}, loads: map[string]map[string]int{}}
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprintf("h-%d", i))
	}
	for i, self := range names {
		c := start(t, func(o *controller.Options) {
			o.Host = self
			o.Send = func(r controller.Report, to []string) { n.send(self, r, to) }
			o.ReportInterval = func(int) time.Duration { return 50 * time.Millisecond }
			o.Peers = func() []string { return others(i, daemons) }
		})
		n.mutex.Lock()
		n.nodes[self] = c
		n.mutex.Unlock()
	}
	permits := []placer.Result{placer.Complete, placer.Complete}
	for i := range permits {
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
			told := 0
			for _, running := range n.loads[self] {
				told += running
			}
			n.mutex.Unlock()
			if told > len(permits) {
				t.Fatalf("%s was told of %d requests at the target, %d run", self, told, len(permits))
			}
			if told == len(permits) {
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
		t.Errorf("%d daemons send to %d others", daemons, pairs)
	}
}

// Load: a large fleet, in which few daemons read the configuration. Guards against a
// change that a reader keeps for itself, and against daemons that all send it.
func TestReadersPassConfigurationsOn(t *testing.T) {
	const daemons = 40
	var sent atomic.Int64
	senders := 0
	for i := range daemons {
		var clock atomic.Int64 // stands still, so that no daemon is taken for silent
		c := start(t, func(o *controller.Options) {
			o.Host = fmt.Sprintf("h-%d", i)
			o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
			o.SendConfig = func(resolver.Config) { sent.Add(1) }
			o.Peers = func() []string { return others(i, daemons) }
		})
		for _, p := range others(i, daemons) {
			c.Received(controller.PeerReport{Peer: p, Incarnation: 1})
		}
		for c.Stats().Peers < daemons-1 {
			time.Sleep(time.Millisecond)
		}
		clock.Store(int64(2 * time.Second)) // the next report is a whole one
		for !c.Freshness().Divided {
			time.Sleep(time.Millisecond)
		}
		before := sent.Load()
		version, _ := c.Current()
		c.ReceivedConfig(resolver.New(resolver.Content{Version: version.Version() + 1}))
		c.SetConfig(0, resolver.New(resolver.Content{Version: version.Version() + 2}))
		for {
			if now, _ := c.Current(); now.Version() == version.Version()+2 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		switch n := sent.Load() - before; {
		case n == 1:
			senders++
		case n > 1:
			t.Errorf("one configuration was sent %d times", n)
		}
	}
	if senders != 2 {
		t.Errorf("%d of %d daemons passed on what they read, want the 2 readers", senders, daemons)
	}
}

// Load: all daemons of a fleet start at once. Guards against a wave of reads of the
// store by daemons that have not heard of each other yet, and against a fleet
// without readers because listed daemons are not there.
func TestStartingDaemonsDoNotAllRead(t *testing.T) {
	const daemons = 9
	readers := 0
	for i := range daemons {
		var clock atomic.Int64
		c := start(t, func(o *controller.Options) {
			o.Host = fmt.Sprintf("h-%d", i)
			o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
			o.Peers = func() []string { return others(i, daemons) }
		})
		if c.Freshness().Reader {
			readers++
		}
		clock.Store(int64(3 * time.Second)) // no other daemon was heard of
		for !c.Freshness().Reader {
			time.Sleep(time.Millisecond)
		}
	}
	if readers != 2 {
		t.Errorf("%d of %d daemons read at the start", readers, daemons)
	}
}

// Guards against a daemon that goes on to rely on others after none of them has
// asked the store for the configuration, because they tell each other that it is
// the newest, or read only the registry.
func TestAgesOfTheConfigurationAreNotPassedOnForEver(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(10 * time.Second))
	c := start(t, func(o *controller.Options) { o.Clock = func() time.Duration { return time.Duration(clock.Load()) } })
	hear := func(m controller.ConfigMark) time.Duration {
		c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{Config: m}})
		known := c.Stats().Peers
		for known == 0 {
			time.Sleep(time.Millisecond)
			known = c.Stats().Peers
		}
		wait(context.Background(), t, c, uint64(m.Version)+uint64(m.Age)).End(placer.Complete) // the report was handled before
		return c.Freshness().ConfigKnownAt
	}
	mark := controller.ConfigMark{Version: 1, Known: true, Age: time.Second, Hops: 1}
	if at := hear(mark); at != 9*time.Second {
		t.Errorf("known as of %v, want 9 s", at)
	}
	for _, m := range []controller.ConfigMark{
		{Version: 1, Known: true, Age: time.Millisecond, Hops: 2}, // passed on too often
		{Version: 1, Age: 2 * time.Millisecond},                   // never known
		{Version: 0, Known: true, Age: 3 * time.Millisecond},      // older
	} {
		if at := hear(m); at != 9*time.Second {
			t.Errorf("%+v: known as of %v, want 9 s", m, at)
		}
	}
	clock.Store(int64(20 * time.Second))
	c.SetRegistry(20*time.Second, 2, []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}})
	if at := hear(controller.ConfigMark{}); at != 9*time.Second {
		t.Errorf("known as of %v after a read of the registry only, want 9 s", at)
	}
	c.SetWatching(true)
	for c.Freshness().ConfigKnownAt != 20*time.Second {
		time.Sleep(time.Millisecond) // the next report takes note of it
	}
}

// Guards against ages of the registry that stay small because daemons pass them on
// in a circle, each time without the time on the way: a daemon would go on to use
// targets that have left.
func TestAgesOfTheRegistryAreNotPassedOnForEver(t *testing.T) {
	c := start(t)
	digest := registrar.Digest([]registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}})
	for c.Freshness().KnownAt == 0 && !c.Ready() {
		time.Sleep(time.Millisecond)
	}
	tell := func(hops int) time.Duration {
		before := c.Freshness().KnownAt
		time.Sleep(2 * time.Millisecond)
		c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{
			Registry: controller.RegistryMark{Revision: 1, Digest: digest, Hops: hops},
		}})
		for range 50 {
			if c.Freshness().KnownAt > before {
				break
			}
			time.Sleep(time.Millisecond)
		}
		return c.Freshness().KnownAt - before
	}
	if tell(0) <= 0 || tell(1) <= 0 {
		t.Error("an age that was passed on at most once is not believed")
	}
	if tell(2) > 0 || tell(7) > 0 {
		t.Error("an age that was passed on often is believed")
	}
}
