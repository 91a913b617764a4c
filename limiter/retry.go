package limiter

import "sync"

// budgetRequests is the number of requests whose unused retries the budget can accumulate, in
// addition to the retries allowed at the start.
const budgetRequests = 1000

// RetryBudget is a token bucket that limits the retries of one account to a ratio of its
// requests. It is safe for concurrent use.
type RetryBudget struct {
	// ratio is the number of tokens that each request adds, up to maximum.
	ratio   float64
	maximum float64
	mutex   sync.Mutex
	// tokens is the number of retries allowed now, not necessarily whole.
	tokens float64
}

// NewRetryBudget returns a budget of ratio retries per request, and minimum retries at the start.
func NewRetryBudget(ratio float64, minimum int) *RetryBudget {
	ratio, initial := max(ratio, 0), float64(max(minimum, 0))
	return &RetryBudget{ratio: ratio, maximum: initial + ratio*budgetRequests, tokens: initial}
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
	// Ten additions of a ratio of 0.1 give slightly less than 1 in floating point.
	const rounding = 1e-6
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}
