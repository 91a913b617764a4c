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

// Snapshot is an immutable view of the control state for traffic goroutines.
type Snapshot struct {
	// Config is in force only if Configured is set.
	Config     configurer.Config
	Configured bool
	// Members is sorted and contains this daemon.
	Members []string
	// Shards lists the shards that this daemon owns, sorted by name.
	Shards []locator.Shard
	// Time is when the view was made, on the controller's clock. A view of a running
	// controller is at most about a second old.
	Time time.Duration
	// Assignment names the owner of every shard.
	Assignment *locator.Map
	// Waiting is the number of requests in queues.
	Waiting int
	// Held is the number of grants in use.
	Held int
	// members lists the live daemons, this one included.
	members []detector.Member
	// Poller is the daemon of this data centre that reads the platform.
	Poller string
	// Maintainer is the daemon that keeps the stored configuration compact.
	Maintainer string
	marks      map[string]messenger.HostMark
}

// Draining tells whether a target must get no new work, by configuration or by
// the host list. A mark holds for the marked incarnation of the target only.
func (s *Snapshot) Draining(t configurer.Target) bool {
	if current, ok := s.Config.Target(t.ID); !ok || current.State == configurer.StateDraining {
		return true
	}
	mark, ok := s.marks[t.ID]
	return ok && mark.Leaving && mark.Incarnation >= t.Incarnation
}

// Member returns the live daemon with an incarnation.
func (s *Snapshot) Member(incarnation uint64) (detector.Member, bool) {
	i := slices.IndexFunc(s.members, func(m detector.Member) bool { return m.Incarnation == incarnation })
	if i < 0 {
		return detector.Member{}, false
	}
	return s.members[i], true
}

// Snapshot returns the newest view; it is never nil.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Current returns the configuration in force, if there is one.
func (c *Controller) Current() (configurer.Config, bool) {
	s := c.snapshot.Load()
	return s.Config, s.Configured
}

// publish stores a new view of the control state.
func (c *Controller) publish() {
	s := &Snapshot{
		Config:     c.config,
		Configured: c.configured,
		Members:    slices.Sorted(maps.Keys(c.members)),
		Shards:     c.ownedShards(),
		Time:       c.now(),
		Assignment: c.locator,
		members:    c.seen,
		Held:       len(c.held),
		Poller:     c.locator.Poller(c.options.Self.DataCentre),
		Maintainer: c.locator.Maintainer(),
		marks:      maps.Clone(c.marks),
	}
	for _, q := range c.queues {
		s.Waiting += len(q.waiters)
	}
	c.snapshot.Store(s)
}
