// Package controller owns the control state of a daemon: membership, the
// configuration in force, waiting requests, grants and owned shards. One
// goroutine, Run, changes that state; other goroutines send it messages and
// read immutable snapshots.
package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/connector"
	"monsoondeck.example/detector"
	"monsoondeck.example/limiter"
	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
	"monsoondeck.example/scheduler/aggregator"
)

// Hub sends frames to other daemons without blocking.
type Hub interface {
	Send(to connector.Peer, merge func(f *messenger.Frame))
	Received() <-chan *messenger.Frame
}

// Membership is the view of the live daemons. Members returns the same slice
// until a change.
type Membership interface {
	Tick(now time.Duration) []detector.Send
	HandleProbe(now time.Duration, from string, p messenger.Probe) []detector.Send
	HandleAck(now time.Duration, from string, a messenger.ProbeAck) []detector.Send
	Members() []detector.Member
	Leave(now time.Duration) []detector.Send
	Doubt(now time.Duration, id string) []detector.Send
}

// Timing holds the periods and limits of the control loop.
type Timing struct {
	// Spill is the wait after which demand goes to other data centres' shards.
	Spill time.Duration
	// Exchange is the period of reports to the aggregators.
	Exchange time.Duration
	// Holdings is the period of holdings reports.
	Holdings time.Duration
	// Lease is how long a grant that its holder does not list keeps its slot.
	Lease time.Duration
	// Rebuild is the longest wait of a new shard owner for holdings.
	Rebuild time.Duration
	// GrantLife is the time in which a router must use a grant.
	GrantLife time.Duration
	// MaxWait is the longest time that a request without a deadline waits.
	MaxWait time.Duration
}

// DefaultTiming returns the periods that the design page gives.
func DefaultTiming() Timing {
	return Timing{
		Spill:     20 * time.Millisecond,
		Exchange:  500 * time.Millisecond,
		Holdings:  time.Second,
		Lease:     3 * time.Second,
		Rebuild:   300 * time.Millisecond,
		GrantLife: 2 * time.Second,
		MaxWait:   60 * time.Second,
	}
}

// Options are the dependencies of a Controller.
type Options struct {
	Self       detector.Member
	Membership Membership
	Policy     locator.Policy
	// PlatformOnly keeps a daemon without configuration from asking its peers.
	PlatformOnly bool
	Timing       Timing
	Admission    limiter.AdmissionSettings
	// Concurrency is the template for the limits of targets; the slots come
	// from the configuration.
	Concurrency limiter.ConcurrencySettings
	Hub         Hub
	Logger      *slog.Logger
	Random      *rand.Rand
	// Clock returns a monotonic time, the same for all pure modules.
	Clock func() time.Duration
}

// Controller is the control state of one daemon.
type Controller struct {
	options   Options
	messages  chan message
	done      chan struct{}
	fetches   chan connector.Peer
	snapshot  atomic.Pointer[Snapshot]
	admission *limiter.Admission
	metrics   metrics
	rates     *rates
	histories *histories

	// The fields below belong to the control goroutine.
	members    map[string]detector.Member
	seen       []detector.Member
	leaving    map[string]bool
	config     configurer.Config
	configured bool
	// config is the current one of replica.
	replica   *configurer.Replica
	marks     map[string]messenger.HostMark
	locator   *locator.Map
	queues    map[queueKey]*queue
	dirty     map[queueKey]bool
	unspilled map[queueKey]bool
	links     map[string]*link
	held      map[string]*permit
	owned     map[string]*ownedShard
	groups    map[groupKey]*aggregator.Aggregator
	loopback  *messenger.Frame
	stopping  bool
	// epochs counts the shards acquired so far.
	epochs  uint64
	lastAsk time.Duration
}

// New returns a Controller that has no configuration yet.
func New(o Options) *Controller {
	c := &Controller{
		options:   o,
		messages:  make(chan message, messageBuffer),
		done:      make(chan struct{}),
		fetches:   make(chan connector.Peer, 1),
		admission: limiter.NewAdmission(o.Admission),
		replica:   configurer.NewReplica(keptDeltas),
		members:   map[string]detector.Member{},
		leaving:   map[string]bool{},
		marks:     map[string]messenger.HostMark{},
		queues:    map[queueKey]*queue{},
		dirty:     map[queueKey]bool{},
		unspilled: map[queueKey]bool{},
		links:     map[string]*link{},
		held:      map[string]*permit{},
		owned:     map[string]*ownedShard{},
		groups:    map[groupKey]*aggregator.Aggregator{},
		histories: newHistories(),
		rates:     newRates(),
	}
	c.snapshot.Store(&Snapshot{})
	c.locateIfChanged()
	return c
}

// messageBuffer lets traffic goroutines go on while the loop handles a frame.
const messageBuffer = 4096

// message is a typed event that a traffic goroutine sends to the loop.
type message interface {
	apply(c *Controller, now time.Duration)
}

// post hands a message to the loop; it does nothing after the loop has ended.
func (c *Controller) post(m message) {
	select {
	case c.messages <- m:
	case <-c.done:
	}
}

func (c *Controller) now() time.Duration { return c.options.Clock() }

// Run handles messages, frames and timers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	stopMeter := c.metrics.lockThread()
	defer stopMeter()
	timers := newTimers(c.options.Timing)
	defer timers.stop()
	for {
		select {
		case <-ctx.Done():
			c.abandonQueues()
			return
		case m := <-c.messages:
			m.apply(c, c.now())
			c.drainMessages()
		case f := <-c.options.Hub.Received():
			c.handleFrame(f, c.now())
		case <-timers.spill.C:
			c.spillDemand(c.now())
		case <-timers.probe.C:
			c.handleSends(c.options.Membership.Tick(c.now()))
			c.requestMissingConfig(c.now())
			c.metrics.readThread()
		case <-timers.exchange.C:
			c.reportService(c.now())
		case <-timers.holdings.C:
			c.handleSecond(c.now())
		}
		c.locateIfChanged()
		c.settleDown(c.now())
		if len(c.unspilled) > 0 {
			timers.armSpill(c.options.Timing.Spill / spillChecks)
		}
	}
}

// spillChecks is how often the spill delay of a waiting request is checked.
const spillChecks = 4

// settleDown reports changed demand and handles the messages of this daemon to
// itself until no new ones arise. The hub gathers what goes to other daemons.
func (c *Controller) settleDown(now time.Duration) {
	for c.loopback != nil || len(c.dirty) > 0 {
		c.flushDemand(now)
		if f := c.loopback; f != nil {
			c.loopback = nil
			c.handleFrame(f, now)
		}
	}
}

// drainMessages handles the messages that are already there, so that demand
// and settlements of one moment share a frame.
func (c *Controller) drainMessages() {
	for range messageBuffer {
		select {
		case m := <-c.messages:
			m.apply(c, c.now())
		default:
			return
		}
	}
}

// handleSecond does the periodic work that bounds the age of soft state.
func (c *Controller) handleSecond(now time.Duration) {
	c.expireWaiters(now)
	c.reportHoldings()
	c.refreshDemand()
	c.rates.forget(now)
	c.scheduleOwned(now)
	c.publish()
}
