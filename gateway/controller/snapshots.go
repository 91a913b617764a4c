package controller

import "time"

// Stats holds figures of the control state for metrics.
type Stats struct {
	// Waiting is the number of queued requests, Placed that of requests at targets,
	// Targets that of usable targets and Peers that of live peers.
	Waiting, Placed, Targets, Peers int
	// Quarantined is the number of prompt parts and whole requests in quarantine.
	Quarantined int
	// Limited is the number of targets whose request limit is in force.
	Limited int
	// Cold is the number of targets to which the requests are limited because they are cold.
	Cold int
	// Evacuated is the number of evacuated data centres.
	Evacuated int
	// ShareLevel is the service, in tokens per window, up to which an account is within
	// its fair share; 0 means no limit.
	ShareLevel float64
}

// Freshness describes how recent the known states of the registry and of the
// configuration are. Its times are of Options.Clock.
type Freshness struct {
	// RegistryConfirmedAt is the latest time at which the known state of the registry is
	// known to have been the newest; 0 before the first one.
	RegistryConfirmedAt time.Duration
	// RegistryOutage is set while the registry is used whatever its age, because the store
	// does not answer.
	RegistryOutage bool
	// EvacuationsConfirmedAt is the latest time at which the known state of the evacuated
	// data centres is known to have been the newest; 0 before the first one.
	EvacuationsConfirmedAt time.Duration
	// EvacuationOutage is set while that state is used whatever its age, because the store
	// does not answer.
	EvacuationOutage bool
	// Reader is set if this daemon reads the store on behalf of the fleet.
	Reader bool
	// Grouped is set if the fleet is large enough to be divided into groups.
	Grouped bool
	// RegistryBehindSince is the time at which a peer first reported a newer state of the
	// registry; 0 if this daemon is not known to be behind.
	RegistryBehindSince time.Duration
	// RegistryReadAt is the time at which the last read of the registry by this daemon was
	// sent. One is wanted that is sent at RegistryWantedAt or later, unless that is 0.
	RegistryReadAt, RegistryWantedAt time.Duration
	// ConfigConfirmedAt is the latest time at which the configuration in force is known to
	// have been the newest; 0 if it never was.
	ConfigConfirmedAt time.Duration
	// ConfigBehindSince is the time at which a peer first reported a newer configuration;
	// 0 if this daemon is not known to be behind.
	ConfigBehindSince time.Duration
}

// LastHeard returns the time, by Options.Clock, of the last sign of life of a peer,
// and whether there was one.
func (c *Controller) LastHeard(peer string) (time.Duration, bool) {
	heard, ok := c.lastHeard.Load(peer)
	if !ok {
		return 0, false
	}
	at, ok := heard.(time.Duration)
	return at, ok
}

// Served returns the recent service of an account in the whole fleet as of the last report, in
// the unit of package sharer; false while it is not wanted.
func (c *Controller) Served(account string) (float64, bool) {
	service := c.service.Load()
	if service == nil {
		return 0, false
	}
	return (*service)[account], true
}

// RecordRefused adds the requests that this host has refused unread to the demand of their
// accounts. It returns false, without an effect, if the controller has too much to do.
func (c *Controller) RecordRefused(requests map[string]int) bool {
	select {
	case c.events <- refusedEvent{requests}:
		return true
	default:
		return false
	}
}

// refusedEvent adds refused requests, by account.
type refusedEvent struct{ requests map[string]int }

func (e refusedEvent) apply(c *Controller, now time.Duration) {
	for account, n := range e.requests {
		c.shares.RecordRefused(now, account, n)
	}
}

// publishService publishes the recent service of the accounts if it is wanted.
func (c *Controller) publishService(now time.Duration) {
	if c.options.ServiceWanted == nil || !c.options.ServiceWanted() {
		c.service.Store(nil)
		return
	}
	service := map[string]float64{}
	for _, t := range c.shares.Recent(now) {
		service[t.Account] = t.Served
	}
	c.service.Store(&service)
}

// Freshness returns how recent the known states of the registry and of the
// configuration are.
func (c *Controller) Freshness() Freshness { return *c.freshness.Load() }
