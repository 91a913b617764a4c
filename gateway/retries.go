package gateway

import (
	"sync"
	"time"

	"monsoondeck.example/gateway/settings"
	"monsoondeck.example/limiter"
)

const (
	// ratioShare leaves room for the daemons' different views of the window.
	ratioShare = 0.8
	// minFleet is the number of daemons assumed while the others are not known.
	minFleet = 8
)

// retries divides the retry budget of the fleet: each daemon may use the ratio
// on its own requests and an even part of the slack.
type retries struct {
	settings settings.Settings
	clock    func() time.Duration
	peers    func() int

	mutex   sync.Mutex
	budgets map[string]*limiter.WindowBudget
}

func newRetries(s settings.Settings, clock func() time.Duration, peers func() int) *retries {
	return &retries{settings: s, clock: clock, peers: peers, budgets: map[string]*limiter.WindowBudget{}}
}

// Request implements receiver.Retries.
func (r *retries) Request(service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget(service).Request(r.clock())
}

// Retry implements receiver.Retries.
func (r *retries) Retry(service string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slack := r.settings.RetrySlack / float64(max(r.peers()+1, minFleet))
	return r.budget(service).Retry(r.clock(), slack)
}

func (r *retries) budget(service string) *limiter.WindowBudget {
	b := r.budgets[service]
	if b == nil {
		b = limiter.NewWindowBudget(r.settings.RetryWindow, ratioShare*r.settings.RetryRatio)
		r.budgets[service] = b
	}
	return b
}
