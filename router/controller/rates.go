package controller

import (
	"math"
	"sync"
	"time"
)

// rateWindow is the time constant of the measured rate of service.
const rateWindow = 10 * time.Second

// The bounds of Retry-After keep callers from retrying in a tight loop and
// from giving up for hours after a quiet phase.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// rates measures how many requests a second of each client account are granted
// at this daemon. The loop writes it, traffic goroutines read it.
type rates struct {
	mutex    sync.Mutex
	accounts map[string]rate
}

// rate is an exponentially weighted count of grants.
type rate struct {
	// grants decays by the factor e in each rateWindow.
	grants float64
	at     time.Duration
}

func newRates() *rates { return &rates{accounts: map[string]rate{}} }

func (r rate) decayed(now time.Duration) float64 {
	return r.grants * math.Exp(-float64(now-r.at)/float64(rateWindow))
}

func (r *rates) granted(account string, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.accounts[account] = rate{grants: r.accounts[account].decayed(now) + 1, at: now}
}

// retryQueueShare is the part of a full queue that should be served before a
// refused caller tries again.
const retryQueueShare = 16

// untilRoom is the time in which a small part of a queue will be served.
func (r *rates) untilRoom(account string, now time.Duration) time.Duration {
	r.mutex.Lock()
	perSecond := r.accounts[account].decayed(now) / rateWindow.Seconds()
	r.mutex.Unlock()
	if perSecond <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(retryQueueShare / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// forget drops client accounts that have had no grant for a long time.
func (r *rates) forget(now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for account, entry := range r.accounts {
		if now-entry.at > 10*rateWindow {
			delete(r.accounts, account)
		}
	}
}
