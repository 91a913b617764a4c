package table

import (
	"sync"
	"time"
)

// Rate is a token bucket that holds at most a tenth of a second of its rate.
type Rate struct {
	mu        sync.Mutex
	perSecond float64
	tokens    float64
	last      time.Time
}

// NewRate returns a full bucket; a rate of 0 is unlimited.
func NewRate(perSecond float64) *Rate {
	return &Rate{perSecond: perSecond, tokens: max(1, perSecond/10)}
}

// Take takes one token and reports whether there was one.
func (r *Rate) Take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perSecond <= 0 {
		return true
	}
	if !r.last.IsZero() {
		r.tokens = min(max(1, r.perSecond/10), r.tokens+now.Sub(r.last).Seconds()*r.perSecond)
	}
	r.last = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
