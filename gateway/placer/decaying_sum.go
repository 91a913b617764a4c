package placer

import (
	"math"
	"time"
)

// decayingSum is a count and a sum of values that decay exponentially with time.
type decayingSum struct {
	// timeConstant is the time in which count and sum decay to 1/e.
	timeConstant time.Duration
	count, sum   float64
	updated      time.Duration
}

// add adds a number of values, given by their sum.
func (d *decayingSum) add(now time.Duration, count int, sum float64) {
	d.decay(now)
	d.count += float64(count)
	d.sum += sum
}

func (d *decayingSum) decay(now time.Duration) {
	if d.updated != now && d.count > 0 {
		factor := math.Exp(-float64(now-d.updated) / float64(d.timeConstant))
		d.count *= factor
		d.sum *= factor
	}
	d.updated = now
}

// rounded returns the decayed number of values, rounded to an integer, and the sum
// of as many values.
func (d *decayingSum) rounded(now time.Duration) (count, sum float64) {
	d.decay(now)
	count = math.Round(d.count)
	if count == 0 {
		return 0, 0
	}
	return count, d.sum * count / d.count
}
