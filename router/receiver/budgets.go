package receiver

import "sync"

// budgets holds one retry budget per account.
type budgets struct {
	accounts sync.Map // account id to RetryBudget
}

func (b *budgets) of(account string, build func() RetryBudget) RetryBudget {
	if build == nil {
		return noRetries{}
	}
	if v, ok := b.accounts.Load(account); ok {
		return v.(RetryBudget)
	}
	v, _ := b.accounts.LoadOrStore(account, build())
	return v.(RetryBudget)
}

type noRetries struct{}

func (noRetries) Request()    {}
func (noRetries) Retry() bool { return false }
