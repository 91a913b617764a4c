package quarantiner

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// trialDelay is the time from the last crash of a part in doubt, or from the last trial,
	// until a request with it may be sent as a trial. It doubles with each crash.
	trialDelay = 5 * time.Second
	// trialSpacing is the mean time between the trials of different daemons, within which most
	// trials end.
	trialSpacing = 500 * time.Millisecond
	// maxTrialCrashes is the number of crashes from which there are no trials: each one may
	// crash a target.
	maxTrialCrashes = 5
)

// Fleet says which of how many daemons this one is. The zero value stands for an unknown fleet.
type Fleet struct {
	Host    string
	Daemons int
}

// turn returns the time by which the trials of this daemon are later than those of the first
// one. It spreads the daemons evenly, in another order for each part.
func (f Fleet) turn(p Part) time.Duration {
	fraction := float64(xxhash.Sum64String(f.Host+strconv.FormatUint(uint64(p), 16))) / math.MaxUint64
	return time.Duration(fraction * float64(f.Daemons) * float64(trialSpacing))
}

// inDoubt reports whether a part in quarantine may be sound after all: it was answered before,
// and in few crashes.
func (v verdict) inDoubt(s *suspect) bool {
	return s.known && !s.whole && v.crashes < maxTrialCrashes
}

// TakeTrial reports whether a request that is Blocked may be sent all the same, because the
// parts in quarantine are in doubt and it is the turn of this daemon to try one. The answer
// proves them sound; without trials, nothing could.
func (q *Quarantine) TakeTrial(now time.Duration, parts []Part, f Fleet) bool {
	if f.Daemons == 0 {
		return false
	}
	var tried []*suspect
	for p, v := range q.blocking(now, parts) {
		s := q.suspects[p]
		delay := trialDelay << max(v.crashes-provenPartCrashes, 0)
		if !v.inDoubt(s) || now < max(v.last, s.triedAt)+delay+f.turn(p) {
			return false
		}
		tried = append(tried, s)
	}
	for _, s := range tried {
		s.triedAt = now
	}
	return len(tried) > 0
}
