package soaker

import (
	"reflect"
	"testing"
	"time"
)

// Guards against runs that cannot be reproduced by their seed, and against kinds of
// events that never occur or never overlap.
func TestScheduleDependsOnTheSeedOnly(t *testing.T) {
	const duration = time.Minute
	if !reflect.DeepEqual(Schedule(3, duration, DefaultGap), Schedule(3, duration, DefaultGap)) {
		t.Error("the same seed gives different schedules")
	}
	if reflect.DeepEqual(Schedule(3, duration, DefaultGap), Schedule(4, duration, DefaultGap)) {
		t.Error("different seeds give the same schedule")
	}
	seen, overlaps := map[Kind]bool{}, 0
	for seed := range uint64(20) {
		until := time.Duration(0)
		for _, e := range Schedule(seed, duration, DefaultGap) {
			seen[e.Kind] = true
			if e.At < until {
				overlaps++
			}
			until = max(until, e.At+e.Length)
			if e.At < quietStart {
				t.Errorf("%s begins at %v, before the quiet start ends", e.Kind, e.At)
			}
		}
	}
	for _, k := range kindSpecs() {
		if !seen[k.name] {
			t.Errorf("%s never occurs", k.name)
		}
	}
	for _, e := range restoreSchedule(5, duration, 3) {
		if e.Kind != KindStoreRestored || e.At < quietStart || e.At > duration-quietEnd {
			t.Errorf("%+v is no restoration of the store during the load", e)
		}
	}
	for _, e := range tornHeadSchedule(5, duration, 3) {
		if e.Kind != KindTornHead || e.At < quietStart || e.At+e.Length > duration+quietEnd {
			t.Errorf("%+v does not tear heads during the load", e)
		}
	}
	for i, e := range deadlySchedule(5, duration, 3) {
		if e.Kind != KindDeadly || e.Choice != i || e.At < duration/4 || e.At+e.Length != duration {
			t.Errorf("%+v is no deadly request during the load", e)
		}
	}
	if overlaps == 0 {
		t.Error("no events overlap")
	}
}
