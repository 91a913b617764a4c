package controller

import (
	"log/slog"
	"slices"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/logger"
)

// enqueueEvent adds a request to the queue.
type enqueueEvent struct{ permit *permit }

func (e enqueueEvent) apply(c *Controller, now time.Duration) {
	if c.hold(e.permit) {
		return
	}
	c.enqueue(now, e.permit)
}

// enqueue adds a request to the queue, or refuses it if it or a part of its prompt crashes
// targets. The latter takes nothing from the share of its account.
func (c *Controller) enqueue(now time.Duration, p *permit) {
	if d, refused := c.quarantineDecision(now, p); refused {
		p.decide(now, d)
		return
	}
	d := p.demand
	if d.FirstWait {
		c.fleet.RecordDemand(now, d.Request.Service)
		c.fleet.RecordPrompt(now, d.Request)
	}
	if d.CountsTowardsShare && d.FirstWait {
		c.shares.RecordDemand(now, d.Account, d.Request.Cost())
	}
	c.waiting[d.Request.ID] = p
	c.queue.Add(queuer.Item{
		Request: d.Request, Account: d.Account, CountsTowardsShare: d.CountsTowardsShare, Priority: d.Priority,
		Arrived: now, Objective: d.Objective, Deadline: now + d.TimeLeft, Continues: d.Continues, NoWait: d.NoWait,
	})
}

// cancelEvent removes a request whose caller disconnected before its decision.
type cancelEvent struct{ permit *permit }

func (e cancelEvent) apply(c *Controller, now time.Duration) {
	id := e.permit.demand.Request.ID
	if i := slices.Index(c.held, e.permit); i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
		return
	}
	if c.queue.Remove(id) {
		delete(c.waiting, id)
		return
	}
	// The decision and the disconnection crossed; nothing was sent to the target.
	c.end(now, e.permit, placer.Cancelled, false)
}

// answerStartEvent records that the answer to a request began.
type answerStartEvent struct{ permit *permit }

func (e answerStartEvent) apply(c *Controller, now time.Duration) {
	if p := e.permit; !p.began {
		p.began, p.beganAt = true, now
		c.quarantine.RecordSurvival(now, quarantiner.CrashOf(p.target.ID, p.target.Incarnation), p.decidedAt)
	}
	c.fleet.RecordFirstEvent(now, e.permit.demand.Request.ID)
}

// progressEvent records that stream events of an answer arrived.
type progressEvent struct {
	permit       *permit
	streamEvents int
	elapsed      time.Duration
}

func (e progressEvent) apply(c *Controller, now time.Duration) {
	if e.permit.began && now-e.permit.beganAt >= quarantiner.ProofTime {
		c.recordProof(now, e.permit)
	}
	c.fleet.RecordEvents(now, e.permit.demand.Request.ID, e.streamEvents, e.elapsed)
}

// stallEvent records that the answer to a request stalled or goes on.
type stallEvent struct {
	permit  *permit
	stalled bool
}

func (e stallEvent) apply(c *Controller, _ time.Duration) {
	c.fleet.SetStalled(e.permit.demand.Request.ID, e.stalled)
}

// endEvent records the end of a request at a target.
type endEvent struct {
	permit *permit
	result placer.Result
}

func (e endEvent) apply(c *Controller, now time.Duration) {
	ran := e.result != placer.Refused && e.result != placer.Unreachable && e.result != placer.Absent && e.result != placer.Misdirected && e.result != placer.Unsent
	c.end(now, e.permit, e.result, ran)
}

// end removes a placed request. The service of one that did not run is credited back
// to its account.
func (c *Controller) end(now time.Duration, p *permit, result placer.Result, ran bool) {
	d := p.demand
	if c.placed[d.Request.ID] == nil {
		return
	}
	delete(c.placed, d.Request.ID)
	c.fleet.RecordEnd(now, d.Request.ID, result)
	c.recordEvidence(now, p, result)
	if d.CountsTowardsShare && !ran {
		c.shares.RecordService(now, d.Account, -d.Request.Cost())
	}
}

// registryEvent delivers a state of the registry.
type registryEvent struct {
	// confirmedAt is the time at which the read of the registry started.
	confirmedAt time.Duration
	read        registrar.Read
	// fromStore is set if this daemon read the registry from the store itself.
	fromStore bool
	// hops is the number of daemons that forwarded the state.
	hops int
}

// apply does nothing if a newer state is known.
func (e registryEvent) apply(c *Controller, now time.Duration) {
	if e.read.Before(c.registry.Moment()) {
		return
	}
	oldUsable := c.registry.Usable()
	update, confirmed := c.registry.ApplyPeerRead, confirmation{at: e.confirmedAt, storeTime: e.read.StoreTime, hops: e.hops}
	if e.fromStore {
		if e.read.StoreTime > 0 {
			c.storeClock.RecordCall(e.confirmedAt, e.read.StoreTime)
		}
		update, confirmed = c.registry.ApplyRead, c.confirmedByStore(e.confirmedAt)
		c.registryReadAt = max(c.registryReadAt, e.confirmedAt)
	}
	update(now, e.read)
	oldEntries := c.registryEntries
	c.registryEntries, c.registryConfirmed, c.registryBehindSince = c.registry.Entries(), confirmed, 0
	c.registryDigest = registrar.Digest(c.registryEntries)
	c.observeVersions(now)
	c.confirmEvacuationsWhileWatching()
	c.publishFreshness()
	if c.registryLoaded.Swap(true) && slices.Equal(oldEntries, c.registryEntries) {
		return
	}
	newUsable := c.registry.Usable()
	c.setTargets(newUsable)
	c.logTargets(now, oldUsable, newUsable)
	if e.fromStore && c.reader {
		change := registrar.Difference(oldEntries, c.registryEntries, e.read.Moment).WithWarmUp(now, c.registry.ColdUntil())
		c.options.SendRegistryChange(RegistryChange{Change: change, Age: now - confirmed.at, StoreTime: confirmed.storeTime}, c.broadcastRecipients())
	}
}

