package shedder

import (
	"math"
	"time"
)

const (
	// maxUse is the part of the processor time of the host that is planned for requests. The
	// rest is for the exchange with other daemons, garbage collection and logs.
	maxUse = 0.95
	// burstTime is the time that the host may need for what it has admitted at once. It is a
	// small part of the shortest objective that callers use.
	burstTime = 25 * time.Millisecond
	// targetDelay is the delay of timers to which the budget is trimmed. trimGain is the part
	// by which the trim changes in a TimerInterval if there is no delay, and maxTrimError
	// bounds how much faster it falls. minTrim and maxTrim bound the trim.
	targetDelay            = 30 * time.Millisecond
	trimGain, maxTrimError = 0.02, 3.0
	minTrim, maxTrim       = 0.2, 1.2
	// preferredTime is the time that the host may need for the requests of accounts that have
	// had less than others, by which they may exceed the budget.
	preferredTime = 100 * time.Millisecond
	// refusalUse is the part of the processor time that refusals may take, so that a flood
	// cannot take all of it.
	refusalUse = 0.3
	// refusalCost is the processor time of a refusal, in seconds of a core.
	refusalCost = 80e-6
	// initialCost is the processor time of a request before any was measured, minCost and
	// maxCost bound what is measured, in seconds of a core.
	initialCost, minCost, maxCost = 500e-6, 100e-6, 3e-3
	// costTimeConstant is the time over which the processor time of requests is averaged. It
	// is longer than most responses, which take processor time until their end.
	costTimeConstant = 2 * time.Second
	// minMeasuredUse is the used part of the processor time from which the cost of a request
	// is measured unless requests were refused: on an idle host, other work prevails.
	minMeasuredUse = 0.5
	// pendingPerCore is the number of connections that may wait in the kernel, for each core.
	pendingPerCore = 250
	// shareTimeConstant is the time over which the refused share is averaged.
	shareTimeConstant = 300 * time.Millisecond
)

// ProcessorBudget admits requests by the processor time that they will take, so that a host takes in no
// more than it finishes in time. A control that waits for the delay comes too late: a burst has
// been accepted as a whole before its requests take their time. What a request costs is measured.
// It is not safe for concurrent use.
type ProcessorBudget struct {
	// cores is the processor time of the host in seconds per second; 0 means that it is
	// unknown and everything is admitted.
	cores float64
	// balance and refusals are the processor time that is left for requests and, as a part
	// of it, for refusals, in seconds, at the time updated.
	balance, refusals float64
	updated           time.Duration
	// trim is the part of the planned processor time that is given out. It falls while the host
	// is behind with what it has admitted, and rises while the budget limits a host that is not.
	trim float64
	// used is the processor time of the process, at the time measured; usedSum and
	// admittedSum are the decaying sums of what was used while the host was busy and of the
	// requests that were admitted in that time.
	used, measured       time.Duration
	usedSum, admittedSum float64
	// admitted and rejected count the requests since the last measurement; limited is set if
	// the budget has admitted less than was offered in that time.
	admitted, rejected int
	limited            bool
	// offeredRate and refusedRate are decaying counts of the requests and of those refused,
	// offered is the time of the last request.
	offeredRate, refusedRate float64
	offered                  time.Duration
	rated                    time.Duration
}

// NewProcessorBudget returns a ProcessorBudget for a host with the given processor time in cores; 0 means unknown.
func NewProcessorBudget(cores float64) *ProcessorBudget {
	b := &ProcessorBudget{cores: max(cores, 0), trim: 1}
	b.balance, b.refusals = b.burst(), refusalUse*b.burst()
	b.usedSum, b.admittedSum = b.burst(), b.burst()/initialCost
	return b
}

// MaxPending returns how many connections may wait to be accepted at a host with the given
// processor time in cores, so that the oldest is accepted in time; 0 means no limit.
func MaxPending(cores float64) int {
	if cores <= 0 {
		return 0
	}
	return max(int(pendingPerCore*cores), 1)
}

// Known reports whether the processor time of the host is known.
func (b *ProcessorBudget) Known() bool { return b.cores > 0 }

// Admit reports whether the host has processor time for a request, and takes it.
func (b *ProcessorBudget) Admit(now time.Duration) bool { return b.take(now, 0) }

// AdmitPreferred is like Admit, for a request that is admitted at the cost of those that come
// later.
func (b *ProcessorBudget) AdmitPreferred(now time.Duration) bool {
	return b.take(now, -b.maxDebt())
}

