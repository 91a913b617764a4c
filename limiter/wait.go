package limiter

import (
	"math"
	"time"
)

// Bounds of the Retry-After that Departures derives.
const (
	MinimumRetryAfter = time.Second
	MaximumRetryAfter = time.Minute
)

// rateWindow is the time constant of the measured rate of departures.
const rateWindow = 10 * time.Second

// Departures measures the rate at which requests of one account leave a queue. It is used
// from one goroutine.
type Departures struct {
	// perSecond is the moving average at time last.
	perSecond float64
	last      time.Duration
}

// Add records one request that left the queue to run.
func (d *Departures) Add(now time.Duration) {
	d.decay(now)
	d.perSecond += 1 / rateWindow.Seconds()
}

// RetryAfter is the time in which the queue is expected to drain, in whole seconds.
func (d *Departures) RetryAfter(now time.Duration, waiting int) time.Duration {
	d.decay(now)
	if d.perSecond <= 0 {
		return MaximumRetryAfter
	}
	seconds := math.Ceil(float64(waiting) / d.perSecond)
	if seconds >= MaximumRetryAfter.Seconds() {
		return MaximumRetryAfter
	}
	return max(time.Duration(seconds)*time.Second, MinimumRetryAfter)
}

func (d *Departures) decay(now time.Duration) {
	if now > d.last {
		d.perSecond *= math.Exp(-(now - d.last).Seconds() / rateWindow.Seconds())
		d.last = now
	}
}
