// Package controller owns the control state of a daemon: membership, the
// current configuration, waiting requests, grants and owned shards. Only the
// control goroutine, which executes Run, changes that state. Other goroutines
// send it messages and read immutable snapshots.
//
// A shard is a set of targets that one daemon, its owner, schedules. The owner
// hands out grants; each grant lets one request use a slot of one target.
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

// Membership tracks the live daemons. Members returns the same slice until the
// members change.
type Membership interface {
	Tick(now time.Duration) []detector.OutgoingMessage
	HandleProbe(now time.Duration, from string, p messenger.Probe) []detector.OutgoingMessage
	HandleAck(now time.Duration, from string, a messenger.ProbeAck) []detector.OutgoingMessage
	Members() []detector.Member
	Leave(now time.Duration) []detector.OutgoingMessage
	// ProbeNow probes a member at once, because there is a sign that it failed.
	ProbeNow(now time.Duration, id string) []detector.OutgoingMessage
}

// Timing holds the intervals and time limits of the control loop.
type Timing struct {
	// SpillDelay is how long the oldest request of a queue waits before the queue's
	// demand is also sent to the pool's other shards.
	SpillDelay time.Duration
	// ReportInterval is the minimum interval between reports of one shard's service to
	// the aggregators.
	ReportInterval time.Duration
	// RefreshInterval is the interval of the periodic work in refreshSoftState, such as
	// reporting the held grants to the shard owners.
	RefreshInterval time.Duration
	// GrantLease is how long the shard owner keeps the slot of a grant that its holder
	// does not report. GrantLifetime is the limit at the holder.
	GrantLease time.Duration
	// RebuildTimeout limits how long a new shard owner waits for holdings reports before
	// it grants.
	RebuildTimeout time.Duration
	// GrantLifetime is the time within which the daemon that received a grant must use
	// it. GrantLease is the limit at the shard owner.
	GrantLifetime time.Duration
	// MaxWait limits how long a request waits; an earlier deadline of the request wins.
	MaxWait time.Duration
}

// DefaultTiming returns the timing specified on the design page.
func DefaultTiming() Timing {
	return Timing{
		SpillDelay:      20 * time.Millisecond,
		ReportInterval:  500 * time.Millisecond,
		RefreshInterval: time.Second,
		GrantLease:      3 * time.Second,
		RebuildTimeout:  300 * time.Millisecond,
		GrantLifetime:   2 * time.Second,
		MaxWait:         60 * time.Second,
	}
}

// Options are the dependencies of a Controller.
type Options struct {
	Self       detector.Member
	Membership Membership
	Policy     locator.Policy
	// PlatformOnly makes a daemon without configuration take it from the platform
	// only, never from peers.
	PlatformOnly bool
	Timing       Timing
	Admission    limiter.AdmissionSettings
	// Concurrency is the template for the concurrency limits of targets. The
	// number of slots comes from the configuration.
	Concurrency limiter.ConcurrencySettings
	Hub         Hub
	Logger      *slog.Logger
	Random      *rand.Rand
	// Clock returns a monotonic time. Membership and the schedulers get the same
	// time.
	Clock func() time.Duration
}

// Controller is the control state of one daemon.
type Controller struct {
	options  Options
	messages chan message
	done     chan struct{}
	// fetchRequests passes on the peers from which to fetch the configuration.
	fetchRequests chan connector.Peer
	snapshot      atomic.Pointer[Snapshot]
	admission     *limiter.Admission
	metrics       metrics
	rates         *rates
	histories     *histories

	// The fields below belong to the control goroutine.

	// members holds the live daemons by id, this one included.
	members map[string]detector.Member
	// lastMembers is the slice that Membership returned last; nil forces a new
	// assignment.
	lastMembers []detector.Member
	// leaving is the set of daemons that announced their shutdown.
	leaving map[string]bool
	// config is the current configuration of replica; valid only if configured.
	config     configurer.Config
	configured bool
	replica    *configurer.Replica
	// hostMarks holds the newest mark read from the host list for each target, by
	// target id.
	hostMarks map[string]messenger.HostMark
	// assignment maps shards to their owners.
	assignment *locator.Map
	queues     map[queueKey]*queue
	// dirty is the set of queues whose demand must be reported again.
	dirty map[queueKey]bool
	// unspilled is the set of queues that must be checked for SpillDelay.
	unspilled map[queueKey]bool
	// sessions holds the demand reported to and the grants received from the owner of
	// each shard, by shard key.
	sessions map[string]*session
	// heldPermits holds the unsettled permits of this daemon, by permit.key. A permit
	// is the holder's side of a grant.
	heldPermits map[string]*permit
	// owned holds the shards that this daemon schedules, by shard key.
	owned       map[string]*ownedShard
	aggregators map[groupKey]*aggregator.Aggregator
	// loopback collects messages from this daemon to itself; nil if there are none.
	loopback *messenger.Frame
	stopping bool
	// acquisitions counts the shards acquired so far; acquireShard derives the epoch
	// of each ownership from it.
	acquisitions uint64
	// lastConfigRequest is when this daemon last asked a peer for configuration.
	lastConfigRequest time.Duration
}

