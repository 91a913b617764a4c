// Package controller owns the control state of a gateway: which requests wait,
// what work is at which target, and what each client account got. One goroutine
// changes it; others send it messages and read the configuration in force.
package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/logger"
)

const (
	// eventBuffer absorbs the messages of a burst of requests.
	eventBuffer = 1024
	// queueCheck is the time between two looks at the waiting requests when nothing
	// else happens. The shortest time that a request is held is some 50 ms.
	queueCheck = 10 * time.Millisecond
	// wholeReport is the time between two reports that list everything; they replace
	// lost ones and show that the daemon is alive.
	wholeReport = time.Second
	// registryGrace is how long targets need to enter themselves again after an
	// outage of the registry.
	registryGrace = 2 * time.Second
)

// Report is what a daemon tells its peers.
type Report struct {
	// Whole reports list all targets with work.
	Whole    bool
	Loads    []placer.Load
	Accounts []sharer.Total
	// Spills are those since the last report.
	Spills []placer.Spill
}

// PeerReport is a report of another daemon.
type PeerReport struct {
	Peer        string
	Incarnation uint64
	Report      Report
}

// Options are the dependencies of a Controller.
type Options struct {
	DataCentre string
	Policy     placer.Policy
	Queue      queuer.Settings
	// ShareWindow is the window in which accounts are entitled to their share.
	ShareWindow time.Duration
	// Send sends a report to all peers; it does not block.
	Send func(Report)
	// ReportInterval returns the time between two reports.
	ReportInterval func() time.Duration
	// Clock returns the monotonic time since the start.
	Clock  func() time.Duration
	Logger *slog.Logger
}

// Controller owns the control state.
type Controller struct {
	options Options
	events  chan event
	config  atomic.Pointer[resolver.Config]
	// listed is set once the registry was read.
	listed atomic.Bool
	stats  atomic.Pointer[Stats]

	// The fields below belong to the goroutine of Run.

	registry *registrar.Registry
	fleet    *placer.Fleet
	shares   *sharer.Shares
	queue    *queuer.Queue
	// waiting holds the permits of queued requests, placed those of requests at
	// targets.
	waiting, placed map[uint64]*permit
	peers           map[string]time.Duration
	lastWhole       time.Duration
	registryRead    time.Duration
}

// Stats describes the control state for metrics.
type Stats struct {
	Waiting, Placed, Targets, Peers int
	// ShareLevel is the service in the window up to which an account is within its
	// share; 0 if there is no bound.
	ShareLevel float64
}

// event is a message to the goroutine of Run.
type event interface {
	apply(c *Controller, now time.Duration)
}

// New returns a Controller; Run must be called once.
func New(o Options) *Controller {
	c := &Controller{
		options: o, events: make(chan event, eventBuffer),
		registry: registrar.New(registrar.Settings{Grace: registryGrace}),
		fleet:    placer.New(placer.Settings{DataCentre: o.DataCentre, Policy: o.Policy}),
		shares:   sharer.New(o.ShareWindow),
		waiting:  map[uint64]*permit{}, placed: map[uint64]*permit{}, peers: map[string]time.Duration{},
	}
	c.queue = queuer.New(o.Queue, c.fleet, c.shares)
	c.stats.Store(&Stats{})
	return c
}

// Current returns the configuration in force; false before the first one.
func (c *Controller) Current() (resolver.Config, bool) {
	config := c.config.Load()
	if config == nil {
		return resolver.Config{}, false
	}
	return *config, true
}

// Ready reports whether configuration and registry are known.
func (c *Controller) Ready() bool { return c.config.Load() != nil && c.listed.Load() }

// Stats returns a recent description of the control state.
func (c *Controller) Stats() Stats { return *c.stats.Load() }

// Run handles messages until the context ends.
func (c *Controller) Run(ctx context.Context) {
	check := time.NewTimer(queueCheck)
	defer check.Stop()
	report := time.NewTimer(c.options.ReportInterval())
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			e.apply(c, c.options.Clock())
			c.applyPending()
		case <-check.C:
		case <-report.C:
			c.report()
			report.Reset(c.options.ReportInterval())
		}
		c.decide()
		if len(c.waiting) > 0 {
			check.Reset(queueCheck)
		}
	}
}

