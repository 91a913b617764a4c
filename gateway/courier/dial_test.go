package courier

import (
	"testing"
	"time"
)

// Load: a small host that is flooded by the callers of one account. Guards against
// taking targets for unreachable because the host itself has no time to notice that
// they have answered.
func TestBusyHostsWaitLongerForConnections(t *testing.T) {
	delay := time.Duration(0)
	c, closeAll := New(func() time.Duration { return delay })
	defer closeAll()
	for _, want := range []struct{ delay, timeout time.Duration }{
		{0, 250 * time.Millisecond}, {60 * time.Millisecond, 550 * time.Millisecond}, {time.Second, time.Second},
	} {
		delay = want.delay
		if got := c.patientDialer().Timeout; got != want.timeout {
			t.Errorf("%v late: a connection may take %v, want %v", want.delay, got, want.timeout)
		}
	}
}
