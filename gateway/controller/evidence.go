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
)

// suspicion is a target whose connections broke, until a probe tells whether it
// crashed.
type suspicion struct {
	target registrar.Entry
	// since is the time of the first broken connection.
	since time.Duration
	// prompts holds the prompts that the target may not have survived.
	prompts [][]quarantiner.Part
	// probes is the number of finished probes; probing is set while one is under way.
	probes  int
	probing bool
}

// includes reports whether one of the prompts has one of the parts.
func (s *suspicion) includes(parts []quarantiner.Part) bool {
	return slices.ContainsFunc(s.prompts, func(prompt []quarantiner.Part) bool {
		return slices.ContainsFunc(prompt, func(p quarantiner.Part) bool { return slices.Contains(parts, p) })
	})
}

// partsOf returns the prompt parts of a request.
func partsOf(r placer.Request) []quarantiner.Part {
	parts := make([]quarantiner.Part, len(r.Parts))
	for i, p := range r.Parts {
		parts[i] = quarantiner.PartOf(r.Service, p.ID)
	}
	return parts
}

// recordProof records that the answer to a request proves its prompt sound.
func (c *Controller) recordProof(now time.Duration, p *permit) {
	if p.proven || !p.began {
		return
	}
	p.proven = true
	c.quarantine.RecordAnswer(now, partsOf(p.demand.Request), p.beganAt)
}

// recordEvidence records what the end of a request says about the parts of its prompt.
func (c *Controller) recordEvidence(now time.Duration, p *permit, result placer.Result) {
	switch {
	case len(p.demand.Request.Parts) == 0:
	case result == placer.Complete || p.began && now-p.beganAt >= quarantiner.ProofTime:
		c.recordProof(now, p)
	case result == placer.Broken:
		c.suspect(now, p)
	}
}

// suspect records that the connection on which a request was sent broke before its
// answer proved the prompt sound, and probes the target.
func (c *Controller) suspect(now time.Duration, p *permit) {
	target := p.target
	s := c.suspicions[target.ID]
	if s == nil || s.target.Incarnation != target.Incarnation {
		s = &suspicion{target: target, since: now}
		c.suspicions[target.ID] = s
	}
	s.prompts = append(s.prompts, partsOf(p.demand.Request))
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
	for _, prompt := range s.prompts {
		for _, i := range quarantiner.Incidents(prompt, crash, now-s.since) {
			c.quarantine.RecordIncident(now, i)
		}
	}
	logger.Emit(c.options.Logger, logger.TargetCrashed, slog.String("target", s.target.ID), slog.Int64("incarnation", s.target.Incarnation),
		slog.Int("prompts", len(s.prompts)), slog.Duration("age", now-s.since))
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

// updateQuarantineIfDue evaluates the evidence if it has changed, but not too often.
func (c *Controller) updateQuarantineIfDue(now time.Duration) {
	if c.evidenceChanged && (c.quarantineUpdated == 0 || now-c.quarantineUpdated >= quarantineUpdateInterval) {
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

// quarantineDecision returns the refusal of a request that has a part in quarantine, or
// that must not be repeated because it may have crashed its target.
func (c *Controller) quarantineDecision(now time.Duration, p *permit) (queuer.Decision, bool) {
	r := p.demand.Request
	parts := partsOf(r)
	if part, until, blocked := c.quarantine.Blocked(now, parts); blocked {
		return queuer.Decision{ID: r.ID, Reason: queuer.ReasonQuarantined, Part: part, RetryAfter: until - now}, true
	}
	// The last part is that of the request itself, which nothing can have proved.
	shared := parts[:max(len(parts)-1, 0)]
	if i := slices.IndexFunc(shared, c.quarantine.Suspected); r.Retry && i >= 0 {
		return queuer.Decision{ID: r.ID, Reason: queuer.ReasonSuspected, Part: parts[i]}, true
	}
	return queuer.Decision{}, false
}

// hold keeps a request that is to be repeated until it is known whether it crashed its
// target. It reports whether that is open.
func (c *Controller) hold(p *permit) bool {
	if !p.demand.Request.Retry || len(c.suspicions) == 0 {
		return false
	}
	parts := partsOf(p.demand.Request)
	for _, s := range c.suspicions {
		if s.includes(parts) {
			c.held = append(c.held, p)
			return true
		}
	}
	return false
}

// releaseHeld enqueues the held requests again.
func (c *Controller) releaseHeld(now time.Duration) {
	held := c.held
	c.held = nil
	for _, p := range held {
		c.enqueue(now, p)
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
	own, learned := c.quarantine.TakeNew(now)
	switch {
	case whole:
		return c.quarantine.All(now)
	case c.plan.Relay:
		own.Incidents = append(own.Incidents, learned.Incidents...)
		own.Proofs = append(own.Proofs, learned.Proofs...)
	}
	return own
}
