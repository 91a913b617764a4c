package limiter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/limiter"
)

// TestRetriesStayWithinTheBoundInEveryWindow guards against more retries than the bound in any
// span of the window's length.
func TestRetriesStayWithinTheBoundInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		ratio, slack := rapid.Float64Range(0, 1).Draw(t, "ratio"), rapid.Float64Range(0, 10).Draw(t, "slack")
		b := limiter.NewWindowBudget(window, ratio)
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			} else if b.Retry(now, slack) {
				retries = append(retries, now)
				in := func(all []time.Duration) (n int) {
					for _, at := range all {
						if now-at <= window {
							n++
						}
					}
					return n
				}
				if got, bound := float64(in(retries)), ratio*float64(in(requests))+slack; got > bound+1e-9 {
					t.Fatalf("%v retries at %v, bound %v", got, now, bound)
				}
			}
		}
	})
}

// TestRetriesComeBackAfterTheWindow guards against a budget that never recovers.
func TestRetriesComeBackAfterTheWindow(t *testing.T) {
	b := limiter.NewWindowBudget(time.Second, 0)
	if !b.Retry(0, 1) || b.Retry(0, 1) || !b.Retry(3*time.Second, 1) {
		t.Error("one retry is allowed in each window")
	}
}
