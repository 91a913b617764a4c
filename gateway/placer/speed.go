package placer

import (
	"math"
	"time"
)

// speedSamples are the speeds of reading that recent first events of own requests
// at one engine showed.
type speedSamples struct {
	// count and logSum are sums that decay with speedWindow.
	count, logSum float64
	updated       time.Duration
}

// add adds a speed in tokens per millisecond.
func (s *speedSamples) add(now time.Duration, speed float64) {
	s.decay(now)
	s.count++
	s.logSum += math.Log(min(max(speed, minSpeed), maxSpeed))
}

func (s *speedSamples) decay(now time.Duration) {
	if s.updated == now || s.count == 0 {
		s.updated = now
		return
	}
	factor := math.Exp(-float64(now-s.updated) / float64(speedWindow))
	s.count *= factor
	s.logSum *= factor
	s.updated = now
}

// lately returns the number of recent samples, which is whole, and the sum of
// their logarithms.
func (s *speedSamples) lately(now time.Duration) (count, logSum float64) {
	s.decay(now)
	count = math.Round(s.count)
	if count == 0 {
		return 0, 0
	}
	return count, s.logSum * count / s.count
}
