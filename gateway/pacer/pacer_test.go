package pacer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/pacer"
)

// Guards against a daemon that sends more than its rate after an idle time, or less than
// its rate while requests wait.
func TestRateOverAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 50).Draw(t, "rate")
		p := pacer.New(0, rapid.Float64Range(0, 0.99).Draw(t, "progress"))
		var sent []time.Duration
		now := time.Duration(rapid.IntRange(0, 100).Draw(t, "idle")) * time.Second
		end := now + 20*time.Second
		for now < end {
			wait := p.Wait(now, rate)
			if wait == 0 {
				p.Use()
				sent = append(sent, now)
				continue
			}
			now += wait
		}
		const window = 4 * time.Second
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at-first < window {
					n++
				}
			}
			// One second of unused slots, and the slots at both ends of the window.
			if limit := rate*(window.Seconds()+1) + 2; float64(n) > limit {
				t.Fatalf("%d requests in 4 s at %.2f per second, want at most %.1f", n, rate, limit)
			}
		}
		if least := rate*20 - 2; float64(len(sent)) < least {
			t.Fatalf("%d requests in 20 s at %.2f per second, want at least %.1f", len(sent), rate, least)
		}
	})
}

// Load: 300 daemons with a small share each, idle for a long time, that all get a request
// at once. Guards against a burst of slots that they have saved.
func TestIdleDaemonsDoNotBurst(t *testing.T) {
	const daemons, perSecond = 300, 5.0
	random := rand.New(rand.NewPCG(1, 1))
	sent := 0
	for range daemons {
		p := pacer.New(0, random.Float64())
		if p.Wait(time.Hour, pacer.Rate(perSecond, 1.0/daemons)) == 0 {
			sent++
		}
	}
	if sent > 3*perSecond {
		t.Errorf("%d requests at once at a target that takes %v per second", sent, perSecond)
	}
}

// Guards against a target that names an absurd limit and thereby fills the memory of a
// daemon with open slots.
func TestOpenSlotsAreBounded(t *testing.T) {
	p := pacer.New(0, 0)
	now := time.Duration(0)
	for range 100 {
		now += time.Millisecond
		p.Wait(now, 1e9)
	}
	slots := 0
	for ; p.Wait(now, 1e9) == 0 && slots < 1<<20; slots++ {
		p.Use()
	}
	if slots > 1<<12 {
		t.Errorf("%d slots are open", slots)
	}
}

// Guards against shares that add up to more than the whole.
func TestSharesAddUp(t *testing.T) {
	wanted := []float64{0, 0.5, 3, 20}
	total := 0.0
	for _, w := range wanted {
		total += w
	}
	sum := 0.0
	for _, w := range wanted {
		sum += pacer.Share(w, total-w)
	}
	if sum < 0.999 || sum > 1.001 {
		t.Errorf("the shares add up to %v", sum)
	}
	if s := pacer.Share(0, 0); s != 1 {
		t.Errorf("the share of a daemon alone is %v", s)
	}
}
