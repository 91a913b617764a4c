package controller

import (
	"log/slog"
	"time"

	"monsoondeck.example/gateway/pacer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/logger"
)

const (
	// fleetSettleTime is the time after the start in which a daemon sends nothing to cold
	// targets: daemons that start together do not all find each other in the list of
	// daemons, and each would take its part of the rate for larger than it is.
	fleetSettleTime = 3 * time.Second
	// coldCrashMargin is the time after the end of its cold time in which the crash of a
	// target is put down to that: requests that it got while cold may still run.
	coldCrashMargin = 5 * time.Second
)

// place returns the place of this daemon in the fleet: among all daemons of the list in the
// store, whether they are heard or not. It is zero while the fleet is not known.
func (c *Controller) place(now time.Duration) pacer.Place {
	if now < fleetSettleTime || c.options.FleetKnown != nil && !c.options.FleetKnown() {
		return pacer.Place{}
	}
	p := pacer.Place{Daemons: 1}
	for _, d := range c.options.Peers() {
		p.Daemons++
		if d.ID < c.options.Host {
			p.Rank++
		}
	}
	return p
}

// updateCold tells the fleet what limits the requests to cold targets, logs which targets
// are cold, and excuses their crashes: a cold target crashes if it gets more requests than
// it takes, whatever their prompts.
func (c *Controller) updateCold(now time.Duration) {
	if !c.options.Cold.Bounded {
		return
	}
	common, known := c.storeClock.Store(now)
	c.fleet.SetPlace(now, c.place(now), common, known)
	c.fleet.SetCold(c.registry.ColdUntil(), c.registry.Outage())
	cold := c.fleet.ColdTargets(now)
	for id, t := range cold {
		if t.Registered {
			c.quarantine.Excuse(now, quarantiner.CrashOf(id, t.Incarnation), now+coldCrashMargin)
		}
		if old, ok := c.coldTargets[id]; !ok || old != t {
			logger.Emit(c.options.Logger, logger.TargetCold, slog.String("target", id), slog.Int64("incarnation", t.Incarnation), slog.Bool("registered", t.Registered))
		}
	}
	for id := range c.coldTargets {
		if _, ok := cold[id]; !ok {
			logger.Emit(c.options.Logger, logger.TargetWarm, slog.String("target", id))
		}
	}
	c.coldTargets = cold
}
