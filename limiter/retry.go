package limiter

import "sync"

// recentRequests bounds the requests that count as recent: unused retries of earlier ones
// are lost.
const recentRequests = 1000

// RetryBudget allows one account retries up to a ratio of its recent requests. It is safe for
// concurrent use.
type RetryBudget struct {
	ratio   float64
	maximum float64
	mutex   sync.Mutex
	// tokens is the number of retries allowed now.
	tokens float64
}

// NewRetryBudget allows ratio retries per request, and minimum retries at the start.
func NewRetryBudget(ratio float64, minimum int) *RetryBudget {
	ratio, first := max(ratio, 0), float64(max(minimum, 0))
	return &RetryBudget{ratio: ratio, maximum: first + ratio*recentRequests, tokens: first}
}

// Request records a first attempt.
func (b *RetryBudget) Request() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.maximum)
}

// Retry takes one retry from the budget and reports whether it is allowed.
func (b *RetryBudget) Retry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// Ten additions of a ratio of 0.1 give slightly less than 1.
	const rounding = 1e-6
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}
