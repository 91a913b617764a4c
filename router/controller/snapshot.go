package controller

import (
	"maps"
	"slices"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/detector"
	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
)

// Snapshot is an immutable copy of the control state for other goroutines.
type Snapshot struct {
	// Config is valid only if Configured is set.
	Config     configurer.Config
	Configured bool
	// Members lists the ids of the live daemons, this one included, sorted.
	Members []string
	// Shards lists the shards that this daemon owns, sorted by name.
	Shards []locator.Shard
	// Time is when the snapshot was taken, on the controller's clock. The snapshot of
	// a running controller is at most about a second old.
	Time time.Duration
	// Assignment maps every shard to its owner.
	Assignment *locator.Map
	// Waiting is the number of requests in queues.
	Waiting int
	// Held is the number of grants that this daemon holds.
	Held int
	// members lists the live daemons, this one included.
	members []detector.Member
	// Poller is the daemon of this data centre that reads the platform.
	Poller string
	// Maintainer is the daemon that compacts the stored configuration.
	Maintainer string
	// hostMarks holds the target states read from the host list, by target id.
	hostMarks map[string]messenger.HostMark
}

// Draining reports whether a target must get no new requests, because
// it is draining or missing in the configuration, or because the host list marks it
// as leaving. A mark does not apply to later incarnations of the target.
func (s *Snapshot) Draining(t configurer.Target) bool {
	if current, ok := s.Config.Target(t.ID); !ok || current.State == configurer.StateDraining {
		return true
	}
	mark, ok := s.hostMarks[t.ID]
	return ok && mark.Leaving && mark.Incarnation >= t.Incarnation
}

// Member returns the live daemon with the given incarnation.
func (s *Snapshot) Member(incarnation uint64) (detector.Member, bool) {
	i := slices.IndexFunc(s.members, func(m detector.Member) bool { return m.Incarnation == incarnation })
	if i < 0 {
		return detector.Member{}, false
	}
	return s.members[i], true
}

// Snapshot returns the newest snapshot; it is never nil.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Current returns the current configuration, if there is one.
func (c *Controller) Current() (configurer.Config, bool) {
	s := c.snapshot.Load()
	return s.Config, s.Configured
}

// publish stores a new snapshot of the control state.
func (c *Controller) publish() {
	s := &Snapshot{
		Config:     c.config,
		Configured: c.configured,
		Members:    slices.Sorted(maps.Keys(c.members)),
		Shards:     c.ownedShards(),
		Time:       c.now(),
		Assignment: c.assignment,
		members:    c.lastMembers,
		Held:       len(c.heldPermits),
		Poller:     c.assignment.Poller(c.options.Self.DataCentre),
		Maintainer: c.assignment.Maintainer(),
		hostMarks:  maps.Clone(c.hostMarks),
	}
	for _, q := range c.queues {
		s.Waiting += len(q.waiters)
	}
	c.snapshot.Store(s)
}
