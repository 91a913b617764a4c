// Package placer chooses the target of each request by the prompt parts that engines
// have cached, the work queued at the targets, their data centres and their health.
// It counts the requests of this daemon and takes those of other daemons from their
// reports. The package does no I/O; callers pass the time.
//
// Terms used in this package: prefill is the computation of prompt tokens before an
// engine generates output. A prompt spills if it goes to an engine that has not
// cached its shared parts and has to compute them again. A plain service is one
// without model engines.
package placer

import (
	"math/rand/v2"
	"time"

	"monsoondeck.example/gateway/pacer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// Fleet is the set of targets as one daemon knows it. It is not safe for concurrent
// use.
type Fleet struct {
	settings Settings
	targets  map[string]*target
	// facts holds what is known about the starts of targets, including those whose
	// entries have lapsed.
	facts map[start]*facts
	// targetsByKey holds the same targets by the keys of their IDs.
	targetsByKey map[Key]*target
	// targetsByService holds the targets of each service that may get requests, sorted by
	// ID.
	targetsByService map[string][]*target
	// evacuatedCentres holds the data centres whose targets get no requests.
	evacuatedCentres []string
	// engineSettings holds the engine settings of each service that has model engines.
	engineSettings map[string]resolver.Engine
	// gapLimits holds the mean event gap limit of each service.
	gapLimits map[string]time.Duration
	// tokensPerSecond is the service of all engines together, as in resolver.Limits; 0
	// means unknown.
	tokensPerSecond float64
	// targetOfRequest holds the target of each request of this daemon by request ID.
	targetOfRequest map[uint64]*target
	// loadChecks caches the last result of lightlyLoaded for each service.
	loadChecks map[string]loadCheck
	// promptMixes holds the observed lengths of the prompts for each service.
	promptMixes map[string]*promptMix
	// unreportedSpills holds the spills that TakeSpills has not returned yet.
	unreportedSpills []Spill
	// preferredTargets, recoveringTargets and sampledTargets are the last results of
	// candidates and sample, kept to reuse their memory.
	preferredTargets, recoveringTargets, sampledTargets []*target
	// lastSampled is the index of the last target that was sampled.
	lastSampled int
	random      *rand.Rand
	// demand counts the recent requests for each service at this daemon, peers the other
	// daemons.
	demand map[string]*decayingSum
	peers  int
	// limitedTargets is the number of targets with a pacer.
	limitedTargets int
	// coldRates holds the requests per second that a cold target takes, by service.
	coldRates map[string]float64
	// place is the place of this daemon in the fleet, clockOffset the difference of the
	// common clock to that of this daemon. storeOutage is set while the store does not
	// answer.
	place       pacer.Place
	clockOffset time.Duration
	storeOutage bool
}

// Settings configures a Fleet.
type Settings struct {
	// DataCentre is the data centre of this daemon.
	DataCentre string
	// Regions holds the region of each data centre; those without a known one are absent.
	Regions map[string]string
	// Policy is the rule by which targets are chosen.
	Policy Policy
	// Seed seeds the random choices, so that those of different daemons differ.
	Seed uint64
	// Cold limits the requests to cold targets.
	Cold ColdBounds
	// SplitPrompts sends long and short prompts to different engines where both occur.
	SplitPrompts bool
}

// Policy is a rule by which targets are chosen.
type Policy string

// Policies.
const (
	// ShortestExpectedTime chooses the target with the shortest expected time to the
	// first event, taking cached prompt parts into account.
	ShortestExpectedTime Policy = "expected"
	// LeastRequests chooses the target with the fewest requests. It is a baseline for
	// measurements.
	LeastRequests Policy = "fewest"
)

// New returns a Fleet without targets.
func New(s Settings) *Fleet {
	return &Fleet{
		settings: s, targets: map[string]*target{}, facts: map[start]*facts{}, targetsByService: map[string][]*target{},
		engineSettings: map[string]resolver.Engine{}, gapLimits: map[string]time.Duration{}, loadChecks: map[string]loadCheck{}, targetOfRequest: map[uint64]*target{},
		demand: map[string]*decayingSum{}, promptMixes: map[string]*promptMix{},
		random: rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
}

// SetConfig replaces the services and the total throughput by those of a
// configuration.
func (f *Fleet) SetConfig(c resolver.Config) {
	f.engineSettings, f.coldRates = map[string]resolver.Engine{}, map[string]float64{}
	for _, s := range c.Services() {
		f.coldRates[s.Name] = s.ColdPerSecond
		if s.Engine != nil {
			f.engineSettings[s.Name] = *s.Engine
		}
	}
	f.tokensPerSecond = c.Limits().TokensPerSecond
	f.updateEngines()
}

// SetTargets replaces the usable targets. The state of a target is kept unless its start,
// address or service has changed; the facts about its start are kept even
// if it was not listed for a while.
func (f *Fleet) SetTargets(entries []registrar.Entry) {
	next := make(map[string]*target, len(entries))
	for _, e := range entries {
		t := f.targets[e.ID]
		if t == nil || StartOf(t.entry) != StartOf(e) || t.entry.Address != e.Address || t.entry.Service != e.Service {
			t = newTarget(e, f.factsOf(e))
		}
		t.entry = e
		next[e.ID] = t
	}
	f.targets = next
	f.listByService()
	f.limitedTargets = 0
	for _, t := range next {
		if t.pacer != nil {
			f.limitedTargets++
		}
	}
	f.targetsByKey = make(map[Key]*target, len(next))
	for id, t := range next {
		f.targetsByKey[KeyOf(id)] = t
	}
	f.updateEngines()
}

// updateEngines creates, updates or removes the engine state of each target
// according to its service. The prior prefill speed of an engine is an even part of
// the throughput of all.
func (f *Fleet) updateEngines() {
	engines := 0
	for _, t := range f.targets {
		s, ok := f.engineSettings[t.entry.Service]
		switch {
		case !ok:
			t.engine = nil
			continue
		case t.engine == nil:
			t.engine = newEngine(s)
		default:
			t.engine.settings = s
		}
		engines++
	}
	prior := defaultPrefillSpeed
	if f.tokensPerSecond > 0 && engines > 0 {
		prior = max(f.tokensPerSecond/1000/float64(engines), minPrefillSpeed)
	}
	for _, t := range f.targets {
		if t.engine != nil {
			t.engine.priorSpeed = prior
			t.updatePrefillSpeed(t.engine.speedSamples.updated)
		}
	}
}

// Targets returns the number of targets of a service.
func (f *Fleet) Targets(service string) int { return len(f.targetsByService[service]) }

// Choose returns the best target for a request; false if the service has no target
// that may get it.
func (f *Fleet) Choose(now time.Duration, r Request, constraints Constraints) (Choice, bool) {
	s := f.search(now, r, constraints)
	var best, fitting Choice
	var bestTarget, fittingTarget *target
	bestScore, fittingScore := time.Duration(-1), time.Duration(-1)
	candidates := f.candidates(s)
	if len(candidates) > 0 && candidates[0].engine == nil && f.settings.Policy == ShortestExpectedTime {
		candidates = f.drawServices(s, candidates)
	}
	for _, t := range candidates {
		c, score := f.assess(s, t)
		if t.engine == nil {
			score += time.Duration(f.random.ExpFloat64() * float64(t.uncertainty(now)))
		}
		if bestScore < 0 || score < bestScore {
			best, bestTarget, bestScore = c, t, score
		}
		if c.Fits && (fittingScore < 0 || score < fittingScore) {
			fitting, fittingTarget, fittingScore = c, t, score
		}
	}
	if fittingTarget != nil {
		best, bestTarget = fitting, fittingTarget
	}
	if bestTarget == nil {
		return Choice{}, false
	}
	best.Target, best.Limited, best.SendBy = bestTarget.entry, bestTarget.limited(now), f.sendBy(now, bestTarget)
	if best.CopyTokens > 0 {
		best.CopySource = s.copySource.entry.Address
	}
	return best, true
}

// candidates returns the targets that may get a request. A retried request goes to a
// recovering target only if there is no other, since it should not spend its next
// attempt there too.
func (f *Fleet) candidates(s *search) []*target {
	f.preferredTargets, f.recoveringTargets = f.preferredTargets[:0], f.recoveringTargets[:0]
	for _, t := range f.sample(s.request, s.ranked) {
		switch {
		case f.obstacle(s.now, s.request, t) != noObstacle:
		case s.request.Retry && t.health.recovering():
			f.recoveringTargets = append(f.recoveringTargets, t)
		default:
			f.preferredTargets = append(f.preferredTargets, t)
		}
	}
	if len(f.preferredTargets) > 0 {
		return f.preferredTargets
	}
	return f.recoveringTargets
}

// drawServices returns two random targets of a plain service, or all candidates if
// neither has room. With old reports, the target that seems best to one daemon seems
// best to all; the better one of two random targets spreads the requests of hundreds
// of daemons.
func (f *Fleet) drawServices(s *search, candidates []*target) []*target {
	if len(candidates) <= drawnTargets {
		return candidates
	}
	fits := false
	for i := range drawnTargets {
		j := i + f.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		c, _ := f.assess(s, candidates[i])
		fits = fits || c.Fits
	}
	if !fits {
		return candidates
	}
	return candidates[:drawnTargets]
}

// sample returns the targets of a service that are assessed for one request: all of
// them, or in a large service the top-ranked ones for the prompt and some others in
// turn. A request with allowed regions or a software version is assessed for all, since a
// sample may have no target that it may use.
func (f *Fleet) sample(r Request, ranked *topRanked) []*target {
	all := f.targetsByService[r.Service]
	if len(all) <= samplingThreshold || r.Regions.Limited() || r.Version.Limited() {
		return all
	}
	f.sampledTargets = f.sampledTargets[:0]
	if ranked != nil {
		f.sampledTargets = append(f.sampledTargets, ranked.targets[:]...)
	}
	for range sampleSize {
		f.lastSampled = (f.lastSampled + 1) % len(all)
		if ranked == nil || ranked.position(all[f.lastSampled]) == rankedTargets {
			f.sampledTargets = append(f.sampledTargets, all[f.lastSampled])
		}
	}
	return f.sampledTargets
}

// RecordStart records that a request is sent to the chosen target.
func (f *Fleet) RecordStart(now time.Duration, r Request, c Choice) {
	t := f.targets[c.Target.ID]
	if t == nil {
		return
	}
	t.health.recordSend(now)
	if t.pacer != nil {
		t.pacer.Use()
	}
	f.useTurn(now, t)
	t.addRequest(&placedRequest{request: r, started: now, uncachedTokens: c.UncachedTokens, prefillBacklog: c.PrefillBacklog})
	f.targetOfRequest[r.ID] = t
	if r.MaxMeanEventGap > 0 {
		if old := f.gapLimits[r.Service]; old > 0 {
			f.gapLimits[r.Service] = old + time.Duration(gapLimitWeight*float64(r.MaxMeanEventGap-old))
		} else {
			f.gapLimits[r.Service] = r.MaxMeanEventGap
		}
	}
	if t.engine != nil {
		t.engine.recordRequest(now, r)
		if c.UncachedSharedTokens > negligibleTokens {
			f.unreportedSpills = append(f.unreportedSpills, Spill{Target: c.Target.ID, PrefixHash: r.sharedPrefix()})
		}
	}
}

// RecordEvents records events of a stream that arrived within the elapsed time.
func (f *Fleet) RecordEvents(now time.Duration, id uint64, events int, elapsed time.Duration) {
	if t := f.targetOfRequest[id]; t != nil && t.engine != nil {
		t.engine.eventGaps.add(now, events, float64(elapsed))
	}
}

// SetStalled records whether a request has waited longer than expected for its
// target.
func (f *Fleet) SetStalled(id uint64, stalled bool) {
	if t := f.targetOfRequest[id]; t != nil {
		if r := t.running[id]; r != nil {
			t.setStalled(r, stalled)
		}
	}
}

// Result is the outcome of a request at a target.
type Result int

// Results.
const (
	// Complete means that the whole answer arrived, whatever its status.
	Complete Result = iota
	// Refused means that the request did not run because the target is full.
	Refused
	// Unreachable means that the target did not get the request.
	Unreachable
	// Absent means that the target did not get the request, since its host refused the
	// connection: the process of the target has ended.
	Absent
	// Misdirected means that a different target answered at the address.
	Misdirected
	// Failed means that the request may have run but its whole answer did not arrive.
	Failed
	// Broken means that the connection broke before the whole answer of a request that may
	// have run had arrived.
	Broken
	// Cancelled means that the caller gave up the request.
	Cancelled
	// Unsent means that the request was given up before it was sent.
	Unsent
)

// RecordEnd records the end of a request at its target.
func (f *Fleet) RecordEnd(now time.Duration, id uint64, result Result) {
	t := f.targetOfRequest[id]
	if t == nil {
		return
	}
	delete(f.targetOfRequest, id)
	r := t.running[id]
	if r != nil {
		t.removeRequest(r)
	}
	switch result {
	case Complete:
		t.health.recordSuccess(now)
		if t.engine == nil && r != nil {
			t.recordServiceTime(now - r.started)
		}
	case Refused:
		t.fullUntil = now + fullDuration
	case Unreachable:
		t.health.recordFailure(now, true)
	case Absent:
		t.health.recordFailure(now, true)
		t.restartedUntil = now + restartNotice
	case Misdirected:
		t.health.recordMisdirection(now)
	case Failed, Broken:
		t.health.recordFailure(now, false)
	case Cancelled, Unsent:
	}
}
