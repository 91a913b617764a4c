// Package controller owns the control state of a gateway: which requests wait,
// what work is at which target, and what each client account got. One goroutine
// changes it; others send it messages and read the configuration in force.
package controller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/sharer"
)

const (
	// eventBuffer absorbs the messages of a burst of requests.
	eventBuffer = 1024
	// queueCheck is the time between two looks at the waiting requests when nothing
	// else happens. The shortest time that a request is held is some 50 ms.
	queueCheck = 10 * time.Millisecond
	// crowd is the number of waiting requests from which the queue is looked at only
	// every crowdCheck: each look costs some 10 us per request.
	crowd      = 24
	crowdCheck = 4 * time.Millisecond
	// readers is the number of daemons that read the store for the others.
	readers = 2
	// wholeReport is the time between two reports that list everything; they replace
	// lost ones and show that the daemon is alive.
	wholeReport = time.Second
	// registryGrace is how long targets need to enter themselves again after an
	// outage of the registry.
	registryGrace = 2 * time.Second
)

// Options are the dependencies of a Controller.
type Options struct {
	DataCentre string
	Policy     placer.Policy
	Queue      queuer.Settings
	// ShareWindow is the window in which accounts are entitled to their share.
	ShareWindow time.Duration
	// Host is the name of this daemon.
	Host string
	// Send sends a report to the peers with the names, which are sorted, SendChange a
	// change of the registry to all; they do not block.
	Send       func(r Report, to []string)
	SendChange func(RegistryChange)
	// Peers returns the names of all other daemons, Address the address of a daemon for
	// its peers, empty if it is unknown; Learn takes addresses that peers know.
	Peers   func() []string
	Address func(host string) string
	Learn   func([]Daemon)
	// Probe tries a connection to a target and calls Probed; it does not block.
	Probe func(registrar.Entry)
	// SendConfig sends a configuration that this daemon has read to all peers; it does
	// not block.
	SendConfig func(resolver.Config)
	// Behind is called when a peer has a newer configuration, AskConfig when the store
	// did not give it in time; they do not block.
	Behind    func()
	AskConfig func(peer string, after uint64)
	// ReportInterval returns the time between two reports to a number of peers.
	ReportInterval func(recipients int) time.Duration
	// StaleLimit is the age of the registry from which requests wait for a read; 0 sets
	// none.
	StaleLimit time.Duration
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
	// freshness is for the goroutine that reads the registry.
	freshness atomic.Pointer[Freshness]
	stats     atomic.Pointer[Stats]
	// watching is set while the store holds a call for the configuration.
	watching atomic.Bool
	// heard holds the time of the last report of each peer, also of silent ones.
	heard sync.Map

	// The fields below belong to the goroutine of Run.

	registry *registrar.Registry
	fleet    *placer.Fleet
	shares   *sharer.Shares
	queue    *queuer.Queue
	// waiting holds the permits of queued requests, placed those of requests at
	// targets.
	waiting, placed map[uint64]*permit
	// peers holds the time at which each daemon was last heard of, groups that of the
	// last sum of each other group.
	peers  map[string]time.Duration
	groups map[grouper.Group]time.Duration
	// plan tells whom this daemon sends what; sums adds up the reports of its group.
	plan grouper.Plan
	sums *grouper.Sums
	// direct holds the daemons whose own reports were taken; sumTargets is the number of
	// targets in the last sum.
	direct     map[string]bool
	sumTargets int
	// wholeReports counts the whole reports.
	wholeReports int
	lastWhole    time.Duration
	lastDecision time.Duration
	// known holds the entries of the registry, digest their digest, and knownAt the
	// time as of which they hold.
	known   []registrar.Entry
	digest  uint64
	knownAt time.Duration
	// knownHops is the number of daemons that passed knownAt on.
	knownHops int
	// behindSince is the time since which a peer has known a newer state of the
	// registry; 0 if none has.
	behindSince time.Duration
	// configKnownAt is the time at which the configuration in force was known to be the
	// newest, and configHops the number of daemons that passed it on.
	configKnownAt time.Duration
	configHops    int
	// configBehind is the time since which a peer has had a newer configuration; 0 if
	// none has. lastBehind is that of the last call for one.
	configBehind, lastBehind time.Duration
}

