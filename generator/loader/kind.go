package loader

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is one kind of call that an account makes.
type Kind struct {
	Name string
	// Pool is the model or the plain service.
	Pool string
	// Frequency is the relative number of calls of this kind.
	Frequency float64
	// Service selects a plain service instead of a model.
	Service bool
	// Method and Path of a call to a plain service.
	Method string
	Path   string
	// Keyed calls carry an idempotency key and are repeated with the same key
	// when their outcome is unknown.
	Keyed bool
	// Stream selects a streamed answer.
	Stream bool
	// MeanTokens and MaxTokens describe the heavy-tailed length of the answer.
	MeanTokens float64
	MaxTokens  int
	// MeanDuration is the mean slot time of a call to a plain service.
	MeanDuration time.Duration
	// PrefixWords is the length of the prompt that all calls of an account
	// share; PromptWords is the length of the rest.
	PrefixWords int
	PromptWords int
}

// tailIndex is the exponent of the distribution of costs. Below 2 the variance
// grows with the limit, so a few answers dominate the load.
const tailIndex = 1.5

// heavyTail draws from a Pareto distribution with a mean, cut at a limit.
func heavyTail(r *rand.Rand, mean, limit float64) float64 {
	smallest := mean * (tailIndex - 1) / tailIndex
	return min(limit, smallest/math.Pow(1-r.Float64(), 1/tailIndex))
}

// tokens draws the length of an answer.
func (k Kind) tokens(r *rand.Rand) int {
	return max(1, int(heavyTail(r, k.MeanTokens, float64(k.MaxTokens))))
}

// hint draws the max_tokens of a request: absent for a third of the requests,
// otherwise one to four times the real length.
func hint(r *rand.Rand, tokens int) int {
	if r.IntN(3) == 0 {
		return 0
	}
	return int(float64(tokens) * (1 + 3*r.Float64()))
}

// duration draws the slot time of a call to a plain service.
func (k Kind) duration(r *rand.Rand) time.Duration {
	mean := float64(k.MeanDuration)
	return max(time.Millisecond, time.Duration(heavyTail(r, mean, 10*mean)))
}

func choose(r *rand.Rand, kinds []Kind) Kind {
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
