package limiter

import "time"

// windowBuckets is the number of steps in which a window slides.
const windowBuckets = 20

// WindowBudget allows retries up to a ratio of the requests in a sliding window
// plus a slack. The bound holds in every span of the window's length, because
// requests count only while they are in the window and retries for one step
// longer. It is pure.
type WindowBudget struct {
	step  time.Duration
	ratio float64
	// current is the number of the newest step.
	current           int64
	requests, retries [windowBuckets + 1]int
}

// NewWindowBudget returns a budget without requests.
func NewWindowBudget(window time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{step: max(window/windowBuckets, time.Millisecond), ratio: max(ratio, 0)}
}

// Request records a first attempt.
func (b *WindowBudget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.current%int64(len(b.requests))]++
}

// Retry takes one retry and reports whether the budget allows it with the slack.
func (b *WindowBudget) Retry(now time.Duration, slack float64) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	// The oldest step reaches beyond the window.
	requests -= b.requests[(b.current+1)%int64(len(b.requests))]
	if float64(retries+1) > b.ratio*float64(requests)+slack {
		return false
	}
	b.retries[b.current%int64(len(b.retries))]++
	return true
}

// advance empties the steps that have left the window.
func (b *WindowBudget) advance(now time.Duration) {
	step := int64(now / b.step)
	if step <= b.current {
		return
	}
	n := int64(len(b.requests))
	for i := max(b.current+1, step-n+1); i <= step; i++ {
		b.requests[i%n], b.retries[i%n] = 0, 0
	}
	b.current = step
}
