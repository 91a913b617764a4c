package placer

import (
	"math"
	"time"

	"monsoondeck.example/gateway/resolver"
)

// engine is what this daemon has learnt of one model engine.
type engine struct {
	settings resolver.Engine
	// speed is the estimated number of prompt tokens read per millisecond while the
	// engine also generates, prior the estimate before anything was seen.
	speed, prior float64
	// speeds are the logarithms of the speeds that own requests showed.
	speeds recent
	// lastFirst is the time of the newest first event of an own request.
	lastFirst time.Duration
	// parts holds the prompt parts that own requests brought to the engine, with the
	// time of the last use.
	parts map[uint64]time.Duration
	// brought holds the time since which the engine has had each of the parts.
	brought map[uint64]time.Duration
	// pauses are those between the events of own streams, in nanoseconds. An engine that
	// always has prompts to read still answers soon, but generates one token for each
	// chunk of a prompt, so that streams do not end in time. The pauses show this before
	// any stream has failed.
	pauses recent
}

func newEngine(s resolver.Engine) *engine {
	return &engine{
		settings: s, speed: defaultSpeed, prior: defaultSpeed, speeds: recent{window: speedWindow}, pauses: recent{window: paceWindow},
		parts: map[uint64]time.Duration{}, brought: map[uint64]time.Duration{},
	}
}

// unread returns the number of tokens of the prompt that the engine does not
// keep: all from the first part on that it does not hold. home tells that the
// engine is the one at which all daemons place such prompts first, so that it
// holds the shared parts also if this daemon did not send them.
func (e *engine) unread(now time.Duration, r Request, home bool) (unread, shared float64) {
	total, cached := 0, 0
	holds := true
	// An engine that keeps the last shared part keeps those before it.
	home = home || len(r.Parts) > 1 && e.holds(now, r.affinity())
	for i, p := range r.Parts {
		total += p.Tokens
		if i == len(r.Parts)-1 {
			break
		}
		if holds = holds && (home || e.holds(now, p.Chain)); holds {
			cached += p.Tokens
		} else {
			shared += float64(p.Tokens)
		}
	}
	if total == 0 {
		total = r.Prompt
	}
	return float64(total - cached), shared
}

func (e *engine) holds(now time.Duration, chain uint64) bool {
	used, ok := e.parts[chain]
	return ok && now-used < partAge
}

// hasRead reports whether the engine had the time to read the parts that were
// brought to it.
func (e *engine) hasRead(now time.Duration, chain uint64) bool {
	brought, ok := e.brought[chain]
	return ok && e.holds(now, chain) && now-brought >= readTime
}

// use notes the parts that a request brings to the engine.
func (e *engine) use(now time.Duration, r Request) {
	if len(e.parts) > maxParts {
		for c, used := range e.parts {
			if now-used >= partAge {
				delete(e.parts, c)
				delete(e.brought, c)
			}
		}
		if len(e.parts) > maxParts {
			clear(e.parts)
			clear(e.brought)
		}
	}
	for _, p := range r.Parts {
		e.bring(now, p.Chain)
	}
}

// bring notes a part that a request brings to the engine.
func (e *engine) bring(now time.Duration, chain uint64) {
	if !e.holds(now, chain) {
		e.brought[chain] = now
	}
	e.parts[chain] = now
}

// learn takes the time to a first event into account. ahead is the number of
// tokens that the engine had to read before it.
func (e *engine) learn(now, latency time.Duration, ahead float64) {
	e.lastFirst = now
	reading := latency - firstEventBase
	if ahead < minSample || reading < minReading {
		return
	}
	speed := ahead / (float64(reading) / float64(time.Millisecond))
	e.speeds.add(now, 1, math.Log(min(max(speed, minSpeed), maxSpeed)))
}

// estimate takes the speeds that a number of first events showed, as the sum of
// their logarithms.
func (e *engine) estimate(samples, logSpeed float64) {
	e.speed = math.Exp((priorSamples*math.Log(e.prior) + logSpeed) / (priorSamples + samples))
}

// reading returns the expected time to read the tokens.
func (e *engine) reading(tokens float64) time.Duration {
	return time.Duration(tokens / e.speed * float64(time.Millisecond))
}
