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
	// Maximum is the largest limit that may be learnt; 0 is twice Slots.
	Maximum int
	// FirstToken and Interval are the objectives; 0 sets none.
	FirstToken, Interval time.Duration
	// Decrease is the factor applied on overload, between 0 and 1.
	Decrease float64
	// DecreaseInterval is the shortest time between two decreases. Requests that ran
	// together report the same overload.
	DecreaseInterval time.Duration
	// Failures is the number of consecutive failures that ejects the target.
	Failures int
	// MinimumBackoff and MaximumBackoff bound the time from ejection to a probe.
	MinimumBackoff, MaximumBackoff time.Duration
}

// Defaults of ConcurrencySettings.
const (
	DefaultDecrease         = 0.7
	DefaultDecreaseInterval = time.Second
	DefaultFailures         = 5
	DefaultMinimumBackoff   = time.Second
	DefaultMaximumBackoff   = 30 * time.Second
)

func (s ConcurrencySettings) withDefaults() ConcurrencySettings {
	s.Slots = max(s.Slots, 1)
	if s.Maximum <= 0 {
		s.Maximum = 2 * s.Slots
	}
	if s.Decrease <= 0 || s.Decrease >= 1 {
		s.Decrease = DefaultDecrease
	}
	if s.DecreaseInterval <= 0 {
		s.DecreaseInterval = DefaultDecreaseInterval
	}
	if s.Failures <= 0 {
		s.Failures = DefaultFailures
	}
	if s.MinimumBackoff <= 0 {
		s.MinimumBackoff = DefaultMinimumBackoff
	}
	if s.MaximumBackoff <= 0 {
		s.MaximumBackoff = DefaultMaximumBackoff
	}
	s.MaximumBackoff = max(s.MaximumBackoff, s.MinimumBackoff)
	return s
}

// Concurrency learns the concurrency limit of one target. A new or restarted target needs a
// new Concurrency.
type Concurrency struct {
	settings ConcurrencySettings
	// limit is at least 1 and at most settings.Maximum.
	limit float64
	// slowStart is set until the first decrease or until the limit reaches Slots.
	slowStart bool
	// firstToken and interval are moving averages in seconds, 0 while unknown.
	firstToken, interval float64
	// decreased is the end of the time in which no further decrease is made.
	decreased time.Duration
	health    health
}

// NewConcurrency returns a limit in slow start.
func NewConcurrency(s ConcurrencySettings) *Concurrency {
	c := &Concurrency{settings: s.withDefaults()}
	c.restart()
	return c
}

func (c *Concurrency) restart() {
	c.limit = max(float64(c.settings.Slots)/4, 1)
	c.slowStart = true
	c.firstToken, c.interval = 0, 0
}

// Limit returns the number of requests that may run at once: 0 while the target is ejected
// and 1 while it is probed.
func (c *Concurrency) Limit(now time.Duration) int {
	switch c.health.state(now) {
	case StateEjected:
		return 0
	case StateProbing:
		return 1
	default:
		return int(c.limit)
	}
}

// State returns the health of the target.
func (c *Concurrency) State(now time.Duration) State { return c.health.state(now) }

// Observe takes the end of one request into account.
func (c *Concurrency) Observe(now time.Duration, o Observation) {
	switch c.health.state(now) {
	case StateEjected:
		return // The request began before the ejection and tells nothing new.
	case StateProbing:
		if c.health.probe(now, o.Result, c.settings) {
			c.restart()
		}
		return
	}
	if c.health.count(now, o.Result, c.settings) {
		return
	}
	if slow := c.slow(o); slow || o.Result == ResultRefused {
		c.decrease(now)
	} else if o.Result == ResultComplete && o.InFlight >= int(c.limit) {
		c.increase()
	}
}

// latencyWeight is the weight of the newest request in the moving averages. A single slow
// request, such as one with a long prompt, must not lower the limit.
const latencyWeight = 0.2

// slow updates the latency averages and reports whether one exceeds its objective. The newest
// request must exceed it too, so that the average does not act after the cause is gone.
func (c *Concurrency) slow(o Observation) bool {
	first := exceeds(&c.firstToken, o.FirstToken, c.settings.FirstToken)
	interval := exceeds(&c.interval, o.Interval, c.settings.Interval)
	return first || interval
}

func exceeds(mean *float64, sample, objective time.Duration) bool {
	if sample <= 0 || objective <= 0 {
		return false
	}
	if *mean == 0 {
		*mean = min(sample, objective/2).Seconds()
	}
	*mean += latencyWeight * (sample.Seconds() - *mean)
	return sample > objective && *mean > objective.Seconds()
}

func (c *Concurrency) increase() {
	step := 1 / c.limit
	if c.slowStart {
		step = 1
	}
	c.limit = min(c.limit+step, float64(c.settings.Maximum))
	if c.limit >= float64(c.settings.Slots) {
		c.slowStart = false
	}
}

func (c *Concurrency) decrease(now time.Duration) {
	c.slowStart = false
	if now < c.decreased {
		return
	}
	c.limit = max(c.limit*c.settings.Decrease, 1)
	c.decreased = now + c.settings.DecreaseInterval
	c.firstToken, c.interval = 0, 0
}