// applyPending handles the messages that have arrived meanwhile, so that the
// queue is looked at once for all of them.
func (c *Controller) applyPending() {
	for range eventBuffer {
		select {
		case e := <-c.events:
			e.apply(c, c.options.Clock())
		default:
			return
		}
	}
}

// decide carries out what the queue decides.
func (c *Controller) decide() {
	now := c.options.Clock()
	for _, d := range c.queue.Next(now) {
		p := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if d.Reason == "" {
			c.placed[d.ID] = p
		}
		p.decision <- d
	}
}

// report tells the peers what has changed.
func (c *Controller) report() {
	now := c.options.Clock()
	for name, heard := range c.peers {
		if now-heard > peerTimeout {
			delete(c.peers, name)
			c.fleet.RemovePeer(name)
			logger.Emit(c.options.Logger, logger.MemberLeft, slog.String("member", name), slog.Duration("silent", now-heard))
		}
	}
	whole := now-c.lastWhole >= wholeReport
	r := Report{Whole: whole, Loads: c.fleet.Loads(now, whole), Accounts: c.shares.Totals(whole), Spills: c.fleet.Spills()}
	if whole {
		c.lastWhole = now
	}
	if whole || len(r.Loads) > 0 || len(r.Accounts) > 0 || len(r.Spills) > 0 {
		c.options.Send(r)
	}
	level := c.shares.Level(now)
	if level > maxLevel {
		level = 0
	}
	c.stats.Store(&Stats{Waiting: len(c.waiting), Placed: len(c.placed), Targets: len(c.registry.Usable()), Peers: len(c.peers), ShareLevel: level})
}

const (
	// peerTimeout is the time after which a silent peer is forgotten: two whole
	// reports and some delay.
	peerTimeout = 2500 * time.Millisecond
	// maxLevel is beyond any share that an account can get.
	maxLevel = 1e15
)

// SetConfig puts a configuration in force unless a newer one already is.
func (c *Controller) SetConfig(config resolver.Config) { c.events <- configEvent{config} }

// SetRegistry takes a read of the registry.
func (c *Controller) SetRegistry(revision uint64, entries []registrar.Entry) {
	c.events <- registryEvent{revision, entries}
}

// RegistryFailed notes that the registry could not be read.
func (c *Controller) RegistryFailed() { c.events <- registryFailedEvent{} }

// Received takes the report of a peer.
func (c *Controller) Received(r PeerReport) { c.events <- peerEvent{r} }

// Wait implements receiver.Waiter.
func (c *Controller) Wait(ctx context.Context, d receiver.Demand) (receiver.Permit, error) {
	p := &permit{controller: c, demand: d, decision: make(chan queuer.Decision, 1)}
	c.events <- waitEvent{p}
	select {
	case p.decided = <-p.decision:
	case <-ctx.Done():
		c.events <- leaveEvent{p}
		return nil, context.Cause(ctx)
	}
	if p.decided.Reason != "" {
		return p, receiver.ErrRefused
	}
	return p, nil
}

// permit is one request that waits or is at a target.
type permit struct {
	controller *Controller
	demand     receiver.Demand
	decision   chan queuer.Decision
	decided    queuer.Decision
}

// Decision implements receiver.Permit.
func (p *permit) Decision() queuer.Decision { return p.decided }

// FirstEvent implements receiver.Permit.
func (p *permit) FirstEvent() { p.controller.events <- firstEvent{p} }

// Progress implements receiver.Permit.
func (p *permit) Progress(events int, elapsed time.Duration) {
	p.controller.events <- progressEvent{p, events, elapsed}
}

// Stall implements receiver.Permit.
func (p *permit) Stall(stalled bool) { p.controller.events <- stallEvent{p, stalled} }

// End implements receiver.Permit.
func (p *permit) End(r placer.Result) { p.controller.events <- endEvent{p, r} }
