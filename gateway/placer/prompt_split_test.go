package placer_test

import (
	"fmt"
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// newSplitFleet returns a fleet of engines that splits them by prompt length.
func newSplitFleet(engines int, split bool) *placer.Fleet {
	f := placer.New(placer.Settings{DataCentre: "d", Regions: map[string]string{"d": "north", "small": "south"}, Policy: placer.ShortestExpectedTime, SplitPrompts: split})
	var entries []registrar.Entry
	for i := range engines {
		entries = append(entries, registrar.Entry{ID: fmt.Sprint("e", i), Service: "model", Address: fmt.Sprint("e", i), DataCentre: "d", Slots: 64})
	}
	entries = append(entries, registrar.Entry{ID: "single", Service: "model", Address: "single", DataCentre: "small", Slots: 64})
	f.SetConfig(resolver.New(resolver.Content{Services: []resolver.Service{{Name: "model", Engine: &resolver.Engine{Slots: 64, MemoryTokens: 400000}}}}))
	f.SetTargets(entries)
	return f
}

// observe records one prompt of each length every 10 ms, and returns the time after them.
func observe(f *placer.Fleet, from time.Duration, rounds int, lengths ...int) time.Duration {
	for range rounds {
		from += 10 * time.Millisecond
		for _, n := range lengths {
			f.RecordPrompt(from, newPrompt("a", 1000, n))
		}
	}
	return from
}

// enginesOf returns the engines that prompts with 300 different shared parts get.
func enginesOf(t *testing.T, f *placer.Fleet, now time.Duration, own int) map[string]bool {
	t.Helper()
	used := map[string]bool{}
	for i := range 300 {
		c, ok := f.Choose(now, newPrompt(fmt.Sprint("subject", i), 1000, own), defaultConstraints)
		if !ok {
			t.Fatal("Choose found no target")
		}
		used[c.Target.ID] = true
	}
	return used
}

func overlap(a, b map[string]bool) int {
	n := 0
	for id := range a {
		if b[id] {
			n++
		}
	}
	return n
}

// Load: short prompts and some long ones. Guards against engines that take both.
func TestLongAndShortPromptsUseDifferentEngines(t *testing.T) {
	f := newSplitFleet(60, true)
	now := observe(f, 0, 50, 1000, 1000, 1000, 1000, 8000)
	long, short := enginesOf(t, f, now, 8000), enginesOf(t, f, now, 1000)
	if overlap(long, short) > 0 || len(long) < 20 || len(short) < 20 {
		t.Errorf("%d engines for long prompts, %d for short ones, %d for both", len(long), len(short), overlap(long, short))
	}
}

// Load: the mix of prompts changes. Guards against engines that stay reserved.
func TestSplitFollowsTheDemand(t *testing.T) {
	f := newSplitFleet(60, true)
	now := observe(f, 0, 50, 1000, 1000, 1000, 1000, 8000)
	half := len(enginesOf(t, f, now, 8000))
	now = observe(f, now+time.Minute, 100, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 8000)
	if fewer := len(enginesOf(t, f, now, 8000)); fewer > half*3/4 {
		t.Errorf("%d engines for long prompts after %d, though there are fewer of them", fewer, half)
	}
	now = observe(f, now+5*time.Minute, 100, 1000)
	if short := enginesOf(t, f, now, 1000); len(short) < 50 {
		t.Errorf("prompts of one length use %d of 60 engines", len(short))
	}
}

// Load: daemons that have seen different prompts of one mix. Guards against shared parts
// that are cached at other engines by each daemon.
func TestDaemonsAgreeOnTheSplit(t *testing.T) {
	one, other := newSplitFleet(60, true), newSplitFleet(60, true)
	a := observe(one, 0, 50, 900, 1000, 1100, 1300, 8000)
	b := observe(other, 0, 70, 700, 1000, 1500, 1700, 7500)
	if different := len(enginesOf(t, one, a, 1000)) - overlap(enginesOf(t, one, a, 1000), enginesOf(t, other, b, 1000)); different > 8 {
		t.Errorf("%d engines take short prompts of one daemon only", different)
	}
}

// Guards against a split where it only harms: prompts that are all alike, hardly any long
// ones, a small fleet, or a daemon that has seen too few prompts.
func TestNoSplitWithoutNeed(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
		rounds  int
		lengths []int
	}{
		{"prompts of 600 to 1,800 tokens", 60, 100, []int{600, 900, 1200, 1500, 1800}},
		{"long prompts only", 60, 100, []int{20000, 25000, 30000}},
		{"small fleet", 9, 100, []int{1000, 1000, 1000, 8000}},
		{"few prompts", 60, 5, []int{1000, 1000, 1000, 8000}},
	} {
		split, plain := newSplitFleet(c.engines, true), newSplitFleet(c.engines, false)
		now := observe(split, 0, c.rounds, c.lengths...)
		for i := range 100 {
			r := newPrompt(fmt.Sprint("subject", i), 1000, c.lengths[i%len(c.lengths)])
			a, _ := split.Choose(now, r, defaultConstraints)
			b, _ := plain.Choose(now, r, defaultConstraints)
			if a.Target.ID != b.Target.ID {
				t.Fatalf("%s: engine %s instead of %s", c.name, a.Target.ID, b.Target.ID)
			}
		}
	}
}

