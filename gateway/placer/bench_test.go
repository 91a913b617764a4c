package placer_test

import (
	"fmt"
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
)

// BenchmarkChoose measures one choice among 90 and among 3,000 engines, for which 70
// peers have reported load.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{90, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkChoose(b, engines) })
	}
}

func benchmarkChoose(b *testing.B, engines int) {
	f := newFleet(engines)
	for p := range 70 {
		var loads []placer.Load
		for e := range engines {
			loads = append(loads, placer.Load{Target: placer.KeyOf(fmt.Sprint("e", e)), PrefillTokens: 500, Running: 1, MemoryTokens: 2000})
		}
		f.SetPeerLoads(0, fmt.Sprint("p", p), loads, true)
	}
	r := newPrompt("a", 5000, 1000)
	for b.Loop() {
		f.Choose(time.Millisecond, r, defaultConstraints)
	}
}
