package loader

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind describes one kind of call that an account makes.
type Kind struct {
	Name string
	// Pool is the name of the model or of the plain service.
	Pool string
	// Frequency is the relative number of calls of this kind.
	Frequency float64
	// Service selects a plain service instead of a model.
	Service bool
	// Method and Path are those of a call to a plain service.
	Method string
	Path   string
	// Keyed calls carry an idempotency key and are repeated with the same key if their
	// outcome is unknown.
	Keyed bool
	// Stream requests a streamed response.
	Stream bool
	// MeanTokens and MaxTokens are the mean and the limit of the response length, which
	// has a Pareto distribution.
	MeanTokens float64
	MaxTokens  int
	// MeanDuration is the mean time for which a call to a plain service holds a slot.
	MeanDuration time.Duration
	// PrefixWords is the length of the part of the prompt that all calls of an account
	// have in common; PromptWords is that of the rest.
	PrefixWords int
	PromptWords int
}

// paretoIndex is the exponent of the Pareto distribution of costs. Below 2 the
// variance grows with the limit, so that a few calls dominate the load.
const paretoIndex = 1.5

// truncatedPareto draws from a Pareto distribution with the given mean. Values above
// the limit become the limit.
func truncatedPareto(r *rand.Rand, mean, limit float64) float64 {
	smallest := mean * (paretoIndex - 1) / paretoIndex
	return min(limit, smallest/math.Pow(1-r.Float64(), 1/paretoIndex))
}

// tokens draws the length of a response in tokens.
func (k Kind) tokens(r *rand.Rand) int {
	return max(1, int(truncatedPareto(r, k.MeanTokens, float64(k.MaxTokens))))
}

// drawMaxTokens draws the max_tokens of a request whose response has the given
// length: 0 (absent) for a third of the requests, otherwise one to four times the
// length.
func drawMaxTokens(r *rand.Rand, tokens int) int {
	if r.IntN(3) == 0 {
		return 0
	}
	return int(float64(tokens) * (1 + 3*r.Float64()))
}

// duration draws the time for which a call to a plain service holds a slot.
func (k Kind) duration(r *rand.Rand) time.Duration {
	mean := float64(k.MeanDuration)
	return max(time.Millisecond, time.Duration(truncatedPareto(r, mean, 10*mean)))
}

// drawKind draws a kind by the frequencies.
func drawKind(r *rand.Rand, kinds []Kind) Kind {
	var sum float64
	for _, k := range kinds {
		sum += k.Frequency
	}
	at := r.Float64() * sum
	for _, k := range kinds {
		if at -= k.Frequency; at < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}
