package limiter

import "time"

// State is the health of a target.
type State int

// States of a target.
const (
	// StateHealthy means that the target gets requests up to its limit.
	StateHealthy State = iota
	// StateEjected means that the target gets no requests until the backoff ends.
	StateEjected
	// StateProbing means that the target gets one request at a time, until one completes, fails
	// or is refused.
	StateProbing
)

// health ejects a target after consecutive failures and then probes it with one request at a
// time, after a backoff that doubles with each failed probe.
type health struct {
	// failures counts the consecutive failures.
	failures int
	// ejected is set from the ejection until a probe completes.
	ejected bool
	// ejectedUntil is when the next probe may start; backoff is the wait that ends then.
	ejectedUntil, backoff time.Duration
}

func (h *health) state(now time.Duration) State {
	switch {
	case !h.ejected:
		return StateHealthy
	case now < h.ejectedUntil:
		return StateEjected
	default:
		return StateProbing
	}
}

// recordResult records the result of a request to a healthy target and reports whether it ejected
// the target. Unused and cancelled requests do not count.
func (h *health) recordResult(now time.Duration, r Result, s ConcurrencySettings) bool {
	switch r {
	case ResultComplete, ResultRefused:
		h.failures = 0
	case ResultFailed:
		h.failures++
	}
	if h.failures < s.Failures {
		return false
	}
	h.ejected = true
	h.backoff = s.MinimumBackoff
	h.ejectedUntil = now + h.backoff
	return true
}

// recordProbe records the result of a probe and reports whether the target is healthy again.
// After an unused or cancelled probe the target stays ready for the next one.
func (h *health) recordProbe(now time.Duration, r Result, s ConcurrencySettings) bool {
	switch r {
	case ResultComplete:
		*h = health{}
		return true
	case ResultFailed, ResultRefused:
		h.backoff = min(2*h.backoff, s.MaximumBackoff)
		h.ejectedUntil = now + h.backoff
	}
	return false
}
