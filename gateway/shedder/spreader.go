package shedder

import "math"

// goldenRatio spreads the distances between admitted requests evenly without a period.
const goldenRatio = 0.6180339887498949

// Spreader admits a share of a sequence of requests at similar distances, so that a small
// share does not come in bursts. The distances vary, so that no caller that sends at regular
// times is always refused. The zero value is ready for use. It is not safe for concurrent use.
type Spreader struct {
	// due is the number of requests that are to be admitted, admitted that of those that were.
	due      float64
	admitted uint64
}

// Admit reports whether the next request is admitted if the given share is refused.
func (s *Spreader) Admit(refusedShare float64) bool {
	if refusedShare <= 0 {
		return true
	}
	s.due += 1 - refusedShare
	_, variation := math.Modf(float64(s.admitted) * goldenRatio)
	if s.due < 0.5+variation {
		return false
	}
	s.due--
	s.admitted++
	return true
}
