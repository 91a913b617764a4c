package oracle

import (
	"math"
	"testing"
	"time"
)

// Guards against service that is lost or counted twice at the limits of buckets,
// which would look like unfair scheduling.
func TestServiceAndBusyTimeAreConserved(t *testing.T) {
	o := New()
	r := o.Begin(Execution{Account: "a", Target: "t", Pool: "p"})
	start := time.UnixMilli(1_000_050)
	r.AddSpan(start, start.Add(333*time.Millisecond), 33.3)
	o.AddBusy("t", start, start.Add(333*time.Millisecond), 2)
	var units, busy float64
	for _, s := range o.Services() {
		units += s.Units
	}
	for _, b := range o.BusyTimes() {
		busy += b.BusySlotSeconds
	}
	if math.Abs(units-33.3) > 1e-9 || math.Abs(busy-0.666) > 1e-9 || len(o.Services()) != 4 {
		t.Fatalf("units %v, busy %v, services %+v", units, busy, o.Services())
	}
}
