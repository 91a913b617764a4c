// Package controller owns the control state of a gateway: the queue of requests,
// the work at each target, and the service that each client account received. One
// goroutine changes the state; other goroutines send it events and read published
// snapshots.
package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/gateway/timekeeper"
	"monsoondeck.example/gateway/versioner"
)

const (
	// eventBuffer is the capacity of the event channel, enough for a burst of requests.
	eventBuffer = 1024
	// queueCheckInterval is the time between two runs of the queue when no event
	// arrives. The shortest time that a request is held in the queue is some 50 ms.
	queueCheckInterval = 10 * time.Millisecond
	// longQueue is the number of waiting requests from which the queue runs at most
	// once per longQueueInterval: each run costs some 10 us per request.
	longQueue         = 24
	longQueueInterval = 4 * time.Millisecond
	// storeReaders is the number of daemons that read the store on behalf of the fleet.
	storeReaders = 2
	// fullReportInterval is the time between two full reports, which make up for lost
	// reports and show that the daemon is alive.
	fullReportInterval = time.Second
	// registryGrace is how long targets need to register again after an outage of the
	// registry.
	registryGrace = 2 * time.Second
)

// Controller owns the control state. Its methods are safe for concurrent use.
type Controller struct {
	options Options
	events  chan event
	config  atomic.Pointer[resolver.Config]
	// registryLoaded is set once a first state of the registry is known.
	registryLoaded atomic.Bool
	// freshness and stats are snapshots for other goroutines; they are never nil.
	freshness atomic.Pointer[Freshness]
	stats     atomic.Pointer[Stats]
	// service holds the recent service of the accounts in the fleet; nil while it is not wanted.
	service atomic.Pointer[map[string]float64]
	// usableTargets holds the starts of the targets that may get requests, by ID; it is
	// never nil.
	usableTargets atomic.Pointer[map[string]placer.Start]
	// quarantineState is the snapshot for the daemon's watcher of the store; never nil.
	quarantineState atomic.Pointer[quarantineSnapshot]
	// versionState is the snapshot of the versions in service for the daemon's watcher of the
	// store; it is never nil.
	versionState atomic.Pointer[versionSnapshot]
	// watching is set while a long poll for the next configuration is pending at the
	// store, in the era watchingEra, since watchingSince.
	watching      atomic.Bool
	watchingEra   atomic.Uint64
	watchingSince atomic.Int64
	// lastHeard maps the name of each peer, including those that have gone silent, to
	// the time of its last sign of life: a report, or a group sum that lists it.
	lastHeard sync.Map

	// The fields below are only accessed by the goroutine of Run.

	registry *registrar.Registry
	fleet    *placer.Fleet
	shares   *sharer.Shares
	queue    *queuer.Queue
	// waiting holds the permits of queued requests and placed those of requests at
	// targets, by request ID.
	waiting, placed map[uint64]*permit
	// quarantine holds what is known about prompt parts and whole requests that crash
	// targets, quarantined those that are in quarantine, sorted.
	quarantine  *quarantiner.Quarantine
	quarantined []quarantiner.Part
	// evidenceChanged is set while there is evidence that updateQuarantine has not seen;
	// quarantineUpdated is the time of its last run.
	evidenceChanged   bool
	quarantineUpdated time.Duration
	// suspicions holds the targets that may have crashed, by ID. held holds the requests
	// that are repeated only if they did not crash such a target.
	suspicions map[string]*suspicion
	held       []*permit
	// limits holds the request limits that are in force, by target.
	limits map[string]float64
	// coldTargets holds the targets that are cold, by ID.
	coldTargets map[string]placer.ColdTarget
	// newDepartures holds the targets of whose leave this daemon learned after its last
	// report.
	newDepartures []registrar.Departure
	// peers maps each live peer to the time of the last sign of life.
	peers map[string]time.Duration
	// plan says to whom this daemon sends what.
	plan grouper.Plan
	// sums adds up the reports of the own group, and totals these and the sums of the
	// other groups. Only relays use them.
	sums, totals *grouper.Sums
	// sources maps each daemon whose reports, sums or totals are counted to the time of
	// the last one; groupSources maps each other group to the source of its sums.
	sources      map[string]time.Duration
	groupSources map[grouper.Group]string
	// totalRelay is the relay whose total was counted last.
	totalRelay string
	// dataCentres maps the peers to their data centres.
	dataCentres map[string]string
	// failedRelays maps relays from which no total came to the time until which others
	// take their place.
	failedRelays map[string]time.Duration
	// sourceSince is the time since which plan.Source has been the source of totals, and
	// lastChosenTotal the time of its last total.
	sourceSince, lastChosenTotal time.Duration
	// reader is set if this daemon reads the store on behalf of the fleet.
	reader bool
	// fullReports is the number of full reports sent, lastFullReport the time of the
	// last one. lastDispatch is the time at which the queue last ran.
	fullReports    int
	lastFullReport time.Duration
	lastDispatch   time.Duration
	// storeClock converts times of the store's clock.
	storeClock timekeeper.Keeper
	// registryEntries is the last known state of the registry, registryDigest its digest
	// and registryConfirmed the last confirmation that it is the newest.
	registryEntries   []registrar.Entry
	registryDigest    uint64
	registryConfirmed confirmation
	// registryBehindSince is the time at which a peer first reported a newer state of the
	// registry; 0 if this daemon is not known to be behind.
	registryBehindSince time.Duration
	// registryReadAt is the time at which the last read of the registry by this daemon was
	// sent, registryWantedAt the time after which one is to be sent.
	registryReadAt, registryWantedAt time.Duration
	// versions knows which software version began each stream.
	versions *versioner.Versioner
	// evacuations is what is known about evacuated data centres.
	evacuations evacuationKnowledge
	// configConfirmed is the last confirmation that the configuration in force is the newest.
	configConfirmed confirmation
	// configBehindSince is the time at which a peer first reported a newer configuration;
	// 0 if this daemon is not known to be behind. lastConfigRefetch is the time of the
	// last call of RefetchConfig.
	configBehindSince, lastConfigRefetch time.Duration
}

