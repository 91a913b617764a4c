package controller

import (
	"log/slog"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/logger"
)

// limitEvent records the request limit that a target named in an answer, or that it
// named none.
type limitEvent struct {
	target string
	limit  placer.RequestLimit
}

func (e limitEvent) apply(c *Controller, now time.Duration) {
	c.fleet.RecordLimit(now, e.target, e.limit)
}

// updateLimits logs the changes of the request limits that are in force.
func (c *Controller) updateLimits(now time.Duration) {
	c.fleet.SetPeers(len(c.peers))
	limits := c.fleet.Limits(now)
	for id, perSecond := range limits {
		if old, ok := c.limits[id]; !ok || old != perSecond {
			logger.Emit(c.options.Logger, logger.TargetLimited, slog.String("target", id), slog.Float64("perSecond", perSecond))
		}
	}
	for id := range c.limits {
		if _, ok := limits[id]; !ok {
			logger.Emit(c.options.Logger, logger.TargetUnlimited, slog.String("target", id))
		}
	}
	c.limits = limits
}
