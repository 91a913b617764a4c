package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// promptMixTimeConstant is the time over which the lengths of prompts are observed: a
	// daemon of a large fleet gets some prompts per second, and engines that change sides
	// have to prefill shared parts again.
	promptMixTimeConstant = 30 * time.Second
	// minMixPrompts is the number of recent prompts below which engines are not split.
	minMixPrompts = 50
	// longPromptFactor is the multiple of the geometric mean length from which a prompt is
	// long. Prompts that are all alike do not reach it.
	longPromptFactor = 2.5
	// longWorkWeight is the weight of the tokens of long prompts in the division of the
	// engines. Short prompts also take slots and steps of generation, which are not counted.
	longWorkWeight = 0.8
	// minSplitEngines is the number of engines of a service below which they are not split.
	// In a small fleet reports are fresh, and halves of few engines balance badly.
	minSplitEngines = 48
	// minSplitShare is the share of the work below which neither side gets engines of its
	// own.
	minSplitShare = 0.1
	// splitSteps is the number of steps in which the share of the engines for long prompts
	// changes, so that daemons that have seen different prompts agree on most engines.
	splitSteps = 8
	// splitHysteresis is the distance from a step, in steps, up to which it is kept.
	splitHysteresis = 0.75
	// shortPromptPenalty is added for a short prompt at an engine for long ones, where a
	// long prefill may have begun that is not reported yet.
	shortPromptPenalty = 100 * time.Millisecond
)

// promptMix observes the lengths of the prompts for one service and derives the share of
// its engines that long prompts should use.
type promptMix struct {
	// lengths sums the logarithms of the lengths, tokens the lengths, longTokens those of
	// long prompts.
	lengths, tokens, longTokens decayingSum
	// step is the share of the engines for long prompts in steps of 1/splitSteps; 0 means
	// that all engines take all prompts.
	step int
}

func newPromptMix() *promptMix {
	return &promptMix{
		lengths:    decayingSum{timeConstant: promptMixTimeConstant},
		tokens:     decayingSum{timeConstant: promptMixTimeConstant},
		longTokens: decayingSum{timeConstant: promptMixTimeConstant},
	}
}

// record adds the length of a new prompt.
func (m *promptMix) record(now time.Duration, tokens float64) {
	if tokens < 1 {
		return
	}
	if m.long(tokens) {
		m.longTokens.add(now, 1, tokens)
	}
	m.longTokens.decay(now)
	m.lengths.add(now, 1, math.Log(tokens))
	m.tokens.add(now, 1, tokens)
	share := longWorkWeight * m.longTokens.sum / m.tokens.sum
	switch {
	case m.lengths.count < minMixPrompts || share < minSplitShare || share > 1-minSplitShare:
		m.step = 0
	case m.step == 0 || math.Abs(share*splitSteps-float64(m.step)) > splitHysteresis:
		m.step = min(max(int(math.Round(share*splitSteps)), 1), splitSteps-1)
	}
}

// long reports whether a prompt is much longer than most.
func (m *promptMix) long(tokens float64) bool {
	return m.lengths.count > 0 && math.Log(tokens) > m.lengths.sum/m.lengths.count+math.Log(longPromptFactor)
}

// splitSide is the side of a split on which a prompt is.
type splitSide int

const (
	// unsplit: all engines take the prompt alike.
	unsplit splitSide = iota
	shortSide
	longSide
)

// ownTokens returns the number of tokens that the prompt has in common with no other.
func (r Request) ownTokens() float64 { return float64(r.PromptTokens) - r.sharedTokens() }

// RecordPrompt observes the length of a new prompt.
func (f *Fleet) RecordPrompt(now time.Duration, r Request) {
	if _, ok := f.engineSettings[r.Service]; !ok || !f.settings.SplitPrompts {
		return
	}
	m := f.promptMixes[r.Service]
	if m == nil {
		m = newPromptMix()
		f.promptMixes[r.Service] = m
	}
	m.record(now, r.ownTokens())
}

// splitSide returns the side of a request and the share of the engines for long prompts.
func (f *Fleet) splitSide(r Request) (splitSide, float64) {
	m := f.promptMixes[r.Service]
	if m == nil || m.step == 0 || len(f.targetsByService[r.Service]) < minSplitEngines {
		return unsplit, 0
	}
	share := float64(m.step) / splitSteps
	if m.long(r.ownTokens()) {
		return longSide, share
	}
	return shortSide, share
}

// suits reports whether the engine is on the side of the prompt.
func (t *target) suits(side splitSide, share float64) bool {
	return side == unsplit || (t.splitPosition < share) == (side == longSide)
}

// splitPenalty returns the score of a prompt at an engine of the other side: the time for
// which it delays the prompts there, or is delayed by them.
func (s *search) splitPenalty(t *target, c Choice) time.Duration {
	if t.engine == nil || t.suits(s.side, s.longShare) {
		return 0
	}
	if s.side == longSide {
		return t.engine.prefillTime(c.UncachedTokens)
	}
	return shortPromptPenalty
}

// orderEngines gives each engine its position in the split, between 0 and 1, within its
// service and data centre. The order follows from the IDs, so that all daemons agree on
// it without messages.
func (f *Fleet) orderEngines() {
	for _, all := range f.targetsByService {
		byCentre := map[string][]*target{}
		for _, t := range all {
			byCentre[t.entry.DataCentre] = append(byCentre[t.entry.DataCentre], t)
		}
		for _, targets := range byCentre {
			slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.idHash, b.idHash) })
			for i, t := range targets {
				t.splitPosition = (float64(i) + 0.5) / float64(len(targets))
			}
		}
	}
}
