package router

import (
	"sync"

	"monsoondeck.example/limiter"
)

const (
	// retryRatio is the part of an account's recent requests that may be retried.
	retryRatio = 0.1
	// minRetries lets an account with few requests retry at all.
	minRetries = 3
)

// retryBudgets holds one retry budget for each client account.
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

func (b *retryBudgets) budget(account string) *limiter.RetryBudget {
	if b.budgets[account] == nil {
		b.budgets[account] = limiter.NewRetryBudget(retryRatio, minRetries)
	}
	return b.budgets[account]
}
