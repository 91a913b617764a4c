package controller

import (
	"log/slog"
	"time"

	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/logger"
)

const (
	// minRefetchInterval is the minimum time between two calls of RefetchConfig. A read
	// of the store takes some milliseconds.
	minRefetchInterval = 300 * time.Millisecond
	// peerRequestDelay is how long this daemon waits for a newer configuration from the
	// store before it requests it from a peer: the store may reject this host while it
	// serves the others.
	peerRequestDelay = 300 * time.Millisecond
)

// configEvent delivers a configuration from the store or from a peer.
type configEvent struct {
	config resolver.Config
	// fromStore is set if this daemon read the configuration from the store itself;
	// readStart is the time at which that read started or a long poll was answered.
	fromStore bool
	readStart time.Duration
}

func (e configEvent) apply(c *Controller, _ time.Duration) {
	old := c.config.Load()
	if confirmed := c.confirmedByStore(e.readStart); e.fromStore && (old == nil || old.Version() <= e.config.Version()) && confirmed.newerThan(c.configConfirmed) {
		c.configConfirmed = confirmed
	}
	if old != nil && old.Version() >= e.config.Version() {
		c.publishFreshness()
		return
	}
	switch { // in a large fleet, most daemons do not read the store
	case c.plan.Undivided() || old == nil:
	case e.fromStore && c.reader:
		c.options.SendConfig(e.config, c.broadcastRecipients())
	case !e.fromStore && c.plan.Relay:
		c.options.SendConfig(e.config, c.plan.Members)
	}
	c.fleet.SetConfig(e.config)
	c.shares.SetCapacity(e.config.Limits().TokensPerSecond)
	c.config.Store(&e.config)
	c.configBehindSince = 0
	c.publishFreshness()
	logger.Emit(c.options.Logger, logger.ConfigApplied, slog.Uint64("version", e.config.Version()), slog.Int("routes", e.config.Routes()))
}

// configState returns the configuration state that is reported to the peers. A
// pending long poll is answered as soon as the configuration changes. While one is
// pending, every successful read of the registry from the store therefore also
// confirms that the configuration is the newest.
func (c *Controller) configState(now time.Duration) ConfigState {
	config := c.config.Load()
	if config == nil {
		return ConfigState{}
	}
	if c.watching.Load() && c.watchingEra.Load() == c.registry.Moment().Era && c.registryConfirmed.hops == 0 && c.registryConfirmed.newerThan(c.configConfirmed) {
		c.configConfirmed = c.registryConfirmed
	}
	n := c.configConfirmed
	return ConfigState{Version: config.Version(), Confirmed: n.at > 0, Age: now - n.at, StoreTime: n.storeTime, Hops: n.hops}
}

// comparePeerConfig compares the configuration of a peer with the own one. An equal
// one may confirm that the own configuration is the newest; a newer one is fetched.
func (c *Controller) comparePeerConfig(now time.Duration, peer string, s ConfigState) {
	own := uint64(0)
	if config := c.config.Load(); config != nil {
		own = config.Version()
	}
	if s.Version == own && s.Confirmed {
		if n := c.confirmedByPeer(now, s.Age, s.StoreTime, s.Hops); n.newerThan(c.configConfirmed) {
			c.configConfirmed = n // comparePeerRegistry publishes it
		}
	}
	if s.Version <= own {
		return
	}
	if c.configBehindSince == 0 {
		c.configBehindSince = now
		c.publishFreshness()
	}
	if now-c.lastConfigRefetch < minRefetchInterval {
		return
	}
	c.lastConfigRefetch = now
	c.options.RefetchConfig()
	if now-c.configBehindSince >= peerRequestDelay {
		c.options.RequestConfig(peer, own)
	}
}
