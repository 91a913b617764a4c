package orderer

import "time"

// bucket is a token bucket of size one, so that an owner exceeds what the rate
// allows in any period by at most one load. A token is reserved while a load is
// prepared and taken when the order is sent, so that loads prepared during an
// outage of the table service cannot be sent all at once.
type bucket struct {
	rate     float64 // tokens per second; 0 is unlimited
	tokens   float64
	reserved bool
	last     time.Duration // of the last refill
}

// roundingError is a tolerance in tokens: far above the rounding errors that add up
// over refills, and far below one token.
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

// reserve reserves the token and reports whether a load may be prepared.
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

// take removes the reserved token. Time during which the bucket was full does not
// count towards the next token.
func (b *bucket) take(now time.Duration) {
	if b.rate > 0 {
		b.refill(now)
		b.tokens--
		b.reserved = false
	}
}

// readyAt returns the earliest time at which a token is available.
func (b *bucket) readyAt(now time.Duration) time.Duration {
	if b.rate <= 0 || b.tokens >= 1-roundingError {
		return now
	}
	return b.last + time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + 1
}
