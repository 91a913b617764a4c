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

// fleet runs several controllers on a simulated clock and an in-memory network.
type fleet struct {
	t       *rapid.T
	now     time.Duration
	config  configurer.Config
	nodes   map[string]*node
	members []detector.Member
	// inTransit holds the frames in flight in order of sending.
	inTransit []delivery
	waiters   []*waiter
	permits   []*permit
	// lossy allows frames to be dropped.
	lossy bool
}

// node is one controller with its fake hub and membership.
type node struct {
	fleet      *fleet
	id         string
	controller *Controller
	// lastRefresh is when the periodic work last ran.
	lastRefresh time.Duration
}

// delivery is a frame on its way.
type delivery struct {
	from, to string
	frame    *messenger.Frame
	sent     time.Duration
}

// maxTransitAge is the age at which the connector drops a frame.
const maxTransitAge = time.Second

func (n *node) Send(to connector.Peer, merge func(f *messenger.Frame)) {
	f := &messenger.Frame{Sender: n.id}
	merge(f)
	n.fleet.inTransit = append(n.fleet.inTransit, delivery{n.id, to.ID, f, n.fleet.now})
}

func (*node) Received() <-chan *messenger.Frame             { return nil }
func (*node) Tick(time.Duration) []detector.OutgoingMessage { return nil }
func (*node) HandleProbe(time.Duration, string, messenger.Probe) []detector.OutgoingMessage {
	return nil
}
func (*node) HandleAck(time.Duration, string, messenger.ProbeAck) []detector.OutgoingMessage {
	return nil
}
func (n *node) Members() []detector.Member                              { return n.fleet.members }
func (*node) Leave(time.Duration) []detector.OutgoingMessage            { return nil }
func (*node) ProbeNow(time.Duration, string) []detector.OutgoingMessage { return nil }

const (
	fleetDaemons  = 4
	targetSlots   = 2
	fleetAccounts = 3
)

// newFleet starts daemons in two data centres that share three targets of one pool.
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

// start adds a daemon, or replaces it by a new process without state.
func (f *fleet) start(id, dataCentre string, incarnation uint64) {
	self := detector.Member{ID: id, Address: id, DataCentre: dataCentre, Incarnation: incarnation}
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(m detector.Member) bool { return m.ID == id })
	f.members = append(f.members, self)
	slices.SortFunc(f.members, func(a, b detector.Member) int { return strings.Compare(a.ID, b.ID) })
	n := &node{fleet: f, id: id, lastRefresh: f.now}
	n.controller = New(Options{
		Self: self, Membership: n, Policy: locator.Fleet, Timing: DefaultTiming(), Hub: n,
		Admission:   limiter.AdmissionSettings{AccountRequests: 1000, AccountBytes: 1 << 20},
		Concurrency: limiter.ConcurrencySettings{FirstToken: time.Hour, TokenInterval: time.Hour},
		Logger:      slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(1, incarnation)),
		Clock: func() time.Duration { return f.now },
	})
	f.nodes[id] = n
	n.controller.SetConfig(f.config)
	f.processAll()
}

// processAll lets every controller handle its pending messages.
func (f *fleet) processAll() {
	for _, m := range f.members {
		n := f.nodes[m.ID]
		n.controller.drainMessages()
		n.controller.refreshMembers()
		n.controller.handleLoopback(f.now)
	}
	f.collect()
}

// collect removes the waiters that got a result and keeps their permits.
func (f *fleet) collect() {
	f.waiters = slices.DeleteFunc(f.waiters, func(w *waiter) bool {
		select {
		case a := <-w.result:
			if a.permit != nil {
				f.permits = append(f.permits, a.permit)
			}
			return true
		default:
			return false
		}
	})
}

// advance moves the clock and fires the timers that are due. Frames that would exceed
// maxTransitAge are delivered, or lost, before.
func (f *fleet) advance(d time.Duration) {
	for len(f.inTransit) > 0 && f.now+d-f.inTransit[0].sent > maxTransitAge {
		f.deliver(f.lossy)
	}
	f.now += d
	for _, m := range f.members {
		n := f.nodes[m.ID]
		n.controller.spillDemand(f.now)
		if f.now-n.lastRefresh >= n.controller.options.Timing.RefreshInterval {
			n.lastRefresh = f.now
			n.controller.reportService(f.now)
			n.controller.refreshSoftState(f.now)
		}
	}
	f.processAll()
}

// deliver delivers or drops the oldest frame in transit.
func (f *fleet) deliver(drop bool) {
	if len(f.inTransit) == 0 {
		return
	}
	d := f.inTransit[0]
	f.inTransit = f.inTransit[1:]
	if n := f.nodes[d.to]; n != nil && !drop {
		n.controller.handleFrame(d.frame, f.now)
	}
	f.processAll()
}

func (f *fleet) deliverAll() {
	for len(f.inTransit) > 0 {
		f.deliver(false)
	}
}

// request enqueues a request of a client account at a daemon.
func (f *fleet) request(id, account string) {
	w := &waiter{
		request: receiver.PermitRequest{ID: "r", Account: account, Pool: "quotes", EstimatedUnits: 50},
		result:  make(chan waitResult, 1),
	}
	f.waiters = append(f.waiters, w)
	f.nodes[id].controller.post(enqueueMessage{w})
	f.processAll()
}

// finish settles the permit with the index i.
func (f *fleet) finish(i int) {
	p := f.permits[i]
	f.permits = slices.Delete(f.permits, i, i+1)
	p.Settle(receiver.Settlement{Units: 50, Result: receiver.ResultComplete})
	f.processAll()
}

// restart replaces a daemon by a new process; its requests and frames are lost.
func (f *fleet) restart(id string) {
	old := f.nodes[id].controller
	f.permits = slices.DeleteFunc(f.permits, func(p *permit) bool { return p.controller == old })
	old.rejectWaiters()
	f.collect()
	f.inTransit = slices.DeleteFunc(f.inTransit, func(d delivery) bool { return d.from == id || d.to == id })
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
