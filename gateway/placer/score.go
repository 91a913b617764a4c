package placer

import (
	"math"
	"time"
)

// lightlyLoaded reports whether the engines of the service have so little to prefill
// that computing shared parts again delays nobody.
func (f *Fleet) lightlyLoaded(now time.Duration, service string) bool {
	if known := f.loadChecks[service]; known.time == now && known.valid {
		return known.light
	}
	prefill, engines := time.Duration(0), 0
	for _, t := range f.targetsByService[service] {
		if t.engine != nil {
			prefill += t.engine.prefillTime(t.totalLoadAt(now).PrefillTokens)
			engines++
		}
	}
	light := engines > 0 && prefill/time.Duration(engines) <= lightLoadPrefill
	f.loadChecks[service] = loadCheck{time: now, light: light, valid: true}
	return light
}

// loadCheck is a result of lightlyLoaded, which is valid for the time it was
// computed at.
type loadCheck struct {
	time         time.Duration
	light, valid bool
}

// rankTargets returns the top-ranked targets for the prompt that it may use, on its side of
// the split, on which all daemons agree; nil if the prompt has no shared
// parts.
func (f *Fleet) rankTargets(r Request, side splitSide, longShare float64) *topRanked {
	prefix := r.sharedPrefix()
	if prefix == 0 {
		return nil
	}
	var p topRanked
	for _, t := range f.targetsByService[r.Service] {
		if f.allowed(r, t) && t.suits(side, longShare) {
			p.insert(t, rank(prefix, t.idHash))
		}
	}
	if p.targets[0] == nil && side != unsplit {
		// No allowed engine is on the side of the prompt.
		return f.rankTargets(r, unsplit, 0)
	}
	return &p
}

// copySource returns the engine from which others can copy the shared parts of the
// prompt: the highest-ranked healthy one that is known to have prefilled them, or
// else the first one of the ranking if it is healthy. It returns nil if there is
// none, if copying is hardly faster than prefill, or if it is cold: a copy loads its source
// like a request.
func (f *Fleet) copySource(now time.Duration, r Request, ranked *topRanked) *target {
	if ranked == nil || f.settings.Policy == LeastRequests {
		return nil
	}
	var first *target
	for i, t := range ranked.targets {
		if t == nil || t.engine == nil || t.engine.settings.CopySpeed < minCopySpeedup*t.engine.prefillSpeed || !t.health.healthy() || t.stalledRequests > 0 || f.cold(now, t) {
			continue
		}
		if t.engine.hasPrefilled(now, r.sharedPrefix()) {
			return t
		}
		if i == 0 {
			first = t
		}
	}
	return first
}

// search holds the inputs that the assessments of all targets for one request have
// in common.
type search struct {
	now         time.Duration
	request     Request
	constraints Constraints
	// ranked is nil if the prompt has no shared parts.
	ranked *topRanked
	// copySource is the engine from which others can copy the shared parts; nil means
	// none. sourceHasPrefix is set if it is known to have prefilled them.
	copySource      *target
	sourceHasPrefix bool
	// maySpill is set if engines that have not cached the shared parts may compute them
	// again.
	maySpill bool
	// maxEventGap is the longest mean gap between events that an engine may have; 0
	// sets no limit.
	maxEventGap time.Duration
	// side is the side of the prompt in the split of the engines, longShare the share of
	// the engines for long prompts.
	side      splitSide
	longShare float64
}

func (f *Fleet) search(now time.Duration, r Request, constraints Constraints) *search {
	side, longShare := f.splitSide(r)
	s := &search{now: now, request: r, constraints: constraints, side: side, longShare: longShare, ranked: f.rankTargets(r, side, longShare), maySpill: constraints.Waited >= spillWait, maxEventGap: f.gapLimit(r)}
	if constraints.SpareOnly {
		s.maySpill = f.lightlyLoaded(now, r.Service)
	}
	if constraints.Continues {
		s.maySpill, s.maxEventGap = true, 0
	}
	s.copySource = f.copySource(now, r, s.ranked)
	s.sourceHasPrefix = s.copySource != nil && s.copySource.engine.hasPrefilled(now, r.sharedPrefix())
	return s
}

// assess returns the choice of one target and its score, which is the expected time
// to the first event plus penalties. The smallest score is the best.
func (f *Fleet) assess(s *search, t *target) (Choice, time.Duration) {
	c, score := f.assessLoad(s, t)
	if wait := f.slotWait(s.now, t); wait > 0 {
		c.Fits, c.Full = false, true
		c.Expected += wait
		score += wait
	}
	return c, score
}

