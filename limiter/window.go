package limiter

import "time"

// windowSteps is the number of steps into which a window is divided.
const windowSteps = 20

// WindowBudget limits retries to a ratio of the requests in a sliding window
// plus a slack. The bound holds in every span of the window's length, because
// requests count only while they are in the window, and retries for one step
// longer. It is not safe for concurrent use.
type WindowBudget struct {
	step  time.Duration
	ratio float64
	// currentStep is the number of the newest step.
	currentStep int64
	// requests and retries are ring buffers with the counts per step.
	requests, retries [windowSteps + 1]int
}

// NewWindowBudget returns a budget without requests.
func NewWindowBudget(window time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{step: max(window/windowSteps, time.Millisecond), ratio: max(ratio, 0)}
}

// Request records a first attempt.
func (b *WindowBudget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.currentStep%int64(len(b.requests))]++
}

// Retry reports whether the budget and the slack allow one more retry, and counts it if so.
func (b *WindowBudget) Retry(now time.Duration, slack float64) bool {
	if !b.Allows(now, slack) {
		return false
	}
	b.retries[b.currentStep%int64(len(b.retries))]++
	return true
}

// Allows reports whether the budget and the slack allow one more retry.
func (b *WindowBudget) Allows(now time.Duration, slack float64) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	// The oldest step is partly outside the window.
	requests -= b.requests[(b.currentStep+1)%int64(len(b.requests))]
	return float64(retries+1) <= b.ratio*float64(requests)+slack
}

// advance moves the window to the current time and clears the steps that it enters.
func (b *WindowBudget) advance(now time.Duration) {
	step := int64(now / b.step)
	if step <= b.currentStep {
		return
	}
	n := int64(len(b.requests))
	for i := max(b.currentStep+1, step-n+1); i <= step; i++ {
		b.requests[i%n], b.retries[i%n] = 0, 0
	}
	b.currentStep = step
}
