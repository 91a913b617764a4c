package meter

import (
	"testing"
	"time"
)

// Guards against a clock of the kernel by which a request arrived before the previous one of
// its connection, so that it counts as too old.
func TestRequestsArriveInTheirOrder(t *testing.T) {
	var c Conn
	first := time.Now()
	for _, a := range []struct{ at, want time.Time }{
		{first, first},
		{first.Add(-time.Hour), first},
		{first.Add(time.Second), first.Add(time.Second)},
	} {
		if got := c.RecordArrival(a.at); !got.Equal(a.want) {
			t.Errorf("a request that arrived %v after the first was recorded at %v", a.at.Sub(first), got.Sub(first))
		}
	}
}
