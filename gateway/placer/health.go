package placer

import (
	"math"
	"time"
)

// health decides from the results of requests whether a target may get more of them.
// After failureThreshold consecutive failures, or at once if it was unreachable or
// misdirected, the target gets a single request, the probe, after each back-off. The
// first success ends the back-off. A connection attempt serves as the first probe of
// an unreachable target.
type health struct {
	// consecutiveFailures counts the failures since the last success, misdirections
	// those of them in which a different target answered at the address.
	consecutiveFailures, misdirections int
	// backoffUntil is the end of the back-off.
	backoffUntil time.Duration
	// probeSentAt is the time of the last unfinished probe, which is a request or an
	// attempt to connect; 0 means none.
	probeSentAt time.Duration
	// unreachable is set from a failed connection until a probe connects. Such a target
	// gets no requests, since each would lose the time of a failing connection.
	unreachable bool
	// errorRate is the moving share of requests that failed, as of errorRateAt. It
	// decays with time, since a target without requests cannot show that it has
	// recovered.
	errorRate   float64
	errorRateAt time.Duration
}

// errorRateNow returns the error rate, decayed until now.
func (h *health) errorRateNow(now time.Duration) float64 {
	if h.errorRate == 0 {
		return 0
	}
	return h.errorRate * math.Exp(-float64(now-h.errorRateAt)/float64(errorRateTimeConstant))
}

// recordResult adds a request to the error rate; failed is 1 for a failure and 0 for
// a success.
func (h *health) recordResult(now time.Duration, failed float64) {
	h.errorRate, h.errorRateAt = h.errorRateNow(now), now
	h.errorRate += errorRateWeight * (failed - h.errorRate)
}

// usable reports whether the target may get a request.
func (h *health) usable(now time.Duration) bool {
	if h.unreachable {
		return false
	}
	if h.consecutiveFailures < failureThreshold {
		return true
	}
	return now >= h.backoffUntil && (h.probeSentAt == 0 || now-h.probeSentAt > probeTimeout)
}

// recovering reports whether the target has reached failureThreshold and has had no
// success since.
func (h *health) recovering() bool { return h.consecutiveFailures >= failureThreshold }

// healthy reports whether the target has not failed since its last success.
func (h *health) healthy() bool { return h.consecutiveFailures == 0 && !h.unreachable }

// recordSend records that a request is sent.
func (h *health) recordSend(now time.Duration) {
	if h.recovering() {
		h.probeSentAt = now
	}
}

func (h *health) recordSuccess(now time.Duration) {
	h.consecutiveFailures, h.misdirections, h.probeSentAt, h.unreachable = 0, 0, 0, false
	h.recordResult(now, 0)
}

func (h *health) recordFailure(now time.Duration, unreachable bool) {
	h.recordResult(now, 1)
	h.probeSentAt = 0
	h.consecutiveFailures++
	if unreachable {
		h.consecutiveFailures = max(h.consecutiveFailures, failureThreshold)
		h.unreachable = true
	}
	if over := h.consecutiveFailures - failureThreshold; over >= 0 {
		h.backoffUntil = now + min(minBackoff<<min(over, maxBackoffDoublings), maxBackoff)
	}
}

// recordMisdirection records that a different target answered at the address. The
// registry entry may be out of date for only a while, so the target is tried again
// later.
func (h *health) recordMisdirection(now time.Duration) {
	h.recordFailure(now, false)
	h.consecutiveFailures = max(h.consecutiveFailures, failureThreshold)
	h.backoffUntil = now + min(minMisdirectedBackoff<<min(h.misdirections, maxBackoffDoublings), maxMisdirectedBackoff)
	h.misdirections++
}

// startProbeIfDue reports whether a connection should be tried, and if so records
// the time.
func (h *health) startProbeIfDue(now time.Duration) bool {
	if !h.unreachable || now < h.backoffUntil || h.probeSentAt != 0 && now-h.probeSentAt <= probeTimeout {
		return false
	}
	h.probeSentAt = now
	return true
}

// recordProbe records the result of a probe. A target that was reached gets a single
// request first.
func (h *health) recordProbe(now time.Duration, reached bool) {
	if !h.unreachable {
		return
	}
	if !reached {
		h.recordFailure(now, true)
		return
	}
	h.unreachable, h.probeSentAt, h.backoffUntil = false, 0, now
}