func (b *ProcessorBudget) take(now time.Duration, least float64) bool {
	if !b.Known() {
		return true
	}
	b.refill(now)
	if b.balance <= least {
		b.limited = true
		return false
	}
	b.balance -= b.cost()
	b.admitted++
	b.rate(now, 0)
	return true
}

// Return gives back the processor time of a request that was admitted and is not served.
func (b *ProcessorBudget) Return(now time.Duration) {
	if !b.Known() {
		return
	}
	b.refill(now)
	b.balance = min(b.balance+b.cost(), b.burst())
	b.admitted--
}

// TakeBackRefusal takes back that a request counts as refused, since it was admitted after all.
func (b *ProcessorBudget) TakeBackRefusal(now time.Duration) {
	b.rate(now, -1)
	b.offeredRate, b.refusedRate = max(b.offeredRate-1, 0), max(b.refusedRate-1, 0)
}

// Refuse takes the processor time of a refusal.
func (b *ProcessorBudget) Refuse(now time.Duration) {
	if !b.Known() {
		return
	}
	b.refill(now)
	// The debt is bounded, so that a flood that ends is forgotten soon.
	b.balance = max(b.balance-refusalCost, -b.maxDebt())
	b.refusals = max(b.refusals-refusalCost, -refusalUse*b.burst())
	b.rejected++
	b.rate(now, 1)
}

// MayRefuse reports whether the host has processor time to refuse a request.
func (b *ProcessorBudget) MayRefuse(now time.Duration) bool {
	b.refill(now)
	return !b.Known() || b.refusals > 0
}

// RefusedShare returns the recent share of the requests that were refused, between 0 and 1. It
// falls once requests no longer come: both counts then decay alike, and their quotient says for
// seconds that the host is as busy as it was.
func (b *ProcessorBudget) RefusedShare(now time.Duration) float64 {
	b.rate(now, -1)
	if b.offeredRate < 1 {
		return 0
	}
	silence := max(now-b.offered-TimerInterval, 0)
	return min(b.refusedRate/b.offeredRate, 1) * math.Exp(-float64(silence)/float64(shareTimeConstant))
}

// RecordUse records the processor time that the process has used since its start, and the delay
// of a timer. It is called every TimerInterval.
func (b *ProcessorBudget) RecordUse(now, used, delay time.Duration) {
	if !b.Known() {
		return
	}
	b.refill(now)
	if deviation := float64(targetDelay-delay) / float64(targetDelay); b.limited || deviation < 0 {
		b.trim = min(max(b.trim*(1+trimGain*max(deviation, -maxTrimError)), minTrim), maxTrim)
	}
	interval, spent := now-b.measured, (used - b.used).Seconds()
	if busy := spent >= minMeasuredUse*b.cores*interval.Seconds(); b.measured > 0 && (busy && b.admitted > 0 || b.limited) {
		decay := math.Exp(-float64(interval) / float64(costTimeConstant))
		b.usedSum = decay*b.usedSum + max(spent-float64(b.rejected)*refusalCost, 0)
		b.admittedSum = decay*b.admittedSum + float64(b.admitted)
	}
	b.admitted, b.rejected, b.limited = 0, 0, false
	b.used, b.measured = used, now
}

// cost returns the processor time of a request in seconds.
func (b *ProcessorBudget) cost() float64 {
	return min(max(b.usedSum/max(b.admittedSum, 1), minCost), maxCost)
}

// burst returns the processor time of burstTime in seconds.
func (b *ProcessorBudget) burst() float64 { return maxUse * b.cores * burstTime.Seconds() }

// maxDebt returns the processor time by which the budget may be exceeded, in seconds.
func (b *ProcessorBudget) maxDebt() float64 { return maxUse * b.cores * preferredTime.Seconds() }

// refill adds the processor time since the last call.
func (b *ProcessorBudget) refill(now time.Duration) {
	elapsed := max(now-b.updated, 0).Seconds()
	b.updated = max(now, b.updated)
	b.balance = min(b.balance+elapsed*maxUse*b.cores*b.trim, b.burst())
	b.refusals = min(b.refusals+elapsed*refusalUse*b.cores, refusalUse*b.burst())
}

// rate counts a request, of which the given part was refused; a negative part counts none.
func (b *ProcessorBudget) rate(now time.Duration, refused float64) {
	decay := math.Exp(-float64(max(now-b.rated, 0)) / float64(shareTimeConstant))
	b.rated = max(now, b.rated)
	b.offeredRate, b.refusedRate = decay*b.offeredRate, decay*b.refusedRate
	if refused >= 0 {
		b.offered = b.rated
		b.offeredRate++
		b.refusedRate += refused
	}
}
