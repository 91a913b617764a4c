package controller

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/watcher"
	"monsoondeck.example/logger"
)

const (
	// maxCrashProbes is the number of connection attempts that a target must refuse or
	// accept before it is known whether it crashed: it may still accept one while it ends.
	maxCrashProbes = 2
	// suspicionTimeout is the time after which an unfinished probe counts as inconclusive.
	suspicionTimeout = 1500 * time.Millisecond
	// quarantineUpdateInterval is the minimum time between two evaluations of all evidence,
	// which cost up to a millisecond each and would follow each report of each peer while
	// many targets crash. New requests are checked against the latest evidence anyway.
	quarantineUpdateInterval = 50 * time.Millisecond
	// quarantineReviewInterval is the longest time between two evaluations while there is
	// evidence: the quarantine of a part begins some time after its last crash, and ends.
	quarantineReviewInterval = time.Second
)

// suspicion is a target whose connections broke, until a probe tells whether it
// crashed.
type suspicion struct {
	target registrar.Entry
	// since is the time of the first broken connection.
	since time.Duration
	// requests holds the requests that the target may not have survived.
	requests []suspects
	// probes is the number of finished probes; probing is set while one is under way.
	probes  int
	probing bool
}

// includes reports whether one of the requests has one of the parts.
func (s *suspicion) includes(parts []quarantiner.Part) bool {
	return slices.ContainsFunc(s.requests, func(r suspects) bool {
		return slices.ContainsFunc(r.parts, func(p quarantiner.Part) bool { return slices.Contains(parts, p) })
	})
}

// suspects is what may have crashed the target of a request.
type suspects struct {
	// parts holds the shared parts of the prompt and, last, the whole request.
	parts []quarantiner.Part
	// prompt identifies the prompt.
	prompt uint64
}

// suspectsOf returns the suspects of a request. The last part of its prompt, which is not
// shared, is covered by the whole request.
func suspectsOf(r placer.Request) suspects {
	shared := r.Parts[:max(len(r.Parts)-1, 0)]
	s := suspects{parts: make([]quarantiner.Part, 0, len(shared)+1), prompt: r.Fingerprint}
	for _, p := range shared {
		s.parts = append(s.parts, quarantiner.PartOf(r.Service, p.ID))
	}
	if len(r.Parts) > 0 {
		s.prompt = r.Parts[len(r.Parts)-1].ID
	}
	s.parts = append(s.parts, quarantiner.PartOf(r.Service, r.Fingerprint))
	return s
}

func (s suspects) shared() []quarantiner.Part { return s.parts[:len(s.parts)-1] }

func (s suspects) whole() quarantiner.Part { return s.parts[len(s.parts)-1] }

// recordProof records that the answer to a request proves it sound.
func (c *Controller) recordProof(now time.Duration, p *permit) {
	if p.proven || !p.began {
		return
	}
	p.proven = true
	s := suspectsOf(p.demand.Request)
	c.quarantine.RecordAnswer(now, s.shared(), p.beganAt)
	c.quarantine.RecordRequestAnswer(now, s.whole(), p.beganAt)
}

// recordEvidence records what the end of a request says about it.
func (c *Controller) recordEvidence(now time.Duration, p *permit, result placer.Result) {
	switch {
	case result == placer.Complete || p.began && now-p.beganAt >= quarantiner.ProofTime:
		c.recordProof(now, p)
	case result == placer.Broken:
		c.suspect(now, p)
	}
}

// suspect records that the connection on which a request was sent broke before its
// answer proved it sound, and probes the target.
func (c *Controller) suspect(now time.Duration, p *permit) {
	target := p.target
	s := c.suspicions[target.ID]
	if s == nil || s.target.Incarnation != target.Incarnation {
		s = &suspicion{target: target, since: now}
		c.suspicions[target.ID] = s
	}
	s.requests = append(s.requests, suspectsOf(p.demand.Request))
	c.probeSuspect(s)
}

func (c *Controller) probeSuspect(s *suspicion) {
	if !s.probing {
		s.probing = true
		c.options.Probe(s.target)
	}
}

