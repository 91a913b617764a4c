package limiter_test

import (
	"testing"
	"time"

	"monsoondeck.example/limiter"
)

// BenchmarkEvictStalled ends half of 4,000 stalled transfers. The account is locked
// meanwhile, and each request needs it.
func BenchmarkEvictStalled(b *testing.B) {
	const transfers, bytes = 4000, 40 << 10
	a := limiter.NewAdmission(limiter.AdmissionSettings{})
	charges := make([]limiter.Charge, transfers)
	for i := range charges {
		a.Open(&charges[i])
		if err := charges[i].Grow(limiter.KindBody, bytes); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		b.StopTimer()
		for i := range charges {
			charges[i].Watch(time.Duration(i), func() {})
		}
		b.StartTimer()
		if n := a.EvictStalled(time.Minute, time.Second, transfers/2*bytes); n != transfers/2 {
			b.Fatalf("%d transfers were ended, want %d", n, transfers/2)
		}
	}
}
