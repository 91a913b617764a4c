package placer

import (
	"math"
	"time"
)

// health keeps targets that fail away from requests, from what the traffic
// shows. A target that fails gets a single request after a back-off; the first
// success ends the back-off.
type health struct {
	// failures counts failures in a row, absences the answers of other targets at the
	// address.
	failures, absences int
	// until is the end of the back-off.
	until time.Duration
	// probing is the time at which the last single request was sent after a back-off;
	// 0 if there is none.
	probing time.Duration
	// unreachable is set from a failed connection until a probe connects. Such a target
	// gets no request: each would lose the time of a failing connection.
	unreachable bool
	// errors is the moving share of requests that failed, as of updated; it fades with
	// time, since a target that gets no requests cannot show that it is well again.
	errors  float64
	updated time.Duration
}

// errorShare returns the share of requests that failed lately.
func (h *health) errorShare(now time.Duration) float64 {
	if h.errors == 0 {
		return 0
	}
	return h.errors * math.Exp(-float64(now-h.updated)/float64(errorWindow))
}

// observe adds a request to the share of failures.
func (h *health) observe(now time.Duration, failed float64) {
	h.errors, h.updated = h.errorShare(now), now
	h.errors += errorWeight * (failed - h.errors)
}

// usable reports whether the target may get a request.
func (h *health) usable(now time.Duration) bool {
	if h.unreachable {
		return false
	}
	if h.failures < minFailures {
		return true
	}
	return now >= h.until && (h.probing == 0 || now-h.probing > probeAge)
}

// onTrial reports whether the target failed lately and has not been well since.
func (h *health) onTrial() bool { return h.failures >= minFailures }

// sound reports whether the target has not failed since its last success.
func (h *health) sound() bool { return h.failures == 0 && !h.unreachable }

// begin notes that a request is sent.
func (h *health) begin(now time.Duration) {
	if h.onTrial() {
		h.probing = now
	}
}

func (h *health) succeed(now time.Duration) {
	h.failures, h.absences, h.probing, h.unreachable = 0, 0, 0, false
	h.observe(now, 0)
}

func (h *health) fail(now time.Duration, unreachable bool) {
	h.observe(now, 1)
	h.probing = 0
	h.failures++
	if unreachable {
		h.failures = max(h.failures, minFailures)
		h.unreachable = true
	}
	if over := h.failures - minFailures; over >= 0 {
		h.until = now + min(minBackoff<<min(over, maxDoublings), maxBackoff)
	}
}

// leave notes that another target answered at the address. The entry may only be
// late to go, so the target is tried again after a while.
func (h *health) leave(now time.Duration) {
	h.fail(now, false)
	h.failures = max(h.failures, minFailures)
	h.until = now + min(minAbsence<<min(h.absences, maxDoublings), maxAbsence)
	h.absences++
}

// probeDue reports whether a connection should be tried, and notes that it is.
func (h *health) probeDue(now time.Duration) bool {
	if !h.unreachable || now < h.until || h.probing != 0 && now-h.probing <= probeAge {
		return false
	}
	h.probing = now
	return true
}

// probed takes the result of a probe. A target that was reached gets one request
// first.
func (h *health) probed(now time.Duration, reached bool) {
	if !h.unreachable {
		return
	}
	if !reached {
		h.fail(now, true)
		return
	}
	h.unreachable, h.probing, h.until = false, 0, now
}
