package table

import (
	"sync"
	"time"
)

// Rate is a token bucket whose capacity is the tokens of a tenth of a second, but at
// least one. It is safe for concurrent use.
type Rate struct {
	mu        sync.Mutex
	perSecond float64
	tokens    float64
	last      time.Time // of the last refill
}

// NewRate returns a full bucket; a rate of 0 means no limit.
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
