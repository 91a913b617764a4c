package controller

import (
	"math"
	"sync"
	"time"
)

// rateWindow is the time constant of the moving average of the grant rate.
const rateWindow = 10 * time.Second

// The bounds of Retry-After keep callers from retrying in a tight loop, and from
// staying away for hours when a client account has had few grants recently.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// rates measures the grants per second of each client account at this daemon. The
// control goroutine writes it; traffic goroutines read it.
type rates struct {
	mutex    sync.Mutex
	accounts map[string]rate
}

// rate is an exponentially weighted moving count of grants.
type rate struct {
	// grants is the count at the time updated; it decays by the factor e in each
	// rateWindow.
	grants  float64
	updated time.Duration
}

func newRates() *rates { return &rates{accounts: map[string]rate{}} }

// decayed returns the count at the time now.
func (r rate) decayed(now time.Duration) float64 {
	return r.grants * math.Exp(-float64(now-r.updated)/float64(rateWindow))
}

func (r *rates) recordGrant(account string, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.accounts[account] = rate{grants: r.accounts[account].decayed(now) + 1, updated: now}
}

// retryAfterGrants is the number of requests of a full queue that should be granted
// before a rejected caller retries.
const retryAfterGrants = 16

// retryAfter estimates the time in which retryAfterGrants requests of the client
// account are granted.
func (r *rates) retryAfter(account string, now time.Duration) time.Duration {
	r.mutex.Lock()
	perSecond := r.accounts[account].decayed(now) / rateWindow.Seconds()
	r.mutex.Unlock()
	if perSecond <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(retryAfterGrants / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// evictIdle drops client accounts without a grant in the last ten rateWindows.
func (r *rates) evictIdle(now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for account, entry := range r.accounts {
		if now-entry.updated > 10*rateWindow {
			delete(r.accounts, account)
		}
	}
}