// Guards against long prompts that find no first engine because none of their region is
// on their side of the split.
func TestSplitInARegionWithOneEngine(t *testing.T) {
	f := newSplitFleet(60, true)
	now := observe(f, 0, 50, 1000, 1000, 1000, 1000, 8000)
	for _, own := range []int{1000, 8000} {
		r := newPrompt("a", 1000, own)
		r.Regions = regions("south")
		if c, ok := f.Choose(now, r, defaultConstraints); !ok || !c.Fits || !c.FirstRanked || c.Target.ID != "single" {
			t.Errorf("a prompt of %d tokens gets %+v", own, c)
		}
	}
}

// Load: 30 daemons and 60 engines with reports 0.3 s old; three tenths of the prompts
// have a mean of 6,600 tokens. Guards against long prompts whose prefill, still unknown to
// other daemons, delays the short prompts that these send to the same engines.
func TestLongPromptsDoNotDelayShortOnes(t *testing.T) {
	for _, c := range []struct {
		name     string
		load     float64
		duration time.Duration
		seeds    []uint64
		// gain is the least gain of the share of short prompts on time.
		gain float64
	}{
		{"medium", 0.6, 20 * time.Second, []uint64{7, 8}, 0.03},
		{"overload", 1, 10 * time.Second, []uint64{7}, -0.03},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var gains [classes]float64
			for _, seed := range c.seeds {
				p := promptLoad{daemons: 30, engines: 60, load: c.load, longShare: 0.3, reportDelay: 300 * time.Millisecond, seed: seed, duration: c.duration}
				before := p.run()
				p.split = true
				after := p.run()
				for i, name := range []string{"short", "middle", "long"} {
					b, a := before.classes[i], after.classes[i]
					t.Logf("%s: p50 %v to %v, p95 %v to %v, on time %.3f to %.3f", name, b.quantile(0.5), a.quantile(0.5), b.quantile(0.95), a.quantile(0.95), b.share(), a.share())
					gains[i] += (a.share() - b.share()) / float64(len(c.seeds))
				}
				t.Logf("tokens prefilled for each own token: %.3f to %.3f", before.prefilled, after.prefilled)
				if after.prefilled > before.prefilled*1.03 {
					t.Errorf("%.3f tokens are prefilled for each own token, before %.3f", after.prefilled, before.prefilled)
				}
			}
			if gains[short] < c.gain || gains[middle] < -0.03 || gains[long] < -0.03 {
				t.Errorf("shares on time change by %.3f; want %.2f for short prompts and -0.03 for others", gains, c.gain)
			}
		})
	}
}

// BenchmarkChooseSplit measures one observed prompt and its choice among 90 engines, with
// and without a split.
func BenchmarkChooseSplit(b *testing.B) {
	for _, split := range []bool{false, true} {
		b.Run(fmt.Sprint(split), func(b *testing.B) {
			f := newSplitFleet(90, split)
			now := observe(f, 0, 50, 1000, 1000, 1000, 1000, 8000)
			r := newPrompt("a", 5000, 1000)
			for b.Loop() {
				f.RecordPrompt(now, r)
				f.Choose(now, r, defaultConstraints)
			}
		})
	}
}
