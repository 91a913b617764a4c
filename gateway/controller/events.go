package controller

import (
	"log/slog"
	"slices"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
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
		Arrived: now, Objective: d.Objective, Deadline: now + d.Deadline,
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
	ran := e.result != placer.Refused && e.result != placer.Unreachable && e.result != placer.Misdirected && e.result != placer.Unsent
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

// registryEvent brings the entries of the registry.
type registryEvent struct {
	// began is the time of the read.
	began    time.Duration
	revision uint64
	entries  []registrar.Entry
	// read is set if this daemon has read the registry itself.
	read bool
}

func (e registryEvent) apply(c *Controller, now time.Duration) {
	usable := c.registry.Usable()
	take := c.registry.Follow
	if e.read {
		take = c.registry.Apply
	}
	if !take(now, e.revision, e.entries) {
		return
	}
	before := c.known
	c.known, c.knownAt, c.behindSince = c.registry.Entries(), e.began, 0
	c.knownHops = 0
	if !e.read {
		c.knownHops = 1
	}
	c.digest = registrar.Digest(c.known)
	c.refresh()
	if c.listed.Swap(true) && slices.Equal(before, c.known) {
		return
	}
	after := c.registry.Usable()
	c.fleet.SetTargets(after)
	c.logTargets(e.revision, usable, after)
	if e.read && c.freshness.Load().Reader {
		c.options.SendChange(RegistryChange{Change: registrar.Difference(before, c.known, e.revision), Age: now - e.began})
	}
}

// changeEvent brings a change of the registry that a peer has read.
type changeEvent struct{ change RegistryChange }

func (e changeEvent) apply(c *Controller, now time.Duration) {
	entries, ok := e.change.Apply(c.known)
	if !ok {
		return // the mark of the next report shows that this daemon is behind
	}
	registryEvent{began: now - e.change.Age, revision: e.change.Revision, entries: entries}.apply(c, now)
}

// heardOfRegistry compares the state of the registry that a peer knows.
func (c *Controller) heardOfRegistry(now time.Duration, m RegistryMark) {
	switch {
	case m.Revision == 0:
	case m.Digest == c.digest:
		if m.Hops < maxHops && now-m.Age > c.knownAt {
			c.knownAt, c.knownHops = now-m.Age, m.Hops+1
			if m.Age < outageAge {
				c.registry.Confirm(now)
			}
		}
	case m.Revision > c.registry.Revision() && c.behindSince == 0:
		c.behindSince = now
	}
	c.refresh()
}

const (
	// maxHops bounds how often an age is passed on: each time, the age lacks the time on
	// the way, and in a circle of daemons it would stay small for ever. Two are needed
	// from a reader to a daemon of its group to one outside.
	maxHops = 2
)

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

func (registryFailedEvent) apply(c *Controller, now time.Duration) {
	// While peers tell that they know the newest state, only this host has lost the
	// store.
	if now-c.knownAt >= outageAge {
		c.registry.Fail()
	}
}

// outageAge is the age of the registry from which a failed read counts as an
// outage of the store: longer than two reports of peers.
const outageAge = 900 * time.Millisecond

// probedEvent brings the result of a probe.
type probedEvent struct {
	target  string
	reached bool
}

func (e probedEvent) apply(c *Controller, now time.Duration) {
	c.fleet.Probed(now, e.target, e.reached)
}

// peerEvent brings the report of a peer.
type peerEvent struct{ report PeerReport }

func (e peerEvent) apply(c *Controller, now time.Duration) {
	r := e.report
	c.hear(now, r.Peer, r.Incarnation)
	c.heardOfConfig(now, r.Peer, r.Report.Config)
	c.heardOfRegistry(now, r.Report.Registry)
	c.fleet.SetSpills(now, r.Report.Spills)
	if r.Report.Group.Count > 0 {
		c.takeSum(now, r)
		return
	}
	c.takeReport(now, r)
}
