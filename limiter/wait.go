package limiter

import (
	"math"
	"time"
)

// MinimumRetryAfter and MaximumRetryAfter bound the result of Departures.RetryAfter.
const (
	MinimumRetryAfter = time.Second
	MaximumRetryAfter = time.Minute
)

// rateTimeConstant is the time in which the weight of a departure in the rate falls to 1/e.
const rateTimeConstant = 10 * time.Second

// Departures measures the rate at which requests of one account leave a queue to run. It is not
// safe for concurrent use.
type Departures struct {
	// perSecond is the moving average of the rate at time updated.
	perSecond float64
	updated   time.Duration
}

// Add records one request that left the queue to run.
func (d *Departures) Add(now time.Duration) {
	d.decay(now)
	d.perSecond += 1 / rateTimeConstant.Seconds()
}

// RetryAfter returns the time in which a queue of waiting requests is expected to drain, rounded
// up to whole seconds and bounded by MinimumRetryAfter and MaximumRetryAfter.
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

// decay reduces the rate by the time since its last update.
func (d *Departures) decay(now time.Duration) {
	if now > d.updated {
		d.perSecond *= math.Exp(-(now - d.updated).Seconds() / rateTimeConstant.Seconds())
		d.updated = now
	}
}
