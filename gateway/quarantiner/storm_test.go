package quarantiner_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/quarantiner"
)

// storm returns the evidence of many targets that crash with many requests each: all
// prompts share a part, a few share a second one, and each has its own last part.
func storm(crashes, prompts int) *quarantiner.Quarantine {
	q := quarantiner.New()
	for c := range crashes {
		now := time.Duration(c) * 100 * time.Millisecond
		for p := range prompts {
			parts := []quarantiner.Part{1, quarantiner.Part(10 + p%20), quarantiner.Part(1000 + c*prompts + p)}
			for _, i := range quarantiner.Incidents(parts, uint64(parts[2]), quarantiner.Crash(c+1), 0) {
				q.RecordIncident(now, i)
			}
		}
	}
	return q
}

// Load: 200 targets crash within 20 s, each with 20 requests. Measures what a daemon does
// with the evidence for each request and for each report.
func BenchmarkCrashStorm(b *testing.B) {
	q := storm(200, 20)
	now := 20 * time.Second
	all := q.All(now)
	b.Run("quarantined", func(b *testing.B) {
		for b.Loop() {
			q.Quarantined(now)
		}
	})
	b.Run("durable", func(b *testing.B) {
		for b.Loop() {
			q.Durable(now)
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			q.All(now)
		}
	})
	b.Run("learn", func(b *testing.B) {
		for b.Loop() {
			q.Learn(now, all)
		}
	})
	b.Run("blocked", func(b *testing.B) {
		for b.Loop() {
			q.Blocked(now, []quarantiner.Part{1, 12, 5000})
		}
	})
}

// Load: many targets crash. Guards against an index of the crashes that loses a part: two
// parts that are in the same prompts are companions of each other, also after evidence has
// expired, and no part of other crashes is one.
func TestCompanionsAreFoundAmongManySuspects(t *testing.T) {
	q := storm(8, 1)
	for i := range 1000 {
		for _, incident := range quarantiner.Incidents([]quarantiner.Part{quarantiner.Part(1e6 + i), quarantiner.Part(1e7 + i)}, uint64(1e7+i), quarantiner.Crash(1e6+i), 0) {
			q.RecordIncident(time.Duration(i)*time.Millisecond, incident)
		}
	}
	for _, now := range []time.Duration{time.Second, 15 * time.Minute} {
		q.Expire(now)
		if companions := q.Companions(10); len(companions) != 1 || companions[0] != 1 {
			t.Errorf("the companions are %v, want the part of the same prompts", companions)
		}
		if companions := q.Companions(1); len(companions) != 1 || companions[0] != 10 {
			t.Errorf("the companions are %v, want the part of the same prompts", companions)
		}
	}
}
