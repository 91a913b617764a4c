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

// handleMembership feeds the detector and notes daemons that shut down.
func (c *Controller) handleMembership(f *messenger.Frame, now time.Duration) {
	if f.Sender == c.options.Self.ID {
		return
	}
	if f.Leaving != nil && *f.Leaving && !c.leaving[f.Sender] {
		c.leaving[f.Sender] = true
		c.seen = nil
	}
	for _, p := range f.Probes {
		c.noteVersion(f.Sender, p.ConfigVersion)
		c.handleSends(c.options.Membership.HandleProbe(now, f.Sender, p))
	}
	for _, a := range f.ProbeAcks {
		c.noteVersion(a.Subject, a.ConfigVersion)
		c.handleSends(c.options.Membership.HandleAck(now, f.Sender, a))
	}
}

// peerLostMessage tells that the connection to a daemon broke.
type peerLostMessage struct{ id string }

func (m peerLostMessage) apply(c *Controller, now time.Duration) {
	c.handleSends(c.options.Membership.Doubt(now, m.id))
}

// PeerLost notes that the connection to a daemon broke. A killed process is found
// by it within a second, and by probes at random within some seconds.
func (c *Controller) PeerLost(id string) { c.post(peerLostMessage{id}) }

// handleSends passes the detector's messages to the hub with the version of
// the configuration in force, by which others learn that they are behind.
func (c *Controller) handleSends(sends []detector.Send) {
	for _, s := range sends {
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

// locateIfChanged recomputes owners after a change of members.
func (c *Controller) locateIfChanged() {
	members := c.options.Membership.Members()
	if c.seen != nil && len(members) == len(c.seen) && (len(members) == 0 || &members[0] == &c.seen[0]) {
		return
	}
	c.seen = members
	c.noteMembers(members)
	c.locate()
}

// noteMembers logs joins and departures and keeps the addresses.
func (c *Controller) noteMembers(members []detector.Member) {
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

// locate recomputes the assignment of shards and groups and moves the state
// that this daemon owns or reports accordingly.
func (c *Controller) locate() {
	now := c.now()
	daemons := make([]locator.Daemon, 0, len(c.members))
	for _, m := range c.members {
		// A suspect is most often gone: its shards would idle until it is removed. If it
		// is not, two daemons grant the slots of its targets for about a second.
		eligible := !c.leaving[m.ID] && m.State != detector.Suspect
		daemons = append(daemons, locator.Daemon{ID: m.ID, DataCentre: m.DataCentre, Eligible: eligible})
	}
	self := locator.Daemon{ID: c.options.Self.ID, DataCentre: c.options.Self.DataCentre}
	previous := c.locator
	c.locator = locator.New(slices.Collect(c.config.Targets()), daemons, self, c.options.Policy)
	c.publish()
	c.moveShards(now)
	c.moveLinks(previous)
	c.touchAll()
}

// moveShards acquires and releases shards and updates those that stay.
func (c *Controller) moveShards(now time.Duration) {
	routers := c.routersOf()
	for key, o := range c.owned {
		s, ok := c.locator.Shard(key)
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
			c.updateOwned(o, s, now)
			c.sendGrants(o, now)
			continue
		}
		c.acquire(s, now)
	}
}

// moveLinks reports held grants to the daemons that became owners.
func (c *Controller) moveLinks(previous *locator.Map) {
	for _, s := range c.sortedShards() {
		key := s.Key
		if previous != nil {
			if old, ok := previous.Shard(key); ok && old.Owner == s.Owner {
				continue
			}
		}
		c.link(s)
		c.announceHoldings(s)
	}
	for key := range c.links {
		if _, ok := c.locator.Shard(key); !ok {
			delete(c.links, key)
		}
	}
}

// group returns the totals of a group, which this daemon keeps as soon as an
// owner takes it for the aggregator.
func (c *Controller) group(key groupKey) *aggregator.Aggregator {
	if c.groups[key] == nil {
		c.groups[key] = aggregator.New()
	}
	return c.groups[key]
}

// sortedShards orders shards, so that the same events lead to the same messages.
func (c *Controller) sortedShards() []locator.Shard {
	return slices.SortedFunc(maps.Values(c.locator.Shards()), func(a, b locator.Shard) int {
		return strings.Compare(a.Key, b.Key)
	})
}
