package controller

import (
	"log/slog"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/logger"
)

// waitEvent puts a request into the queue.
type waitEvent struct{ permit *permit }

func (e waitEvent) apply(c *Controller, now time.Duration) {
	d := e.permit.demand
	if d.Shared && d.First {
		c.shares.Ask(now, d.Account, d.Request.Cost())
	}
	c.waiting[d.Request.ID] = e.permit
	c.queue.Add(queuer.Item{
		Request: d.Request, Account: d.Account, Shared: d.Shared, Priority: d.Priority,
		Arrived: now, Objective: d.Objective, Deadline: now + d.Deadline, Attempts: d.Attempts,
	})
}

// leaveEvent takes back a request whose caller has left.
type leaveEvent struct{ permit *permit }

func (e leaveEvent) apply(c *Controller, now time.Duration) {
	id := e.permit.demand.Request.ID
	if c.queue.Remove(id) {
		delete(c.waiting, id)
		return
	}
	// The decision was made at the same time; nothing was sent.
	c.end(now, e.permit, placer.Cancelled, false)
}

// firstEvent notes that an answer began.
type firstEvent struct{ permit *permit }

func (e firstEvent) apply(c *Controller, now time.Duration) {
	c.fleet.FirstEvent(now, e.permit.demand.Request.ID)
}

// progressEvent notes events of a stream.
type progressEvent struct {
	permit  *permit
	events  int
	elapsed time.Duration
}

func (e progressEvent) apply(c *Controller, now time.Duration) {
	c.fleet.Progress(now, e.permit.demand.Request.ID, e.events, e.elapsed)
}

// stallEvent notes that a target is silent, or no longer so.
type stallEvent struct {
	permit  *permit
	stalled bool
}

func (e stallEvent) apply(c *Controller, _ time.Duration) {
	c.fleet.Stall(e.permit.demand.Request.ID, e.stalled)
}

// endEvent ends a request at a target.
type endEvent struct {
	permit *permit
	result placer.Result
}

func (e endEvent) apply(c *Controller, now time.Duration) {
	ran := e.result != placer.Refused && e.result != placer.Unreachable
	c.end(now, e.permit, e.result, ran)
}

// end forgets a placed request. The service of one that did not run is taken back.
func (c *Controller) end(now time.Duration, p *permit, result placer.Result, ran bool) {
	d := p.demand
	if c.placed[d.Request.ID] == nil {
		return
	}
	delete(c.placed, d.Request.ID)
	c.fleet.End(now, d.Request.ID, result)
	if d.Shared && !ran {
		c.shares.Serve(now, d.Account, -d.Request.Cost())
	}
}

// configEvent brings a configuration.
type configEvent struct{ config resolver.Config }

func (e configEvent) apply(c *Controller, _ time.Duration) {
	if old := c.config.Load(); old != nil && old.Version() >= e.config.Version() {
		return
	}
	c.fleet.SetConfig(e.config)
	c.shares.SetCapacity(e.config.Limits().TokensPerSecond)
	c.config.Store(&e.config)
	logger.Emit(c.options.Logger, logger.ConfigApplied, slog.Uint64("version", e.config.Version()), slog.Int("routes", e.config.Routes()))
}

// registryEvent brings a read of the registry.
type registryEvent struct {
	revision uint64
	entries  []registrar.Entry
}

func (e registryEvent) apply(c *Controller, now time.Duration) {
	before := c.registry.Usable()
	if !c.registry.Apply(now, e.revision, e.entries) {
		return
	}
	c.registryRead = now
	after := c.registry.Usable()
	c.fleet.SetTargets(after)
	if config := c.config.Load(); config != nil {
		c.fleet.SetConfig(*config)
	}
	c.listed.Store(true)
	c.logTargets(e.revision, before, after)
}

// logTargets writes one record for each target that came or left.
func (c *Controller) logTargets(revision uint64, before, after []registrar.Entry) {
	known := make(map[string]registrar.Entry, len(before))
	for _, t := range before {
		known[t.ID] = t
	}
	for _, t := range after {
		if old, ok := known[t.ID]; !ok || old.Incarnation != t.Incarnation {
			logger.Emit(c.options.Logger, logger.TargetJoined, slog.String("target", t.ID), slog.String("service", t.Service),
				slog.String("address", t.Address), slog.Int64("incarnation", t.Incarnation), slog.Uint64("revision", revision))
		}
		delete(known, t.ID)
	}
	for id := range known {
		logger.Emit(c.options.Logger, logger.TargetLeaving, slog.String("target", id), slog.Uint64("revision", revision))
	}
}

// registryFailedEvent notes a failed read of the registry.
type registryFailedEvent struct{}

func (registryFailedEvent) apply(c *Controller, _ time.Duration) { c.registry.Fail() }

// peerEvent brings the report of a peer.
type peerEvent struct{ report PeerReport }

func (e peerEvent) apply(c *Controller, now time.Duration) {
	r := e.report
	if _, ok := c.peers[r.Peer]; !ok {
		logger.Emit(c.options.Logger, logger.MemberJoined, slog.String("member", r.Peer), slog.Uint64("incarnation", r.Incarnation))
	}
	c.peers[r.Peer] = now
	c.fleet.SetPeer(now, r.Peer, r.Report.Loads, r.Report.Whole)
	c.fleet.SetSpills(now, r.Report.Spills)
	c.shares.SetPeer(now, r.Peer, r.Incarnation, r.Report.Accounts)
}
