package gateway

import (
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/watcher"
)

const (
	// readerIntervalShare is the part of the drain bound between two registry reads of
	// a store reader, up to maxReaderInterval, or maxGroupedReaderInterval in a large
	// fleet. Frequent reads by the two store readers cost less than reads by all daemons
	// of a large fleet, which are needed when the forwarded state arrives too old: after
	// three hops, each of which takes up to a report interval.
	readerIntervalShare      = 0.3
	maxReaderInterval        = 600 * time.Millisecond
	maxGroupedReaderInterval = 450 * time.Millisecond
	// ownReadShare is the part of the drain bound after which a daemon reads the
	// registry itself because no peer confirmed its state as the newest. It leaves
	// time to repeat a failed read within the bound.
	ownReadShare = 0.6
	// ownReadJitterShare is the part of the drain bound over which the daemons spread
	// these reads, so that the first ones can send the state to the others.
	ownReadJitterShare = 0.1
	// configAgeShare is the part of the configuration bound for which a follower
	// relies on peers after its configuration was last confirmed. configBehindShare is
	// the part that a newer configuration may take to arrive after a peer reported it.
	// A read of the store takes some 100 ms.
	configAgeShare, configBehindShare = 0.75, 0.3
	// evacuationOwnReadShare is the part of the evacuation bound after which a daemon calls
	// the store itself because no peer confirmed the evacuated data centres.
	evacuationOwnReadShare = 0.4
	// evacuationReadInterval is the minimum time between two such calls.
	evacuationReadInterval = time.Second
	// registryChangeDelay is how long a daemon waits for a registry change after a
	// peer reported a newer state, before it reads the registry itself. The daemon
	// that sends the change may first have to open connections to all others.
	registryChangeDelay = 400 * time.Millisecond
)

// registryDue returns the time until this daemon should read the registry; it is
// due if that is not positive.
func (g *Gateway) registryDue() time.Duration {
	f, now := g.controller.Freshness(), g.clock()
	// The jitter keeps daemons whose states expire at the same time from reading at once.
	interval := time.Duration((ownReadShare + ownReadJitterShare*g.jitter) * float64(g.settings.DrainBound))
	if f.Reader {
		interval = min(time.Duration(readerIntervalShare*float64(g.settings.DrainBound)), maxReaderInterval)
		if f.Grouped {
			interval = min(interval, maxGroupedReaderInterval)
		}
	}
	due := f.RegistryConfirmedAt + interval - now
	if f.RegistryConfirmedAt == 0 {
		due = 0
	}
	if f.RegistryWantedAt > f.RegistryReadAt {
		due = 0
	}
	if f.RegistryBehindSince > 0 {
		due = min(due, f.RegistryBehindSince+registryChangeDelay-now)
	}
	if g.evacuationsStale(f, now) && now-g.evacuationReadAt >= evacuationReadInterval {
		g.evacuationReadAt = now
		due = 0 // with a pending long poll, the read confirms them
	}
	return due
}

// evacuationsStale reports whether this daemon should call the store because no peer has
// confirmed the evacuated data centres for some time.
func (g *Gateway) evacuationsStale(f controller.Freshness, now time.Duration) bool {
	bound := g.settings.EvacuationBound
	return bound > 0 && f.EvacuationsConfirmedAt > 0 && now-f.EvacuationsConfirmedAt > time.Duration(evacuationOwnReadShare*float64(bound))
}

// role returns to what extent this daemon relies on others to read the store.
func (g *Gateway) role() watcher.Role {
	f, now := g.controller.Freshness(), g.clock()
	follower := f.Grouped && !f.Reader
	within := func(since time.Duration, share float64) bool {
		return now-since < time.Duration(share*float64(g.settings.ConfigBound))
	}
	return watcher.Role{
		Reader:          f.Reader,
		Follower:        follower,
		ConfigFromPeers: follower && !g.evacuationsStale(f, now) && f.ConfigConfirmedAt > 0 && within(f.ConfigConfirmedAt, configAgeShare) && (f.ConfigBehindSince == 0 || within(f.ConfigBehindSince, configBehindShare)),
	}
}
