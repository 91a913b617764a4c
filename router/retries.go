package router

import (
	"sync"

	"monsoondeck.example/limiter"
)

const (
	// retryRatio is the fraction of an account's recent requests that may be retried.
	retryRatio = 0.1
	// initialRetries is the budget of an account before its first request, so that an
	// account with few requests can retry at all.
	initialRetries = 3
)

// retryBudgets holds one retry budget for each client account. It implements
// receiver.RetryBudget.
type retryBudgets struct {
	mutex   sync.Mutex
	budgets map[string]*limiter.RetryBudget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{budgets: map[string]*limiter.RetryBudget{}}
}

// RecordRequest counts a request of the account.
func (b *retryBudgets) RecordRequest(account string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget(account).Request()
}

// AllowRetry reports whether the account may retry, and if so spends one retry of
// its budget.
func (b *retryBudgets) AllowRetry(account string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget(account).Retry()
}

// budget returns the budget of the account; the mutex must be held.
func (b *retryBudgets) budget(account string) *limiter.RetryBudget {
	if b.budgets[account] == nil {
		b.budgets[account] = limiter.NewRetryBudget(retryRatio, initialRetries)
	}
	return b.budgets[account]
}
