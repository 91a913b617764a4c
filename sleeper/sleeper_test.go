package sleeper_test

import (
	"context"
	"testing"
	"time"

	"monsoondeck.example/sleeper"
)

// Guards against a Sleep that outlasts its context, and against one that reports true
// although the context ended first.
func TestSleepEndsWithTheContext(t *testing.T) {
	active := context.Background()
	ended, cancel := context.WithCancel(active)
	cancel()
	for name, c := range map[string]struct {
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		"passed": {active, time.Millisecond, true}, "none": {active, 0, true}, "negative": {active, -time.Second, true},
		"ended": {ended, time.Hour, false}, "ended without a duration": {ended, 0, false},
	} {
		if got := sleeper.Sleep(c.ctx, c.d); got != c.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}
