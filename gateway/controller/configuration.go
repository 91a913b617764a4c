package controller

import (
	"log/slog"
	"time"

	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/logger"
)

const (
	// behindInterval is the shortest time between two calls for a newer configuration;
	// a call takes some milliseconds.
	behindInterval = 300 * time.Millisecond
	// askAfter is how long the store has to give a newer configuration before a peer is
	// asked for it: the store may turn this host away and serve the others.
	askAfter = 300 * time.Millisecond
)

// configEvent brings a configuration.
type configEvent struct {
	config resolver.Config
	// read is set if this daemon has read it from the store, and began is the time of
	// the read.
	read  bool
	began time.Duration
}

func (e configEvent) apply(c *Controller, _ time.Duration) {
	old := c.config.Load()
	if e.read && (old == nil || old.Version() <= e.config.Version()) && e.began > c.configKnownAt {
		c.configKnownAt, c.configHops = e.began, 0
	}
	if old != nil && old.Version() >= e.config.Version() {
		c.refresh()
		return
	}
	if e.read && old != nil && !c.plan.Whole() && c.freshness.Load().Reader {
		c.options.SendConfig(e.config) // the daemons of a large fleet do not all ask the store
	}
	c.fleet.SetConfig(e.config)
	c.shares.SetCapacity(e.config.Limits().TokensPerSecond)
	c.config.Store(&e.config)
	c.configBehind = 0
	c.refresh()
	logger.Emit(c.options.Logger, logger.ConfigApplied, slog.Uint64("version", e.config.Version()), slog.Int("routes", e.config.Routes()))
}

// configMark returns what the peers are told of the configuration. The store
// answers a held call as soon as the configuration changes, so that it was the
// newest one whenever the store answered another call meanwhile.
func (c *Controller) configMark(now time.Duration) ConfigMark {
	config := c.config.Load()
	if config == nil {
		return ConfigMark{}
	}
	if c.watching.Load() && c.knownHops == 0 && c.knownAt > c.configKnownAt {
		c.configKnownAt, c.configHops = c.knownAt, 0
	}
	return ConfigMark{Version: config.Version(), Known: c.configKnownAt > 0, Age: now - c.configKnownAt, Hops: c.configHops}
}

// heardOfConfig compares the configuration that a peer has.
func (c *Controller) heardOfConfig(now time.Duration, peer string, m ConfigMark) {
	own := uint64(0)
	if config := c.config.Load(); config != nil {
		own = config.Version()
	}
	if m.Version == own && m.Known && m.Hops < maxHops && now-m.Age > c.configKnownAt {
		c.configKnownAt, c.configHops = now-m.Age, m.Hops+1 // published with the state of the registry
	}
	if m.Version <= own {
		return
	}
	if c.configBehind == 0 {
		c.configBehind = now
		c.refresh()
	}
	if now-c.lastBehind < behindInterval {
		return
	}
	c.lastBehind = now
	c.options.Behind()
	if now-c.configBehind >= askAfter {
		c.options.AskConfig(peer, own)
	}
}