// resolveSuspicion applies the result of a probe to the suspicion of its target.
func (c *Controller) resolveSuspicion(now time.Duration, target string, result ProbeResult) {
	s := c.suspicions[target]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	s.probes++
	switch {
	case result == ProbeRefused:
		c.recordCrash(now, s)
	case s.probes < maxCrashProbes:
		return // the next report starts another probe
	}
	delete(c.suspicions, target)
	c.releaseHeld(now)
}

// recordCrash records the crash of a target and the parts that may have caused it.
func (c *Controller) recordCrash(now time.Duration, s *suspicion) {
	crash := quarantiner.CrashOf(s.target.ID, s.target.Incarnation)
	for _, r := range s.requests {
		for _, i := range quarantiner.Incidents(r.parts, r.prompt, crash, now-s.since) {
			c.quarantine.RecordIncident(now, i)
		}
	}
	logger.Emit(c.options.Logger, logger.TargetCrashed, slog.String("target", s.target.ID), slog.Int64("incarnation", s.target.Incarnation),
		slog.Int("requests", len(s.requests)), slog.Duration("age", now-s.since))
	c.evidenceChanged = true
}

// learnEvidence records the evidence of another daemon.
func (c *Controller) learnEvidence(now time.Duration, e quarantiner.Evidence) {
	if e.Empty() {
		return
	}
	c.quarantine.Learn(now, e)
	c.evidenceChanged = true
}

// updateQuarantineIfDue evaluates the evidence if it has changed, but not too often, and now
// and then without a change.
func (c *Controller) updateQuarantineIfDue(now time.Duration) {
	interval := quarantineUpdateInterval
	if !c.evidenceChanged {
		interval = quarantineReviewInterval
	}
	if c.quarantineUpdated == 0 || now-c.quarantineUpdated >= interval {
		c.updateQuarantine(now)
	}
}

// updateQuarantine logs the changes of the quarantine and refuses the waiting requests
// that are now in it.
func (c *Controller) updateQuarantine(now time.Duration) {
	c.evidenceChanged, c.quarantineUpdated = false, now
	parts := c.quarantine.Quarantined(now)
	for _, p := range parts {
		if _, found := slices.BinarySearch(c.quarantined, p); !found {
			logger.Emit(c.options.Logger, logger.PartQuarantined, slog.String("part", formatPart(p)), slog.Int("companions", len(c.quarantine.Companions(p))),
				slog.Int("crashes", len(c.quarantine.Incidents(now, p))), slog.Duration("for", c.quarantine.Until(p)-now))
		}
	}
	for _, p := range c.quarantined {
		if _, found := slices.BinarySearch(parts, p); !found {
			logger.Emit(c.options.Logger, logger.PartReleased, slog.String("part", formatPart(p)))
		}
	}
	c.quarantined = parts
	c.publishQuarantine(now)
	if len(parts) == 0 {
		return
	}
	for id, p := range c.waiting {
		if d, blocked := c.quarantineDecision(now, p); blocked && c.queue.Remove(id) {
			delete(c.waiting, id)
			p.decide(now, d)
		}
	}
}

// publishQuarantine updates the snapshot that QuarantineState returns.
func (c *Controller) publishQuarantine(now time.Duration) {
	old := c.quarantineState.Load()
	evidence, released := c.quarantine.Durable(now)
	same := func(a, b quarantiner.Incident) bool { return a.Part == b.Part && a.Crash == b.Crash }
	if slices.EqualFunc(evidence.Incidents, old.Evidence.Incidents, same) {
		return // parts that were never in quarantine are not stored, whether released or not
	}
	c.quarantineState.Store(&quarantineSnapshot{QuarantineState: watcher.QuarantineState{Version: old.Version + 1, Evidence: evidence, Released: released}, at: now})
}

// quarantineSnapshot is a QuarantineState with the time as of which it has the ages.
type quarantineSnapshot struct {
	watcher.QuarantineState
	at time.Duration
}

// QuarantineState implements watcher.QuarantineSink.
func (c *Controller) QuarantineState() watcher.QuarantineState {
	s := c.quarantineState.Load()
	state := s.QuarantineState
	state.Evidence.Incidents = slices.Clone(state.Evidence.Incidents)
	for i := range state.Evidence.Incidents {
		state.Evidence.Incidents[i].Age += c.options.Clock() - s.at
	}
	return state
}

