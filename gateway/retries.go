package gateway

import (
	"sync"
	"time"

	"monsoondeck.example/gateway/settings"
	"monsoondeck.example/limiter"
)

const (
	// ratioShare is the part of the retry ratio that each daemon uses. The rest is a
	// margin, since the daemons' views of the window differ.
	ratioShare = 0.8
	// minFleetSize is the minimum number of daemons among which the slack is divided,
	// as a daemon that starts does not know the others yet.
	minFleetSize = 8
)

// retryBudgets divides the retry budget of each service among the daemons: a daemon
// may retry the ratio of its own requests and use an equal part of the slack. It
// implements receiver.RetryBudget.
type retryBudgets struct {
	settings settings.Settings
	clock    func() time.Duration
	// peers returns the number of other daemons.
	peers func() int

	mutex sync.Mutex
	// budgets holds the budget of each service. mutex guards it.
	budgets map[string]*limiter.WindowBudget
}

func newRetryBudgets(s settings.Settings, clock func() time.Duration, peers func() int) *retryBudgets {
	return &retryBudgets{settings: s, clock: clock, peers: peers, budgets: map[string]*limiter.WindowBudget{}}
}

// RecordRequest implements receiver.RetryBudget.
func (r *retryBudgets) RecordRequest(service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget(service).Request(r.clock())
}

// TakeRetry implements receiver.RetryBudget.
func (r *retryBudgets) TakeRetry(service string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget(service).Retry(r.clock(), r.slack())
}

// HasRetry implements receiver.RetryBudget.
func (r *retryBudgets) HasRetry(service string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget(service).Allows(r.clock(), r.slack())
}

// slack returns the part of this daemon in the slack.
func (r *retryBudgets) slack() float64 {
	return r.settings.RetrySlack / float64(max(r.peers()+1, minFleetSize))
}

// budget returns the budget of a service. The caller must hold the mutex.
func (r *retryBudgets) budget(service string) *limiter.WindowBudget {
	b := r.budgets[service]
	if b == nil {
		b = limiter.NewWindowBudget(r.settings.RetryWindow, ratioShare*r.settings.RetryRatio)
		r.budgets[service] = b
	}
	return b
}
