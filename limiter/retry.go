package limiter

import "sync"

// RetryBudget allows retries up to a ratio of an account's recent requests. It is safe for
// concurrent use.
type RetryBudget struct {
	ratio   float64
	minimum int
	mutex   sync.Mutex
	tokens  float64
}

// NewRetryBudget allows ratio retries per request, and minimum retries at the start.
func NewRetryBudget(ratio float64, minimum int) *RetryBudget {
	return &RetryBudget{ratio: ratio, minimum: minimum, tokens: float64(minimum)}
}

// Request records a first attempt.
func (b *RetryBudget) Request() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens += b.ratio
}

// Retry takes one retry from the budget and reports whether it is allowed.
func (b *RetryBudget) Retry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
