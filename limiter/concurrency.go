// Package limiter limits concurrency per target, queues per account and retries. It is pure:
// callers pass the clock reading.
package limiter

import "time"

// Result is how a request to a target ended.
type Result int

// Results of a request, in the order of the wire schema.
const (
	ResultUnused Result = iota
	ResultComplete
	ResultRefused
	ResultFailed
	ResultCancelled
)

// Observation is what one ended request tells about its target.
type Observation struct {
	// InFlight counts the requests on the target, this one included, when it ended.
	InFlight int
	Result   Result
	// FirstToken is the time to the first byte and Interval the mean time between tokens;
	// 0 is unknown.
	FirstToken, Interval time.Duration
}

// ConcurrencySettings configures a Concurrency. Zero values take the defaults.
type ConcurrencySettings struct {
	// Slots is the configured concurrency of the target; the limit starts at a quarter.
	Slots int
	// Maximum is the largest limit that may be learnt; 0 is four times Slots.
	Maximum int
	// FirstToken and Interval are the objectives; 0 sets none.
	FirstToken, Interval time.Duration
	// Decrease is the factor applied on overload.
	Decrease float64
	// Failures is the number of consecutive failures that ejects the target.
	Failures int
	// MinimumBackoff and MaximumBackoff bound the time from ejection to a probe.
	MinimumBackoff, MaximumBackoff time.Duration
}

// Defaults of ConcurrencySettings.
const (
	DefaultDecrease       = 0.7
	DefaultFailures       = 5
	DefaultMinimumBackoff = time.Second
	DefaultMaximumBackoff = 30 * time.Second
)

// Concurrency learns the concurrency limit of one target.
type Concurrency struct {
	settings ConcurrencySettings
	limit    float64
}

// NewConcurrency returns a limit in slow start.
func NewConcurrency(s ConcurrencySettings) *Concurrency {
	s.Slots = max(s.Slots, 1)
	if s.Maximum <= 0 {
		s.Maximum = 4 * s.Slots
	}
	if s.Decrease <= 0 || s.Decrease >= 1 {
		s.Decrease = DefaultDecrease
	}
	return &Concurrency{settings: s, limit: max(float64(s.Slots)/4, 1)}
}

// Limit returns the number of requests that may run at once: 0 while the target is ejected
// and 1 while it is probed.
func (c *Concurrency) Limit(time.Duration) int { return int(c.limit) }

// Observe takes the end of one request into account.
func (c *Concurrency) Observe(_ time.Duration, o Observation) {
	switch o.Result {
	case ResultRefused:
		c.limit = max(c.limit*c.settings.Decrease, 1)
	case ResultComplete:
		if o.InFlight >= int(c.limit) {
			c.limit = min(c.limit+1/c.limit, float64(c.settings.Maximum))
		}
	}
}
