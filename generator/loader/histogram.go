package loader

import (
	"math"
	"sync"
	"time"
)

const (
	// histogramGrowth is the ratio of adjacent bucket limits. It bounds the relative
	// error of a quantile to 2%.
	histogramGrowth  = 1.02
	histogramLowest  = 10 * time.Microsecond
	histogramBuckets = 900 // up to 550 s
)

// Histogram counts durations in buckets of exponentially growing width. The zero
// value is empty. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts [histogramBuckets]uint64
	total  uint64
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) {
	i := 0
	if d > histogramLowest {
		i = min(histogramBuckets-1, 1+int(math.Log(float64(d)/float64(histogramLowest))/math.Log(histogramGrowth)))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[i]++
	h.total++
}

// Count returns the number of durations.
func (h *Histogram) Count() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// Quantile returns the upper limit of the bucket that contains quantile q, or 0 if
// the histogram is empty.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total == 0 {
		return 0
	}
	rank, seen := uint64(math.Ceil(q*float64(h.total))), uint64(0)
	for i, n := range h.counts {
		if seen += n; seen >= rank && n > 0 {
			return time.Duration(float64(histogramLowest) * math.Pow(histogramGrowth, float64(i)))
		}
	}
	return 0
}
