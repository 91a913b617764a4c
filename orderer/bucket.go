package orderer

import "time"

// bucket is a token bucket that holds at most one token, so that an owner adds
// at most one load to what the rate allows in any period. A token is reserved
// while a load is prepared and taken when the order is sent: loads that were
// prepared during an outage of the table service cannot be sent together.
type bucket struct {
	rate     float64 // tokens per second; 0 is unlimited
	tokens   float64
	reserved bool
	last     time.Duration
}

// roundingError is far above the error of a sum of fractions of a token and far
// below a token.
const roundingError = 1e-9

func (b *bucket) refill(now time.Duration) {
	b.tokens = min(1, b.tokens+max(0, now-b.last).Seconds()*b.rate)
	b.last = now
}

// setRate changes the rate from now on.
func (b *bucket) setRate(now time.Duration, rate float64) {
	b.refill(now)
	b.rate = rate
}

// reserve reports whether a load may be prepared.
func (b *bucket) reserve(now time.Duration) bool {
	if b.rate <= 0 {
		return true
	}
	b.refill(now)
	if b.reserved || b.tokens < 1-roundingError {
		return false
	}
	b.reserved = true
	return true
}

// take uses the reserved token. The time before, in which the bucket was full, adds
// nothing to the next one.
func (b *bucket) take(now time.Duration) {
	if b.rate > 0 {
		b.refill(now)
		b.tokens--
		b.reserved = false
	}
}

// ready returns when the next token is there, at the earliest.
func (b *bucket) ready(now time.Duration) time.Duration {
	if b.rate <= 0 || b.tokens >= 1-roundingError {
		return now
	}
	return b.last + time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + 1
}