// registryChangeEvent delivers a change of the registry that a peer has read.
type registryChangeEvent struct{ change RegistryChange }

func (e registryChangeEvent) apply(c *Controller, now time.Duration) {
	change := e.change
	entries, ok := change.Apply(c.registryEntries)
	if !ok {
		return // the registry state in the next report of a peer shows that this daemon is behind
	}
	confirmed := c.confirmedByPeer(now, change.Age, change.StoreTime, change.Hops)
	read := registrar.Read{Moment: change.Moment, StoreTime: change.StoreTime, Entries: entries}
	registryEvent{confirmedAt: confirmed.at, read: read, hops: confirmed.hops}.apply(c, now)
	if c.plan.Relay {
		change.Age, change.Hops = now-confirmed.at, confirmed.hops
		change.Change = change.WithWarmUp(now, c.registry.ColdUntil())
		c.options.SendRegistryChange(change, c.plan.Members)
	}
}

// registryState returns the state of the registry that is reported to the peers.
func (c *Controller) registryState(now time.Duration) RegistryState {
	n := c.registryConfirmed
	return RegistryState{Moment: c.registry.Moment(), Digest: c.registryDigest, Age: now - n.at, StoreTime: n.storeTime, Hops: n.hops}
}

// comparePeerRegistry compares the state of the registry that a peer knows with the
// own one. An equal one may confirm that the own state is the newest.
func (c *Controller) comparePeerRegistry(now time.Duration, s RegistryState) {
	if s.Era > c.registry.Moment().Era {
		c.options.NoticeEra(s.Era)
	}
	switch {
	case s.Revision == 0:
	case s.Digest == c.registryDigest:
		if n := c.confirmedByPeer(now, s.Age, s.StoreTime, s.Hops); n.newerThan(c.registryConfirmed) {
			c.registryConfirmed = n
			if now-n.at < minOutageAge {
				c.registry.ConfirmByPeer(now)
			}
		}
	case c.registry.Moment().Before(s.Moment) && c.registryBehindSince == 0:
		c.registryBehindSince = now
	}
	c.publishFreshness()
}

// logTargets writes one log record for each target that joined or left, with the age and
// the origin of the news.
func (c *Controller) logTargets(now time.Duration, before, after []registrar.Entry) {
	log := c.options.Logger.With(slog.Uint64("revision", c.registry.Moment().Revision), slog.Duration("age", now-c.registryConfirmed.at), slog.Int("hops", c.registryConfirmed.hops))
	known := make(map[string]registrar.Entry, len(before))
	for _, t := range before {
		known[t.ID] = t
	}
	for _, t := range after {
		if old, ok := known[t.ID]; !ok || old.Incarnation != t.Incarnation {
			logger.Emit(log, logger.TargetJoined, slog.String("target", t.ID), slog.String("service", t.Service),
				slog.String("address", t.Address), slog.Int64("incarnation", t.Incarnation))
		}
		delete(known, t.ID)
	}
	for id := range known {
		logger.Emit(log, logger.TargetLeaving, slog.String("target", id))
	}
}

// registryFailedEvent records a failed read of the registry.
type registryFailedEvent struct{ readStart time.Duration }

func (e registryFailedEvent) apply(c *Controller, now time.Duration) {
	// While peers confirm the state of the registry, the store is only unreachable from
	// this host.
	if now-c.registryConfirmed.at >= minOutageAge {
		c.registry.RecordFailedRead()
	}
	if now-e.readStart <= maxFailedCallAge {
		c.recordEvacuationOutage(now)
	}
	c.publishFreshness()
}

// minOutageAge is the age of the registry state from which a failed read counts as
// an outage of the store. It is longer than two report intervals of the peers.
const minOutageAge = 900 * time.Millisecond

// probeFinishedEvent delivers the result of a probe.
type probeFinishedEvent struct {
	target string
	result ProbeResult
}

// ProbeResult is the result of an attempt to connect to a target.
type ProbeResult int

// Results of probes. The host of a target that has crashed refuses the connection;
// without any answer, the network may be cut, and the target may run.
const (
	ProbeReached ProbeResult = iota
	ProbeRefused
	ProbeUnanswered
)

func (e probeFinishedEvent) apply(c *Controller, now time.Duration) {
	c.fleet.RecordProbe(now, e.target, e.result == ProbeReached)
	if e.result == ProbeRefused {
		c.fleet.RecordRefusedConnection(now, e.target)
	}
	c.resolveSuspicion(now, e.target, e.result)
}

// peerReportEvent delivers the report of a peer.
type peerReportEvent struct{ report PeerReport }

func (e peerReportEvent) apply(c *Controller, now time.Duration) {
	r := e.report
	c.markAlive(now, r.Peer, r.Incarnation)
	c.comparePeerEvacuations(now, r.Peer, r.Report.Evacuations)
	c.comparePeerConfig(now, r.Peer, r.Report.Config)
	c.comparePeerRegistry(now, r.Report.Registry)
	c.learnEvidence(now, r.Report.Evidence)
	c.learnDepartures(now, r.Peer, r.Report.Departures)
	c.versions.LearnHistory(now, r.Report.Versions)
	c.applyReport(now, r)
}