// event is a change of the control state that the goroutine of Run applies.
type event interface {
	apply(c *Controller, now time.Duration)
}

// New returns a Controller, whose Run must be called exactly once.
func New(o Options) *Controller {
	c := &Controller{
		options: o, events: make(chan event, eventBuffer),
		registry: registrar.New(registrar.Settings{Grace: registryGrace, Cold: o.Cold.Bounded}),
		fleet:    placer.New(placer.Settings{DataCentre: o.DataCentre, Regions: o.Regions, Policy: o.Policy, Seed: xxhash.Sum64String(o.Host), Cold: o.Cold, SplitPrompts: o.SplitPrompts}),
		shares:   sharer.New(o.ShareWindow),
		waiting:  map[uint64]*permit{}, placed: map[uint64]*permit{}, peers: map[string]time.Duration{},
		versions:   versioner.New(o.MaxRegistryAge),
		quarantine: quarantiner.New(), suspicions: map[string]*suspicion{},
		sums: grouper.NewSums(), totals: grouper.NewSums(),
		sources: map[string]time.Duration{}, groupSources: map[grouper.Group]string{}, failedRelays: map[string]time.Duration{}, dataCentres: map[string]string{},
	}
	c.evacuations.states = registrar.NewEvacuations()
	c.queue = queuer.New(o.Queue, c.fleet, c.shares)
	c.stats.Store(&Stats{})
	c.usableTargets.Store(&map[string]placer.Start{})
	c.quarantineState.Store(&quarantineSnapshot{})
	c.versionState.Store(&versionSnapshot{})
	c.updatePlan(0)
	c.updateReader()
	return c
}

// Current returns the configuration in force, and false before there is one.
func (c *Controller) Current() (resolver.Config, bool) {
	config := c.config.Load()
	if config == nil {
		return resolver.Config{}, false
	}
	return *config, true
}

// Ready reports whether the configuration, the registry and the evacuated data centres are
// known.
func (c *Controller) Ready() bool {
	evacuationsKnown := !c.followsEvacuations() || c.Freshness().EvacuationsConfirmedAt > 0
	return c.config.Load() != nil && c.registryLoaded.Load() && evacuationsKnown
}

// Stats returns the figures as of the last report.
func (c *Controller) Stats() Stats { return *c.stats.Load() }

