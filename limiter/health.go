package limiter

import "time"

// State is the health of a target.
type State int

// States of a target.
const (
	StateHealthy State = iota
	StateEjected
	StateProbing
)

// health ejects a target after consecutive failures and lets it be probed with one request
// at a time after a back-off that doubles with each failed probe.
type health struct {
	failures int
	ejected  bool
	// until is the end of the ejection and backoff its length.
	until, backoff time.Duration
}

func (h *health) state(now time.Duration) State {
	switch {
	case !h.ejected:
		return StateHealthy
	case now < h.until:
		return StateEjected
	default:
		return StateProbing
	}
}

// count notes the result of a request to a healthy target and reports whether it was ejected.
func (h *health) count(now time.Duration, r Result, s ConcurrencySettings) bool {
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
	h.until = now + h.backoff
	return true
}

// probe notes the result of a probe and reports whether the target is healthy again.
func (h *health) probe(now time.Duration, r Result, s ConcurrencySettings) bool {
	switch r {
	case ResultComplete:
		*h = health{}
		return true
	case ResultFailed, ResultRefused:
		h.backoff = min(2*h.backoff, s.MaximumBackoff)
		h.until = now + h.backoff
	}
	return false
}
