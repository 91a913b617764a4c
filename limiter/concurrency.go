// Package limiter limits the concurrency of each target, the queue of each account, and retries.
// It performs no I/O and reads no clock: callers pass the time.
package limiter

import "time"

// Result is how a request to a target ended. Its values are those of the wire schema.
type Result int

// Results of a request.
const (
	// ResultUnused means that nothing was sent.
	ResultUnused Result = iota
	// ResultComplete means that the target answered in full.
	ResultComplete
	// ResultRefused means that the target refused the request before running it, which counts
	// as overload.
	ResultRefused
	// ResultFailed means that the target could not be reached, failed or answered 5xx.
	ResultFailed
	// ResultCancelled means that the caller went away.
	ResultCancelled
)

// Observation is the measurement of one ended request to a target.
type Observation struct {
	// InFlight counts the requests on the target, this one included, when it ended.
	InFlight int
	Result   Result
	// FirstToken is the time from dispatch to the first token event and TokenInterval the mean
	// time between token events; 0 means unknown.
	FirstToken, TokenInterval time.Duration
}

// ConcurrencySettings configures a Concurrency. Zero values take the defaults unless
// stated otherwise.
type ConcurrencySettings struct {
	// Slots is the configured concurrency of the target; the limit starts at a quarter of it.
	Slots int
	// Maximum bounds the limit; 0 selects twice Slots.
	Maximum int
	// FirstToken and TokenInterval are the latency objectives; 0 sets none.
	FirstToken, TokenInterval time.Duration
	// Decrease is the factor by which overload reduces the limit, between 0 and 1.
	Decrease float64
	// DecreaseInterval is the shortest time between two decreases, because requests that ran
	// at the same time report the same overload.
	DecreaseInterval time.Duration
	// Failures is the number of consecutive failures that ejects the target.
	Failures int
	// MinimumBackoff and MaximumBackoff bound the time from an ejection or a failed probe to
	// the next probe.
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

// Concurrency adapts the concurrency limit of one target by additive increase and multiplicative
// decrease, and ejects the target after consecutive failures. A new or restarted target needs a
// new Concurrency. It is not safe for concurrent use.
type Concurrency struct {
	settings ConcurrencySettings
	// limit is at least 1 and at most settings.Maximum.
	limit float64
	// slowStart is set at the start and after a successful probe, until the next decrease or
	// until the limit reaches Slots.
	slowStart bool
	// meanFirstToken and meanInterval are moving averages in seconds, 0 while unknown.
	meanFirstToken, meanInterval float64
	// nextDecrease is the earliest time of the next decrease.
	nextDecrease time.Duration
	health       health
}

// NewConcurrency returns a Concurrency in slow start.
func NewConcurrency(s ConcurrencySettings) *Concurrency {
	c := &Concurrency{settings: s.withDefaults()}
	c.beginSlowStart()
	return c
}

// beginSlowStart sets the initial limit and discards the latency averages.
func (c *Concurrency) beginSlowStart() {
	c.limit = max(float64(c.settings.Slots)/4, 1)
	c.slowStart = true
	c.meanFirstToken, c.meanInterval = 0, 0
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

// Observe updates the limit and the health with the measurement of one ended request.
func (c *Concurrency) Observe(now time.Duration, o Observation) {
	switch c.health.state(now) {
	case StateEjected:
		return // The request began before the ejection.
	case StateProbing:
		if c.health.recordProbe(now, o.Result, c.settings) {
			c.beginSlowStart()
		}
		return
	}
	if c.health.recordResult(now, o.Result, c.settings) {
		return
	}
	if slow := c.updateLatency(o); slow || o.Result == ResultRefused {
		c.decrease(now)
	} else if o.Result == ResultComplete && o.InFlight >= int(c.limit) {
		c.increase()
	}
}

// newestLatencyWeight is the weight of the newest request in the moving averages. It is small
// because a single slow request, such as one with a long prompt, must not lower the limit.
const newestLatencyWeight = 0.2

// updateLatency updates the latency averages and reports whether one exceeds its objective. Both
// the average and the newest sample must exceed it: a fast sample shows that the overload is over.
func (c *Concurrency) updateLatency(o Observation) bool {
	firstTokenSlow := updateMean(&c.meanFirstToken, o.FirstToken, c.settings.FirstToken)
	intervalSlow := updateMean(&c.meanInterval, o.TokenInterval, c.settings.TokenInterval)
	return firstTokenSlow || intervalSlow
}

// updateMean adds a sample to a moving average and reports whether both exceed the objective. The
// average starts at no more than half the objective, which limits the effect of a slow first
// sample.
func updateMean(mean *float64, sample, objective time.Duration) bool {
	if sample <= 0 || objective <= 0 {
		return false
	}
	if *mean == 0 {
		*mean = min(sample, objective/2).Seconds()
	}
	*mean += newestLatencyWeight * (sample.Seconds() - *mean)
	return sample > objective && *mean > objective.Seconds()
}

// increase raises the limit by 1 per request in slow start and otherwise by 1 per limit requests.
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

// decrease ends slow start. At most once per DecreaseInterval, it also lowers the limit and
// discards the latency averages.
func (c *Concurrency) decrease(now time.Duration) {
	c.slowStart = false
	if now < c.nextDecrease {
		return
	}
	c.limit = max(c.limit*c.settings.Decrease, 1)
	c.nextDecrease = now + c.settings.DecreaseInterval
	c.meanFirstToken, c.meanInterval = 0, 0
}
