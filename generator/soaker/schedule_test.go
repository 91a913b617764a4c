package soaker

import (
	"reflect"
	"testing"
	"time"
)

// Guards against runs that cannot be repeated, and against faults that are never
// played or that never overlap.
func TestScheduleDependsOnTheSeedOnly(t *testing.T) {
	const duration = time.Minute
	if !reflect.DeepEqual(Schedule(3, duration, DefaultGap), Schedule(3, duration, DefaultGap)) {
		t.Error("the same seed gives two schedules")
	}
	if reflect.DeepEqual(Schedule(3, duration, DefaultGap), Schedule(4, duration, DefaultGap)) {
		t.Error("two seeds give one schedule")
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
			if e.At < calmStart {
				t.Errorf("%s at %v", e.Kind, e.At)
			}
		}
	}
	for _, k := range kinds() {
		if !seen[k.name] {
			t.Errorf("%s is never played", k.name)
		}
	}
	if overlaps == 0 {
		t.Error("no events overlap")
	}
}
