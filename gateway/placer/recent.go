package placer

import (
	"math"
	"time"
)

// recent is the number and the sum of values that were seen lately.
type recent struct {
	// window is the time constant with which count and sum decay.
	window     time.Duration
	count, sum float64
	updated    time.Duration
}

// add adds a number of values with a sum.
func (r *recent) add(now time.Duration, count int, sum float64) {
	r.decay(now)
	r.count += float64(count)
	r.sum += sum
}

func (r *recent) decay(now time.Duration) {
	if r.updated != now && r.count > 0 {
		factor := math.Exp(-float64(now-r.updated) / float64(r.window))
		r.count *= factor
		r.sum *= factor
	}
	r.updated = now
}

// lately returns the number of recent values, rounded, and the sum of as many.
func (r *recent) lately(now time.Duration) (count, sum float64) {
	r.decay(now)
	count = math.Round(r.count)
	if count == 0 {
		return 0, 0
	}
	return count, r.sum * count / r.count
}