// LearnEvidence implements watcher.QuarantineSink.
func (c *Controller) LearnEvidence(e quarantiner.Evidence) { c.events <- evidenceEvent{e} }

// evidenceEvent delivers evidence from the store.
type evidenceEvent struct{ evidence quarantiner.Evidence }

func (e evidenceEvent) apply(c *Controller, now time.Duration) { c.learnEvidence(now, e.evidence) }

// formatPart returns the name of a part in the log.
func formatPart(p quarantiner.Part) string { return strconv.FormatUint(uint64(p), 16) }

// quarantineDecision returns the refusal of a request that is in quarantine or has a part
// in it, unless it is sent as a trial, or that must not be repeated because it may have
// crashed its target.
func (c *Controller) quarantineDecision(now time.Duration, p *permit) (queuer.Decision, bool) {
	r := p.demand.Request
	s := suspectsOf(r)
	if part, retryAt, blocked := c.quarantine.Blocked(now, s.parts); blocked && !p.trial {
		if r.Retry || !c.quarantine.TakeTrial(now, s.parts, quarantiner.Fleet{Host: c.options.Host, Daemons: c.place(now).Daemons}) {
			return queuer.Decision{ID: r.ID, Reason: queuer.ReasonQuarantined, Part: part, RetryAfter: retryAt - now}, true
		}
		p.trial = true
		logger.Emit(c.options.Logger, logger.QuarantineTrial, slog.String("part", formatPart(part)))
	}
	if !r.Retry {
		return queuer.Decision{}, false
	}
	if i := slices.IndexFunc(s.shared(), c.quarantine.Suspected); i >= 0 {
		return queuer.Decision{ID: r.ID, Reason: queuer.ReasonSuspected, Part: s.parts[i]}, true
	}
	if c.quarantine.SuspectedRequest(s.whole(), 0) {
		return queuer.Decision{ID: r.ID, Reason: queuer.ReasonSuspected, Part: s.whole()}, true
	}
	return queuer.Decision{}, false
}

// hold keeps a request that is to be repeated until it is known whether it crashed its
// target, if that decides on the repetition. It reports whether that is open.
func (c *Controller) hold(p *permit) bool {
	if !p.demand.Request.Retry || len(c.suspicions) == 0 {
		return false
	}
	r := suspectsOf(p.demand.Request)
	unconfirmed, shared := 0, false
	for _, s := range c.suspicions {
		shared = shared || s.includes(r.shared())
		if s.includes(r.parts[len(r.parts)-1:]) {
			unconfirmed++
		}
	}
	if shared || unconfirmed > 0 && c.quarantine.SuspectedRequest(r.whole(), unconfirmed) {
		c.held = append(c.held, p)
		return true
	}
	return false
}

// releaseHeld enqueues the held requests again, unless another suspicion decides on them.
func (c *Controller) releaseHeld(now time.Duration) {
	held := c.held
	c.held = nil
	for _, p := range held {
		if !c.hold(p) {
			c.enqueue(now, p)
		}
	}
}

// checkSuspicions probes suspect targets again and gives up those whose probe does not
// finish.
func (c *Controller) checkSuspicions(now time.Duration) {
	expired := false
	for id, s := range c.suspicions {
		if now-s.since > suspicionTimeout {
			delete(c.suspicions, id)
			expired = true
			continue
		}
		c.probeSuspect(s)
	}
	if expired {
		c.releaseHeld(now)
	}
}

// takeEvidence returns the evidence for the next report. Relays of a large fleet also
// forward that of others.
func (c *Controller) takeEvidence(now time.Duration, whole bool) quarantiner.Evidence {
	news, learned := c.quarantine.TakeNew(now)
	if c.plan.Relay {
		news.Incidents = append(news.Incidents, learned.Incidents...)
		news.Proofs = append(news.Proofs, learned.Proofs...)
	}
	if !whole {
		return news
	}
	all := c.quarantine.All(now)
	for _, p := range news.Proofs {
		// All omits proofs that a target has not crashed, and those on parts that are cleared.
		if !slices.Contains(all.Proofs, p) {
			all.Proofs = append(all.Proofs, p)
		}
	}
	return all
}
