package placer

import (
	"math"
	"time"

	"monsoondeck.example/gateway/resolver"
)

// engine is the state of one model engine as this daemon knows it.
type engine struct {
	settings resolver.Engine
	// prefillSpeed is the estimated number of prompt tokens that the engine prefills
	// per millisecond while it also generates, priorSpeed the estimate without any
	// samples.
	prefillSpeed, priorSpeed float64
	// speedSamples sums the logarithms of the prefill speeds measured by requests of
	// this daemon.
	speedSamples decayingSum
	// lastFirstEvent is the time of the newest first event of a request of this daemon.
	lastFirstEvent time.Duration
	// lastUsed holds the time of the last use of each prompt part sent to the
	// engine, by PromptPart.PrefixHash.
	lastUsed map[uint64]time.Duration
	// cachedSince holds the time since which the engine has had each of these parts.
	cachedSince map[uint64]time.Duration
	// eventGaps sums the gaps between the events of this daemon's streams, in
	// nanoseconds. An engine that always has prompts to prefill still answers soon, but
	// generates one token per chunk of prefill, so that streams do not end in time. The
	// gaps show this before any stream has failed.
	eventGaps decayingSum
}

func newEngine(s resolver.Engine) *engine {
	return &engine{
		settings: s, prefillSpeed: defaultPrefillSpeed, priorSpeed: defaultPrefillSpeed, speedSamples: decayingSum{timeConstant: speedTimeConstant}, eventGaps: decayingSum{timeConstant: eventGapTimeConstant},
		lastUsed: map[uint64]time.Duration{}, cachedSince: map[uint64]time.Duration{},
	}
}

// uncachedTokens returns the number of prompt tokens that the engine has to prefill,
// which are all from the first part on that it has not cached, and the number of
// those that belong to shared parts. firstRanked says that all daemons send such
// prompts to this engine first, so that it has cached the shared parts even if this
// daemon never sent them.
func (e *engine) uncachedTokens(now time.Duration, r Request, firstRanked bool) (uncached, shared float64) {
	total, cached := 0, 0
	prefixCached := true
	// An engine that has cached the last shared part has cached those before it.
	firstRanked = firstRanked || len(r.Parts) > 1 && e.hasCached(now, r.sharedPrefix())
	for i, p := range r.Parts {
		total += p.Tokens
		if i == len(r.Parts)-1 {
			break
		}
		if prefixCached = prefixCached && (firstRanked || e.hasCached(now, p.PrefixHash)); prefixCached {
			cached += p.Tokens
		} else {
			shared += float64(p.Tokens)
		}
	}
	if total == 0 {
		total = r.PromptTokens
	}
	return float64(total - cached), shared
}

func (e *engine) hasCached(now time.Duration, prefixHash uint64) bool {
	used, ok := e.lastUsed[prefixHash]
	return ok && now-used < cachedPartTTL
}

// hasPrefilled reports whether the engine has cached the part for long enough to
// have prefilled it.
func (e *engine) hasPrefilled(now time.Duration, prefixHash uint64) bool {
	since, ok := e.cachedSince[prefixHash]
	return ok && e.hasCached(now, prefixHash) && now-since >= longPrefillTime
}

// recordRequest records the parts that a request brings to the engine.
func (e *engine) recordRequest(now time.Duration, r Request) {
	if len(e.lastUsed) > maxTrackedParts {
		for c, used := range e.lastUsed {
			if now-used >= cachedPartTTL {
				delete(e.lastUsed, c)
				delete(e.cachedSince, c)
			}
		}
		if len(e.lastUsed) > maxTrackedParts {
			clear(e.lastUsed)
			clear(e.cachedSince)
		}
	}
	for _, p := range r.Parts {
		e.recordPart(now, p.PrefixHash)
	}
}

// recordPart records the use of a part at the engine.
func (e *engine) recordPart(now time.Duration, prefixHash uint64) {
	if !e.hasCached(now, prefixHash) {
		e.cachedSince[prefixHash] = now
	}
	e.lastUsed[prefixHash] = now
}

// recordFirstEvent adds the time to a first event to the samples of the prefill
// speed. backlog is the number of tokens that the engine had to prefill before it.
func (e *engine) recordFirstEvent(now, latency time.Duration, backlog float64) {
	e.lastFirstEvent = now
	prefill := latency - firstEventOverhead
	if backlog < minSampleTokens || prefill < minSamplePrefill {
		return
	}
	speed := backlog / (float64(prefill) / float64(time.Millisecond))
	e.speedSamples.add(now, 1, math.Log(min(max(speed, minPrefillSpeed), maxPrefillSpeed)))
}

// setPrefillSpeed estimates the prefill speed from the prior and from a number of
// samples, whose logarithms sum up to logSpeed.
func (e *engine) setPrefillSpeed(samples, logSpeed float64) {
	e.prefillSpeed = math.Exp((priorSpeedSamples*math.Log(e.priorSpeed) + logSpeed) / (priorSpeedSamples + samples))
}

// prefillTime returns the expected time to prefill the tokens.
func (e *engine) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / e.prefillSpeed * float64(time.Millisecond))
}