// assessLoad does what assess does, without the slots of the target.
func (f *Fleet) assessLoad(s *search, t *target) (Choice, time.Duration) {
	load := t.totalLoadAt(s.now)
	var c Choice // Choose sets Target for the best choice only, since entries are large
	if t.engine == nil {
		t.assessService(&c, s.now, s.constraints.FirstEventBudget)
	} else {
		s.assessEngine(&c, t, load)
	}
	score := c.Expected + time.Duration(t.health.errorRateNow(s.now)*float64(errorPenalty))
	if f.settings.Policy == LeastRequests {
		// The baseline ignores prompt parts and event gaps.
		c.Full = load.Running >= max(t.entry.Slots, 1)
		c.Fits = !c.Full
		return c, time.Duration(load.Running)
	}
	if t.entry.DataCentre != f.settings.DataCentre {
		score += remotePenalty
	}
	if c.UncachedSharedTokens > negligibleTokens {
		score += time.Duration(c.UncachedSharedTokens*float64(recomputePenalty)) + time.Duration(s.ranked.position(t))*rankPenalty
	}
	score += s.splitPenalty(t, c)
	if t.stalledRequests > 0 {
		score += stallPenalty
	}
	if s.now < t.fullUntil {
		score += fullPenalty
		c.Fits, c.Full = false, true
	}
	return c, score
}

func (s *search) assessEngine(c *Choice, t *target, load Load) {
	e, r := t.engine, s.request
	c.FirstRanked = s.ranked != nil && s.ranked.targets[0] == t
	c.UncachedTokens, c.UncachedSharedTokens = e.uncachedTokens(s.now, r, c.FirstRanked)
	switch {
	case s.copySource == nil || s.copySource == t || s.copySource.entry.Version != t.entry.Version:
	case c.UncachedSharedTokens > negligibleTokens:
		c.CopyTokens = c.UncachedSharedTokens
	case c.FirstRanked && s.sourceHasPrefix && !e.hasCached(s.now, r.sharedPrefix()):
		// The ranking has changed since the source prefilled the parts, so this engine
		// comes first but has not cached them.
		c.CopyTokens = r.sharedTokens()
	}
	c.PrefillBacklog = load.PrefillTokens + c.UncachedTokens
	c.Expected = firstEventOverhead + e.prefillTime(c.PrefillBacklog)
	share := 1.0
	if c.UncachedSharedTokens > negligibleTokens {
		maySpill := s.maySpill
		// Copies let an account with less service than others over their share use engines
		// that have not cached its shared parts.
		if s.constraints.SpareOnly && s.constraints.SpareWeight > 1 && c.CopyTokens > 0 && s.sourceHasPrefix {
			maySpill = true
		} else {
			share = spillBudgetShare
		}
		c.Full = !maySpill
	}
	if s.constraints.SpareOnly {
		share *= min(spareBudgetShare*s.constraints.SpareWeight, 1)
	}
	c.Full = c.Full || e.full(load, r, max(e.settings.Slots, t.entry.Slots, 1)) ||
		s.maxEventGap > 0 && float64(load.MeanEventGap()) > share*float64(s.maxEventGap)
	// A prompt whose own prefill exceeds the budget still fits a target that has
	// nothing else to prefill.
	idle := e.prefillTime(load.PrefillTokens) <= idlePrefill
	c.Fits = !c.Full && (idle || float64(c.Expected) <= share*float64(s.constraints.FirstEventBudget))
}

// full reports whether the engine lacks a slot or the memory for one more request.
func (e *engine) full(load Load, r Request, slots int) bool {
	memory := float64(e.settings.MemoryTokens) * maxMemoryShare
	return load.Running >= slots || memory > 0 && load.Running > 0 && load.MemoryTokens+r.memoryTokens() > memory
}

// gapLimit returns the longest mean gap between events that an engine may have to
// get the request. The limit includes the mean of the service, since a short answer
// must not slow down the long ones.
func (f *Fleet) gapLimit(r Request) time.Duration {
	limit := f.gapLimits[r.Service]
	if r.MaxMeanEventGap > 0 && (limit == 0 || r.MaxMeanEventGap < limit) {
		limit = r.MaxMeanEventGap
	}
	return limit
}

func (t *target) assessService(c *Choice, now time.Duration, budget time.Duration) {
	slots := float64(max(t.entry.Slots, 1))
	running := t.expectedRunning(now)
	serviceTime := float64(max(t.serviceTime, minServiceTime))
	c.Expected = time.Duration((1 + running/slots) * serviceTime)
	c.Fits = running < slots || running < slots*maxRequestsPerSlot && c.Expected <= budget
}

// expectedRunning returns the expected number of requests at a target of a plain
// service. A request that peers reported has probably ended after the service time,
// and others have come; the older the reports, the more the mean of the last reports
// counts instead.
func (t *target) expectedRunning(now time.Duration) float64 {
	peers := float64(t.peerTotal.Running) + t.reportAge(now)*(t.meanPeerRunning-float64(t.peerTotal.Running))
	return float64(t.ownLoad.Running) + max(peers, 0)
}

// uncertainty returns the time by which the expected time of a target of a plain
// service can be wrong because the reports of the peers are old.
func (t *target) uncertainty(now time.Duration) time.Duration {
	return time.Duration(t.reportAge(now) * uncertainTurns * float64(max(t.serviceTime, minServiceTime)))
}

// reportAge returns the expected share of the requests in the last reports of the
// peers that have ended since, between 0 and 1.
func (t *target) reportAge(now time.Duration) float64 {
	return 1 - math.Exp(-float64(now-t.peersReported)/float64(max(t.serviceTime, minServiceTime)))
}