// Run applies events, runs the queue and sends reports until the context ends.
func (c *Controller) Run(ctx context.Context) {
	check := time.NewTimer(queueCheckInterval)
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
			c.sendReport()
			report.Reset(c.reportInterval())
		}
		now := c.options.Clock()
		c.updateQuarantineIfDue(now)
		if !c.storeStateFresh(now) {
			check.Reset(queueCheckInterval)
		} else if len(c.waiting) < longQueue || now-c.lastDispatch >= longQueueInterval {
			c.dispatch(now)
		}
		if len(c.waiting) > 0 {
			check.Reset(queueCheckInterval)
		}
	}
}

// storeStateFresh reports whether the known state of the store is recent enough to send
// requests.
func (c *Controller) storeStateFresh(now time.Duration) bool {
	return c.registryFresh(now) && c.evacuationsFresh(now, c.evacuations.confirmed.at, c.evacuations.outage)
}

// registryFresh reports whether the state of the registry is recent enough to send
// requests. A daemon that lacked the CPU time to read the registry must not use
// targets that may have left. During an outage of the store, the last known state
// is used whatever its age.
func (c *Controller) registryFresh(now time.Duration) bool {
	return c.registry.Outage() || c.recentEnough(now, c.registryConfirmed.at)
}

// recentEnough reports whether a state of the registry that was confirmed at the given
// time may be used.
func (c *Controller) recentEnough(now, confirmedAt time.Duration) bool {
	return c.options.MaxRegistryAge <= 0 || now-confirmedAt <= c.options.MaxRegistryAge
}

// setTargets makes the usable targets known to the queue and to the requests that are
// about to be sent.
func (c *Controller) setTargets(usable []registrar.Entry) {
	c.fleet.SetTargets(usable)
	c.updateCold(c.options.Clock())
	sendable := c.fleet.Sendable()
	c.usableTargets.Store(&sendable)
}

// applyPending applies the events that have arrived meanwhile, so that the queue
// runs once for all of them.
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

// dispatch runs the queue and sends each decision to its waiting request.
func (c *Controller) dispatch(now time.Duration) {
	c.lastDispatch = now
	for _, d := range c.queue.Decide(now) {
		p := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if d.Reason == "" {
			c.placed[d.ID] = p
		}
		p.decide(now, d)
	}
}

// SetConfig applies a configuration that this daemon has read from the store;
// readStart is the time, by Options.Clock, at which the read started or a long poll
// was answered.
func (c *Controller) SetConfig(readStart time.Duration, config resolver.Config) {
	c.events <- configEvent{config: config, fromStore: true, readStart: readStart}
}

// SetWatching records whether a long poll, which the store answers as soon as the
// configuration changes, is pending, and the era of the store since whose moment it is.
func (c *Controller) SetWatching(on bool, era uint64) {
	c.watchingEra.Store(era)
	c.watchingSince.Store(int64(c.options.Clock()))
	c.watching.Store(on)
}

// ReceivedConfig applies a configuration that a peer sent.
func (c *Controller) ReceivedConfig(config resolver.Config) { c.events <- configEvent{config: config} }

// SetRegistry applies the state of the registry that this daemon has read from the
// store; readStart is the time, by Options.Clock, at which the read started.
func (c *Controller) SetRegistry(readStart time.Duration, read registrar.Read) {
	c.events <- registryEvent{confirmedAt: readStart, read: read, fromStore: true}
}

// ReceivedRegistryChange applies a change of the registry that a peer sent.
func (c *Controller) ReceivedRegistryChange(change RegistryChange) {
	c.events <- registryChangeEvent{change}
}

// RegistryFailed records that a read of the registry, which began at the given time,
// failed.
func (c *Controller) RegistryFailed(readStart time.Duration) {
	c.events <- registryFailedEvent{readStart}
}

// ProbeFinished records the result of a probe.
func (c *Controller) ProbeFinished(target string, result ProbeResult) {
	c.events <- probeFinishedEvent{target, result}
}

// Received applies the report of a peer.
func (c *Controller) Received(r PeerReport) { c.events <- peerReportEvent{r} }

// Wait implements receiver.PermitSource.
func (c *Controller) Wait(ctx context.Context, d receiver.Demand) (receiver.Permit, error) {
	p := &permit{controller: c, demand: d, decisionCh: make(chan queuer.Decision, 1)}
	c.events <- enqueueEvent{p}
	select {
	case p.decision = <-p.decisionCh:
	case <-ctx.Done():
		c.events <- cancelEvent{p}
		return nil, context.Cause(ctx)
	}
	if p.decision.Reason != "" {
		return p, receiver.ErrRefused
	}
	return p, nil
}