// Stats describes the control state for metrics.
type Stats struct {
	Waiting, Placed, Targets, Peers int
	// ShareLevel is the service in the window up to which an account is within its
	// share; 0 if there is no bound.
	ShareLevel float64
}

// Freshness tells how well the registry is known.
type Freshness struct {
	// KnownAt is the time, by Clock, as of which the registry is known.
	KnownAt time.Duration
	// Reader is set if this daemon reads the store for the others.
	Reader bool
	// Divided is set in a large fleet, which is divided into groups.
	Divided bool
	// BehindSince is the time since which a peer has known a newer state; 0 if none
	// has.
	BehindSince time.Duration
	// ConfigKnownAt is the time, by Clock, at which the configuration in force was known
	// to be the newest.
	ConfigKnownAt time.Duration
	// ConfigBehindSince is the time since which a peer has had a newer configuration; 0
	// if none has.
	ConfigBehindSince time.Duration
}

// Heard returns the time, by Clock, of the last report of a peer; false if there
// was none.
func (c *Controller) Heard(peer string) (time.Duration, bool) {
	heard, ok := c.heard.Load(peer)
	if !ok {
		return 0, false
	}
	at, ok := heard.(time.Duration)
	return at, ok
}

// Freshness returns how well the registry is known.
func (c *Controller) Freshness() Freshness { return *c.freshness.Load() }

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
		groups: map[grouper.Group]time.Duration{}, sums: grouper.NewSums(), direct: map[string]bool{},
	}
	c.queue = queuer.New(o.Queue, c.fleet, c.shares)
	c.stats.Store(&Stats{})
	c.refresh()
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
	report := time.NewTimer(c.reportInterval())
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
			report.Reset(c.reportInterval())
		}
		if now := c.options.Clock(); !c.trusted(now) {
			check.Reset(queueCheck)
		} else if len(c.waiting) < crowd || now-c.lastDecision >= crowdCheck {
			c.decide(now)
		}
		if len(c.waiting) > 0 {
			check.Reset(queueCheck)
		}
	}
}

// trusted reports whether the registry is known well enough to send requests. A
// daemon that could not read it for lack of processor time must not use targets
// that may have left; while the store is away, there is nothing better.
func (c *Controller) trusted(now time.Duration) bool {
	return c.options.StaleLimit <= 0 || c.registry.Outage() || now-c.knownAt <= c.options.StaleLimit
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
func (c *Controller) decide(now time.Duration) {
	c.lastDecision = now
	for _, d := range c.queue.Next(now) {
		p := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if d.Reason == "" {
			c.placed[d.ID] = p
		}
		p.decidedAt = now
		p.decision <- d
	}
}

// SetConfig takes a configuration that this daemon has read from the store; began
// is the time, by Clock, of the read.
func (c *Controller) SetConfig(began time.Duration, config resolver.Config) {
	c.events <- configEvent{config: config, read: true, began: began}
}

// SetWatching notes whether the store holds a call that it answers as soon as the
// configuration changes.
func (c *Controller) SetWatching(on bool) { c.watching.Store(on) }

// ReceivedConfig takes a configuration that a peer passed on.
func (c *Controller) ReceivedConfig(config resolver.Config) { c.events <- configEvent{config: config} }

// SetRegistry takes a read of the registry that began at a time by Clock.
func (c *Controller) SetRegistry(began time.Duration, revision uint64, entries []registrar.Entry) {
	c.events <- registryEvent{began: began, revision: revision, entries: entries, read: true}
}

// ReceivedChange takes a change of the registry from a peer.
func (c *Controller) ReceivedChange(change RegistryChange) { c.events <- changeEvent{change} }

// RegistryFailed notes that the registry could not be read.
func (c *Controller) RegistryFailed() { c.events <- registryFailedEvent{} }

// Probed takes the result of a probe.
func (c *Controller) Probed(target string, reached bool) { c.events <- probedEvent{target, reached} }

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