// New returns a Controller that has no configuration yet.
func New(o Options) *Controller {
	c := &Controller{
		options:       o,
		messages:      make(chan message, messageBufferSize),
		done:          make(chan struct{}),
		fetchRequests: make(chan connector.Peer, 1),
		admission:     limiter.NewAdmission(o.Admission),
		replica:       configurer.NewReplica(deltaHistorySize),
		members:       map[string]detector.Member{},
		leaving:       map[string]bool{},
		hostMarks:     map[string]messenger.HostMark{},
		queues:        map[queueKey]*queue{},
		dirty:         map[queueKey]bool{},
		unspilled:     map[queueKey]bool{},
		sessions:      map[string]*session{},
		heldPermits:   map[string]*permit{},
		owned:         map[string]*ownedShard{},
		aggregators:   map[groupKey]*aggregator.Aggregator{},
		histories:     newHistories(),
		rates:         newRates(),
	}
	c.snapshot.Store(&Snapshot{})
	c.refreshMembers()
	return c
}

// messageBufferSize, in messages, keeps traffic goroutines from blocking while
// the control loop handles a frame.
const messageBufferSize = 4096

// message is an event that another goroutine sends to the control loop.
type message interface {
	apply(c *Controller, now time.Duration)
}

// post sends a message to the control loop, or drops it if the loop has ended.
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
	unlockThread := c.metrics.lockThread()
	defer unlockThread()
	timers := newTimers(c.options.Timing)
	defer timers.stop()
	for {
		select {
		case <-ctx.Done():
			c.rejectWaiters()
			return
		case m := <-c.messages:
			m.apply(c, c.now())
			c.drainMessages()
		case f := <-c.options.Hub.Received():
			c.handleFrame(f, c.now())
		case <-timers.spill.C:
			c.spillDemand(c.now())
		case <-timers.probe.C:
			c.sendDetectorMessages(c.options.Membership.Tick(c.now()))
			c.requestMissingConfig(c.now())
			c.metrics.recordCPUTime()
		case <-timers.report.C:
			c.reportService(c.now())
		case <-timers.refresh.C:
			c.refreshSoftState(c.now())
		}
		c.refreshMembers()
		c.handleLoopback(c.now())
		if len(c.unspilled) > 0 {
			timers.armSpill(c.options.Timing.SpillDelay / spillChecksPerDelay)
		}
	}
}

// spillChecksPerDelay is the number of spill checks within one SpillDelay.
const spillChecksPerDelay = 4

// handleLoopback reports changed demand and handles this daemon's messages to
// itself until no new ones arise. The hub batches messages to other daemons.
func (c *Controller) handleLoopback(now time.Duration) {
	for c.loopback != nil || len(c.dirty) > 0 {
		c.flushDemand(now)
		if f := c.loopback; f != nil {
			c.loopback = nil
			c.handleFrame(f, now)
		}
	}
}

// drainMessages handles the messages that are already queued, so that demand
// and settlements that arrive together share a frame.
func (c *Controller) drainMessages() {
	for range messageBufferSize {
		select {
		case m := <-c.messages:
			m.apply(c, c.now())
		default:
			return
		}
	}
}

// refreshSoftState does the periodic work that limits the age of soft state: it
// expires waiters, reports the held grants, repeats the demand, evicts idle rates,
// schedules the owned shards and publishes a new snapshot.
func (c *Controller) refreshSoftState(now time.Duration) {
	c.expireWaiters(now)
	c.reportHoldings()
	c.refreshDemand()
	c.rates.evictIdle(now)
	c.scheduleOwned(now)
	c.publish()
}
