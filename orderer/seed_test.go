package orderer

import "testing"

// seedsThatFailed are worlds in which the property once failed.
var seedsThatFailed = []struct {
	seed    uint64
	refuses []bool
	cause   string
}{
	{0x4732a70, refusing, "a token that was taken late let the time before count for the next one"},
}

// Guards against faults that came back.
func TestWorldsThatFailedOnce(t *testing.T) {
	for _, c := range seedsThatFailed {
		if err := newWorld(c.seed, c.refuses, mutant{}).run(); err != nil {
			t.Errorf("seed %#x, %s: %v", c.seed, c.cause, err)
		}
	}
}
