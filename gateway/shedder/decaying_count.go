package shedder

import (
	"math"
	"time"
)

// decayingCount counts events; it decays by arrivalTimeConstant.
type decayingCount struct {
	// count is the decayed number of events at the time updated.
	count   float64
	updated time.Duration
}

// add counts an event.
func (c *decayingCount) add(now time.Duration) {
	c.count = c.at(now) + 1
	c.updated = max(now, c.updated)
}

func (c *decayingCount) at(now time.Duration) float64 {
	return c.count * math.Exp(-float64(max(now-c.updated, 0))/float64(arrivalTimeConstant))
}

// perSecond returns the rate of the events.
func (c *decayingCount) perSecond(now time.Duration) float64 {
	return c.at(now) / arrivalTimeConstant.Seconds()
}
