package shedder_test

import (
	"math"
	"testing"

	"monsoondeck.example/gateway/shedder"
)

// Load: an account floods a host with twenty times the requests of a small one. Guards
// against FAIR: the small account is refused as often as the one that fills the host.
func TestSmallAccountIsAdmittedAtAFloodedHost(t *testing.T) {
	const flooding, small, refused = 8_000_000.0, 300_000.0, 0.85
	var d shedder.Divider
	if got := d.RefusedShare(refused, small); got != refused {
		t.Errorf("without any request, a share of %v is refused, want %v", got, refused)
	}
	for i := range 2000 {
		if i%20 == 0 {
			d.Record(small)
		} else {
			d.Record(flooding)
		}
	}
	if got := d.RefusedShare(refused, small); got > 0.05 {
		t.Errorf("a share of %v of the small account is refused, want at most 0.05", got)
	}
	if got := d.RefusedShare(refused, 0); got > 0.05 {
		t.Errorf("a share of %v of an account without service is refused, want at most 0.05", got)
	}
	if got := d.RefusedShare(refused, flooding); math.Abs(got-refused) > 0.02 {
		t.Errorf("a share of %v of the flooding account is refused, want about %v", got, refused)
	}
	if got := d.RefusedShare(1, small); got != 1 {
		t.Errorf("a share of %v is refused while nothing can be served, want 1", got)
	}
}

// Guards against an account that is admitted without bounds because it has had no service.
func TestPreferenceIsBounded(t *testing.T) {
	var d shedder.Divider
	d.Record(1e9)
	if got := d.RefusedShare(0.99, 0); got < 0.9 {
		t.Errorf("a share of %v is refused, want at least 0.9 while the host can serve a hundredth", got)
	}
	if got := d.RefusedShare(0.5, 1e15); got > 0.9 {
		t.Errorf("a share of %v is refused, want at most 0.9 while the host can serve half", got)
	}
}
