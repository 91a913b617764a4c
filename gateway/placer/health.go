package placer

import "time"

// health keeps targets that fail away from requests, from what the traffic
// shows. A target that fails gets a single request after a back-off; the first
// success ends the back-off.
type health struct {
	// failures counts failures in a row.
	failures int
	// until is the end of the back-off.
	until time.Duration
	// probing is the time at which the last single request was sent after a back-off;
	// 0 if there is none.
	probing time.Duration
	// errors is the moving share of requests that failed.
	errors float64
}

// usable reports whether the target may get a request.
func (h *health) usable(now time.Duration) bool {
	if h.failures < minFailures {
		return true
	}
	return now >= h.until && (h.probing == 0 || now-h.probing > probeAge)
}

// begin notes that a request is sent.
func (h *health) begin(now time.Duration) {
	if h.failures >= minFailures {
		h.probing = now
	}
}

func (h *health) succeed() {
	h.failures, h.probing = 0, 0
	h.errors *= 1 - errorWeight
}

func (h *health) fail(now time.Duration, unreachable bool) {
	h.errors += errorWeight * (1 - h.errors)
	h.probing = 0
	h.failures++
	if unreachable {
		h.failures = max(h.failures, minFailures)
	}
	if over := h.failures - minFailures; over >= 0 {
		h.until = now + min(minBackoff<<min(over, maxDoublings), maxBackoff)
	}
}
