package sleeper_test

import (
	"context"
	"testing"
	"time"

	"monsoondeck.example/sleeper"
)

// Guards against waits that outlast their context, and against time that is taken
// for passed when the context has ended.
func TestSleepEndsWithTheContext(t *testing.T) {
	alive := context.Background()
	ended, cancel := context.WithCancel(alive)
	cancel()
	for name, c := range map[string]struct {
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		"passed": {alive, time.Millisecond, true}, "none": {alive, 0, true}, "negative": {alive, -time.Second, true},
		"ended": {ended, time.Hour, false}, "ended without a time": {ended, 0, false},
	} {
		if got := sleeper.Sleep(c.ctx, c.d); got != c.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}
