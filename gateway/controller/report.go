package controller

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/logger"
)

// Report is what a daemon tells its peers.
type Report struct {
	// Whole reports list all targets with work.
	Whole    bool
	Loads    []placer.Load
	Accounts []sharer.Total
	// Spills are those since the last report.
	Spills []placer.Spill
	// Registry is the state of the registry that the daemon knows.
	Registry RegistryMark
	// ConfigVersion is that of the configuration in force; 0 is none.
	ConfigVersion uint64
}

// RegistryMark tells which state of the registry a daemon knows.
type RegistryMark struct {
	Revision, Digest uint64
	// Age is the time since the read of the registry began.
	Age time.Duration
}

// RegistryChange is a change of the registry that a daemon has read.
type RegistryChange struct {
	registrar.Change
	// Age is the time since the read of the registry began.
	Age time.Duration
}

// PeerReport is a report of another daemon.
type PeerReport struct {
	Peer        string
	Incarnation uint64
	Report      Report
}

// report tells the peers what has changed.
func (c *Controller) report() {
	now := c.options.Clock()
	for name, heard := range c.peers {
		if now-heard > peerTimeout {
			delete(c.peers, name)
			c.fleet.RemovePeer(name)
			logger.Emit(c.options.Logger, logger.MemberLeft, slog.String("member", name), slog.Duration("silent", now-heard))
		}
	}
	for _, t := range c.fleet.Probes(now) {
		c.options.Probe(t)
	}
	whole := now-c.lastWhole >= wholeReport
	r := Report{Whole: whole, Loads: c.fleet.Loads(now, whole), Accounts: c.shares.Totals(whole), Spills: c.fleet.Spills()}
	r.Registry = RegistryMark{Revision: c.registry.Revision(), Digest: c.digest, Age: now - c.knownAt}
	if config := c.config.Load(); config != nil {
		r.ConfigVersion = config.Version()
	}
	c.refresh()
	if whole {
		c.lastWhole = now
	}
	if whole || len(r.Loads) > 0 || len(r.Accounts) > 0 || len(r.Spills) > 0 {
		c.options.Send(r)
	}
	level := c.shares.Level(now)
	if level > maxLevel {
		level = 0
	}
	c.stats.Store(&Stats{Waiting: len(c.waiting), Placed: len(c.placed), Targets: len(c.registry.Usable()), Peers: len(c.peers), ShareLevel: level})
}

// refresh publishes how well the registry is known.
func (c *Controller) refresh() {
	before := 0
	own := xxhash.Sum64String(c.options.Host)
	for name := range c.peers {
		if xxhash.Sum64String(name) < own {
			before++
		}
	}
	c.freshness.Store(&Freshness{KnownAt: c.knownAt, Reader: before < readers, BehindSince: c.behindSince})
}

const (
	// peerTimeout is the time after which a silent peer is forgotten: two whole
	// reports and some delay.
	peerTimeout = 2500 * time.Millisecond
	// maxLevel is beyond any share that an account can get.
	maxLevel = 1e15
)
