package orderer

import "testing"

// regressionSeeds are the seeds of worlds in which the property once failed.
var regressionSeeds = []struct {
	seed    uint64
	refuses []bool
	cause   string
}{
	{0x4732a70, refusing, "after a token was taken late, the time before counted towards the next one"},
}

// Guards against the return of faults that were fixed.
func TestRegressionSeeds(t *testing.T) {
	for _, c := range regressionSeeds {
		if err := newWorld(c.seed, c.refuses, mutant{}).run(); err != nil {
			t.Errorf("seed %#x, %s: %v", c.seed, c.cause, err)
		}
	}
}
