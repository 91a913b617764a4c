package controller

import (
	"log/slog"
	"time"

	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/logger"
)

// departureReportTime is how long full reports repeat a departure, for peers that were
// not reached when it was news.
const departureReportTime = 30 * time.Second

// leaveEvent records that a target announced in an answer that it leaves.
type leaveEvent struct{ departure registrar.Departure }

func (e leaveEvent) apply(c *Controller, now time.Duration) {
	c.learnDepartures(now, "answer", []registrar.Departure{e.departure})
}

// learnDepartures records targets that leave. The next report passes on what is news, so
// that it reaches all daemons. source says in the log from where it came.
func (c *Controller) learnDepartures(now time.Duration, source string, departures []registrar.Departure) {
	var news []registrar.Departure
	for _, d := range departures {
		if c.registry.RecordDeparture(now, d) {
			news = append(news, d)
			logger.Emit(c.options.Logger, logger.TargetAnnouncedLeave, slog.String("target", d.ID), slog.Int64("incarnation", d.Incarnation), slog.String("source", source))
		}
	}
	if len(news) > 0 {
		c.newDepartures = append(c.newDepartures, news...)
		c.setTargets(c.registry.Usable())
	}
}

// takeDepartures returns the departures for the next report: in a full one the recent
// ones, else those since the last report.
func (c *Controller) takeDepartures(now time.Duration, whole bool) []registrar.Departure {
	news := c.newDepartures
	c.newDepartures = nil
	if whole {
		return c.registry.RecentDepartures(now - departureReportTime)
	}
	return news
}

// closureEvent records that a target wants no requests of this daemon until a time.
type closureEvent struct {
	target registrar.Entry
	until  time.Duration
}

func (e closureEvent) apply(c *Controller, now time.Duration) {
	if c.fleet.RecordClosure(e.target.ID, e.target.Incarnation, e.until) {
		logger.Emit(c.options.Logger, logger.TargetClosed, slog.String("target", e.target.ID), slog.Duration("for", e.until-now))
	}
}
