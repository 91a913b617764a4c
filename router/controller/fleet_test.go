package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
	"monsoondeck.example/connector"
	"monsoondeck.example/detector"
	"monsoondeck.example/limiter"
	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
	"monsoondeck.example/router/receiver"
)

// fleet steps several controllers through time over a network in memory.
type fleet struct {
	t       *rapid.T
	now     time.Duration
	config  configurer.Config
	nodes   map[string]*node
	members []detector.Member
	// transit holds the frames in flight in order of sending.
	transit []delivery
	waiters []*waiter
	permits []*permit
	// lossy lets deliver drop frames.
	lossy bool
}

// node is one controller with its fake hub and membership.
type node struct {
	fleet      *fleet
	id         string
	controller *Controller
	lastSecond time.Duration
}

type delivery struct {
	from, to string
	frame    *messenger.Frame
	sent     time.Duration
}

// maxTransit is the age at which the connector drops a frame.
const maxTransit = time.Second

func (n *node) Send(to connector.Peer, merge func(f *messenger.Frame)) {
	f := &messenger.Frame{Sender: n.id}
	merge(f)
	n.fleet.transit = append(n.fleet.transit, delivery{n.id, to.ID, f, n.fleet.now})
}

func (*node) Received() <-chan *messenger.Frame                                   { return nil }
func (*node) Tick(time.Duration) []detector.Send                                  { return nil }
func (*node) HandleProbe(time.Duration, string, messenger.Probe) []detector.Send  { return nil }
func (*node) HandleAck(time.Duration, string, messenger.ProbeAck) []detector.Send { return nil }
func (n *node) Members() []detector.Member                                        { return n.fleet.members }
func (*node) Leave(time.Duration) []detector.Send                                 { return nil }
func (*node) Doubt(time.Duration, string) []detector.Send                         { return nil }

const (
	fleetDaemons  = 4
	targetSlots   = 2
	fleetAccounts = 3
)

// newFleet starts daemons in two data centres with three targets of one pool.
func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, nodes: map[string]*node{}}
	var accounts []configurer.Account
	for i := range fleetAccounts {
		accounts = append(accounts, configurer.Account{ID: fmt.Sprintf("a%d", i), Share: float64(i + 1), Pools: []string{"quotes"}})
	}
	var targets []configurer.Target
	for i := range 3 {
		targets = append(targets, configurer.Target{
			ID: fmt.Sprintf("t%d", i), DataCentre: fmt.Sprintf("dc%d", i%2), Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			Kind: configurer.KindService, Pools: []string{"quotes"}, Slots: targetSlots, State: configurer.StateActive,
		})
	}
	config, err := configurer.New(1, accounts, targets, nil)
	if err != nil {
		t.Fatal(err)
	}
	f.config = config
	for i := range fleetDaemons {
		f.start(fmt.Sprintf("d%d", i), fmt.Sprintf("dc%d", i%2), uint64(i+1)*1000)
	}
	return f
}

// start adds a daemon, or replaces it by a new process without memory.
func (f *fleet) start(id, dataCentre string, incarnation uint64) {
	self := detector.Member{ID: id, Address: id, DataCentre: dataCentre, Incarnation: incarnation}
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(m detector.Member) bool { return m.ID == id })
	f.members = append(f.members, self)
	slices.SortFunc(f.members, func(a, b detector.Member) int { return strings.Compare(a.ID, b.ID) })
	n := &node{fleet: f, id: id, lastSecond: f.now}
	n.controller = New(Options{
		Self: self, Membership: n, Policy: locator.Fleet, Timing: DefaultTiming(), Hub: n,
		Admission:   limiter.AdmissionSettings{AccountRequests: 1000, AccountBytes: 1 << 20},
		Concurrency: limiter.ConcurrencySettings{FirstToken: time.Hour, Interval: time.Hour},
		Logger:      slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(1, incarnation)),
		Clock: func() time.Duration { return f.now },
	})
	f.nodes[id] = n
	n.controller.SetConfig(f.config)
	f.settleDown()
}

// settleDown lets every controller handle what it has received.
func (f *fleet) settleDown() {
	for _, m := range f.members {
		n := f.nodes[m.ID]
		n.controller.drainMessages()
		n.controller.locateIfChanged()
		n.controller.settleDown(f.now)
	}
	f.collect()
}

// collect takes the answers that waiting requests have got.
func (f *fleet) collect() {
	f.waiters = slices.DeleteFunc(f.waiters, func(w *waiter) bool {
		select {
		case a := <-w.answer:
			if a.permit != nil {
				f.permits = append(f.permits, a.permit)
			}
			return true
		default:
			return false
		}
	})
}

// advance moves time and fires the timers that are due. Frames that would get
// too old on the way arrive first.
func (f *fleet) advance(d time.Duration) {
	for len(f.transit) > 0 && f.now+d-f.transit[0].sent > maxTransit {
		f.deliver(f.lossy)
	}
	f.now += d
	for _, m := range f.members {
		n := f.nodes[m.ID]
		n.controller.spillDemand(f.now)
		if f.now-n.lastSecond >= n.controller.options.Timing.Holdings {
			n.lastSecond = f.now
			n.controller.reportService(f.now)
			n.controller.handleSecond(f.now)
		}
	}
	f.settleDown()
}

// deliver hands over the oldest frame, or drops it where losses are allowed.
func (f *fleet) deliver(drop bool) {
	if len(f.transit) == 0 {
		return
	}
	d := f.transit[0]
	f.transit = f.transit[1:]
	if n := f.nodes[d.to]; n != nil && !drop {
		n.controller.handleFrame(d.frame, f.now)
	}
	f.settleDown()
}

func (f *fleet) deliverAll() {
	for len(f.transit) > 0 {
		f.deliver(false)
	}
}

func (f *fleet) request(id, account string) {
	w := &waiter{
		request: receiver.Request{ID: "r", Account: account, Pool: "quotes", Estimate: 50},
		answer:  make(chan waitAnswer, 1),
	}
	f.waiters = append(f.waiters, w)
	f.nodes[id].controller.post(enqueueMessage{w})
	f.settleDown()
}

// finish ends one of the requests in flight.
func (f *fleet) finish(i int) {
	p := f.permits[i]
	f.permits = slices.Delete(f.permits, i, i+1)
	p.Settle(receiver.Settlement{Units: 50, Result: receiver.ResultComplete})
	f.settleDown()
}

// restart replaces a daemon by a new process; its requests break.
func (f *fleet) restart(id string) {
	old := f.nodes[id].controller
	f.permits = slices.DeleteFunc(f.permits, func(p *permit) bool { return p.controller == old })
	old.abandonQueues()
	f.collect()
	f.transit = slices.DeleteFunc(f.transit, func(d delivery) bool { return d.from == id || d.to == id })
	f.start(id, old.options.Self.DataCentre, old.options.Self.Incarnation+100_000)
}

// inFlight counts the requests at each target.
func (f *fleet) inFlight() map[string]int {
	count := map[string]int{}
	for _, p := range f.permits {
		count[p.target.ID]++
	}
	return count
}
