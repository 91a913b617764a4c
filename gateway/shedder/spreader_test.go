package shedder_test

import (
	"testing"

	"monsoondeck.example/gateway/shedder"
)

// Guards against a share of admitted requests that differs from the one that was asked for,
// and against bursts of them.
func TestSpreaderAdmitsTheShareWithoutBursts(t *testing.T) {
	for _, refused := range []float64{0, 0.3, 0.85, 0.99, 1} {
		var s shedder.Spreader
		admitted, run, longestRun := 0, 0, 0
		for range 10_000 {
			if s.Admit(refused) {
				admitted++
				run++
			} else {
				run = 0
			}
			longestRun = max(longestRun, run)
		}
		if want := 10_000 * (1 - refused); float64(admitted) < want-2 || float64(admitted) > want+2 {
			t.Errorf("refused share %v: %d of 10,000 admitted", refused, admitted)
		}
		if refused >= 0.85 && longestRun > 1 {
			t.Errorf("refused share %v: %d admitted in a row", refused, longestRun)
		}
	}
}

// Load: one request in twenty is of an account that sends at regular times. Guards against
// such an account that is never admitted, or always.
func TestSpreaderTreatsRegularCallersLikeOthers(t *testing.T) {
	var s shedder.Spreader
	admitted := 0
	for i := range 10_000 {
		if s.Admit(0.85) && i%20 == 0 {
			admitted++
		}
	}
	if admitted < 50 || admitted > 100 {
		t.Errorf("%d of 500 requests of the regular caller were admitted, want about 75", admitted)
	}
}
