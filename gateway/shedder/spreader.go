package shedder

// Spreader admits a share of a sequence of requests at even distances, so that a small share
// does not come in bursts. The zero value is ready for use. It is not safe for concurrent use.
type Spreader struct {
	// due is the number of requests, up to one, that are to be admitted.
	due float64
}

// Admit reports whether the next request is admitted if the given share is refused.
func (s *Spreader) Admit(refusedShare float64) bool {
	s.due += 1 - refusedShare
	if s.due < 1 {
		return false
	}
	s.due = min(s.due-1, 1)
	return true
}
