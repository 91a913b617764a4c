package controller

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/detector"
	"monsoondeck.example/logger"
	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
	"monsoondeck.example/scheduler/aggregator"
)

// handleMembership passes probes to the failure detector, records daemons that shut
// down and requests configuration that this daemon lacks.
func (c *Controller) handleMembership(f *messenger.Frame, now time.Duration) {
	if f.Sender == c.options.Self.ID {
		return
	}
	if f.Leaving != nil && *f.Leaving && !c.leaving[f.Sender] {
		c.leaving[f.Sender] = true
		c.lastMembers = nil
	}
	for _, p := range f.Probes {
		c.requestNewerConfig(f.Sender, p.ConfigVersion)
		c.sendDetectorMessages(c.options.Membership.HandleProbe(now, f.Sender, p))
	}
	for _, a := range f.ProbeAcks {
		c.requestNewerConfig(a.Subject, a.ConfigVersion)
		c.sendDetectorMessages(c.options.Membership.HandleAck(now, f.Sender, a))
	}
}

// peerLostMessage reports that the connection to a daemon broke.
type peerLostMessage struct{ id string }

func (m peerLostMessage) apply(c *Controller, now time.Duration) {
	c.sendDetectorMessages(c.options.Membership.ProbeNow(now, m.id))
}

// PeerLost reports that the connection to a daemon broke, and has the daemon probed
// at once. This detects a killed process within a second; random probes alone take
// some seconds.
func (c *Controller) PeerLost(id string) { c.post(peerLostMessage{id}) }

// sendDetectorMessages passes the failure detector's messages to the hub and adds the
// version of the current configuration, from which others learn that they are behind.
func (c *Controller) sendDetectorMessages(messages []detector.OutgoingMessage) {
	for _, s := range messages {
		c.options.Hub.Send(connector.Peer{ID: s.To, Address: s.Address}, func(f *messenger.Frame) {
			if s.Probe != nil {
				probe := *s.Probe
				probe.ConfigVersion = c.config.Version()
				f.Probes = append(f.Probes, probe)
			}
			if s.Ack != nil {
				ack := *s.Ack
				if ack.Subject == c.options.Self.ID {
					ack.ConfigVersion = c.config.Version()
				}
				f.ProbeAcks = append(f.ProbeAcks, ack)
			}
			if c.leaving[c.options.Self.ID] {
				f.Leaving = new(true)
			}
		})
	}
}

// refreshMembers updates the members and the assignment if the membership has
// changed. It compares slices by their first element, because Members returns the
// same slice until a change.
func (c *Controller) refreshMembers() {
	members := c.options.Membership.Members()
	if c.lastMembers != nil && len(members) == len(c.lastMembers) && (len(members) == 0 || &members[0] == &c.lastMembers[0]) {
		return
	}
	c.lastMembers = members
	c.updateMembers(members)
	c.updateAssignment()
}

// updateMembers replaces the members and logs joins and departures. A restarted
// daemon counts as not leaving.
func (c *Controller) updateMembers(members []detector.Member) {
	next := make(map[string]detector.Member, len(members)+1)
	next[c.options.Self.ID] = c.options.Self
	for _, m := range members {
		next[m.ID] = m
		old, known := c.members[m.ID]
		if !known {
			logger.Emit(c.options.Logger, logger.MemberJoined, slog.String("daemon", m.ID), slog.String("address", m.Address))
		}
		if old.Incarnation != m.Incarnation && m.ID != c.options.Self.ID {
			delete(c.leaving, m.ID)
		}
	}
	for id := range c.members {
		if _, ok := next[id]; !ok {
			delete(c.leaving, id)
			logger.Emit(c.options.Logger, logger.MemberLeft, slog.String("daemon", id))
		}
	}
	c.members = next
}

// updateAssignment recomputes which daemons own the shards and the groups of service
// totals, and moves the state that this daemon owns or reports accordingly.
func (c *Controller) updateAssignment() {
	now := c.now()
	daemons := make([]locator.Daemon, 0, len(c.members))
	for _, m := range c.members {
		// A suspect is most often gone, and its shards would idle until it is removed.
		// If it is alive after all, two daemons grant the slots of its targets for about
		// a second.
		eligible := !c.leaving[m.ID] && m.State != detector.Suspect
		daemons = append(daemons, locator.Daemon{ID: m.ID, DataCentre: m.DataCentre, Eligible: eligible})
	}
	self := locator.Daemon{ID: c.options.Self.ID, DataCentre: c.options.Self.DataCentre}
	previous := c.assignment
	c.assignment = locator.New(slices.Collect(c.config.Targets()), daemons, self, c.options.Policy)
	c.publish()
	c.updateOwnedShards(now)
	c.updateSessions(previous)
	c.markAllDirty()
}

// updateOwnedShards acquires and releases shards and updates those that this daemon
// still owns.
func (c *Controller) updateOwnedShards(now time.Duration) {
	routers := c.routerIDs()
	for key, o := range c.owned {
		s, ok := c.assignment.Shard(key)
		if !ok || s.Owner != c.options.Self.ID {
			delete(c.owned, key)
			logger.Emit(c.options.Logger, logger.ShardReleased, slog.String("shard", o.shard.Name), slog.Uint64("epoch", o.epoch))
		}
	}
	for _, s := range c.sortedShards() {
		key := s.Key
		if s.Owner != c.options.Self.ID {
			continue
		}
		if o := c.owned[key]; o != nil {
			o.scheduler.SetMembers(now, routers)
			c.updateShard(o, s, now)
			c.sendGrants(o, now)
			continue
		}
		c.acquireShard(s, now)
	}
}

// updateSessions starts a session with each new shard owner and reports the held
// grants to it. It drops the sessions of shards that no longer exist.
func (c *Controller) updateSessions(previous *locator.Map) {
	for _, s := range c.sortedShards() {
		key := s.Key
		if previous != nil {
			if old, ok := previous.Shard(key); ok && old.Owner == s.Owner {
				continue
			}
		}
		c.session(s)
		c.announceHoldings(s)
	}
	for key := range c.sessions {
		if _, ok := c.assignment.Shard(key); !ok {
			delete(c.sessions, key)
		}
	}
}

// aggregatorFor returns the aggregator of a group, and creates it when the first
// report arrives.
func (c *Controller) aggregatorFor(key groupKey) *aggregator.Aggregator {
	if c.aggregators[key] == nil {
		c.aggregators[key] = aggregator.New()
	}
	return c.aggregators[key]
}

// sortedShards returns all shards in a fixed order, so that the same events lead to
// the same messages.
func (c *Controller) sortedShards() []locator.Shard {
	return slices.SortedFunc(maps.Values(c.assignment.Shards()), func(a, b locator.Shard) int {
		return strings.Compare(a.Key, b.Key)
	})
}
