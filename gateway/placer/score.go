package placer

import "time"

// roomy reports whether the engines of the service have little to read, so that
// reading shared parts again delays nobody.
func (f *Fleet) roomy(now time.Duration, service string) bool {
	if known := f.roominess[service]; known.time == now && known.set {
		return known.roomy
	}
	reading, engines := time.Duration(0), 0
	for _, t := range f.services[service] {
		if t.engine != nil {
			reading += t.engine.reading(t.total(now).Unread)
			engines++
		}
	}
	roomy := engines > 0 && reading/time.Duration(engines) <= roomyReading
	f.roominess[service] = roominess{time: now, roomy: roomy, set: true}
	return roomy
}

// roominess is the result of roomy at a time.
type roominess struct {
	time       time.Duration
	roomy, set bool
}

// order returns the first targets in the order in which all daemons choose them
// for the prompt; nil if the prompt has no shared parts.
func (f *Fleet) order(r Request) *places {
	affinity := r.affinity()
	if affinity == 0 {
		return nil
	}
	var p places
	for _, t := range f.services[r.Service] {
		p.add(t, rank(affinity, t.hash))
	}
	return &p
}

// source returns the engine from which others can copy the shared parts of the
// prompt: the first in its order that is sound and known to have read them, or else
// the first of all; nil if there is none, or if copying is hardly faster than
// reading.
func (f *Fleet) source(now time.Duration, r Request, order *places) *target {
	if order == nil || f.settings.Policy == Fewest {
		return nil
	}
	var first *target
	for i, t := range order.targets {
		if t == nil || t.engine == nil || t.engine.settings.CopySpeed < minCopyGain*t.engine.speed || !t.health.sound() || t.stalled > 0 {
			continue
		}
		if t.engine.hasRead(now, r.affinity()) {
			return t
		}
		if i == 0 {
			first = t
		}
	}
	return first
}

// search is what the assessments of all targets for one request have in common.
type search struct {
	now     time.Duration
	request Request
	terms   Terms
	// order is nil if the prompt has no shared parts.
	order *places
	// source is the engine from which others can copy the shared parts; nil for none.
	// copyable is set if it is known to have read them.
	source   *target
	copyable bool
	// spills is set if engines may read the shared parts again.
	spills bool
	// pace is the longest mean pause between events that an engine may have; 0 sets no
	// limit.
	pace time.Duration
}

func (f *Fleet) search(now time.Duration, r Request, terms Terms) *search {
	s := &search{now: now, request: r, terms: terms, order: f.order(r), spills: terms.Waited >= spillWait, pace: f.paceLimit(r)}
	if terms.Spare {
		s.spills = f.roomy(now, r.Service)
	}
	s.source = f.source(now, r, s.order)
	s.copyable = s.source != nil && s.source.engine.hasRead(now, r.affinity())
	return s
}

// assess returns the choice of one target and its score: the expected time to
// the first event plus penalties; the smallest is the best.
func (f *Fleet) assess(s *search, t *target) (Choice, time.Duration) {
	load := t.total(s.now)
	var c Choice // the target is added to the best choices only: entries are large
	if t.engine == nil {
		assessService(&c, t, load, s.terms.Allowance)
	} else {
		s.assessEngine(&c, t, load)
	}
	score := c.Expected + time.Duration(t.health.errorShare(s.now)*float64(errorPenalty))
	if f.settings.Policy == Fewest {
		// The baseline knows neither prompt parts nor the pace of streams.
		c.Full = load.Running >= max(t.entry.Slots, 1)
		c.Fits = !c.Full
		return c, time.Duration(load.Running)
	}
	if t.entry.DataCentre != f.settings.DataCentre {
		score += remotePenalty
	}
	if c.Shared > spillTokens {
		score += time.Duration(c.Shared*float64(rereadPenalty)) + time.Duration(s.order.of(t))*rankPenalty
	}
	if t.stalled > 0 {
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
	c.Home = s.order != nil && s.order.targets[0] == t
	c.Unread, c.Shared = e.unread(s.now, r, c.Home)
	switch {
	case s.source == nil || s.source == t:
	case c.Shared > spillTokens:
		c.Copied = c.Shared
	case c.Home && s.copyable && !e.holds(s.now, r.affinity()):
		// The order has changed since the source read them; nothing is copied if the
		// engine keeps them.
		c.Copied = r.shared()
	}
	c.Ahead = load.Unread + c.Unread
	c.Expected = firstEventBase + e.reading(c.Ahead)
	share := 1.0
	if c.Shared > spillTokens {
		spills := s.spills
		// Copies let an account that got less than others over their share use engines
		// that do not keep its subjects.
		if s.terms.Spare && s.terms.Standing > 1 && c.Copied > 0 && s.copyable {
			spills = true
		} else {
			share = spillShare
		}
		c.Full = !spills
	}
	if s.terms.Spare {
		share *= min(spareShare*s.terms.Standing, 1)
	}
	c.Full = c.Full || e.full(load, r, max(e.settings.Slots, t.entry.Slots, 1)) ||
		s.pace > 0 && float64(load.Pause()) > share*float64(s.pace)
	// A prompt that takes longer than the allowance by itself still gets a target
	// that has nothing else to read.
	idle := e.reading(load.Unread) <= idleReading
	c.Fits = !c.Full && (idle || float64(c.Expected) <= share*float64(s.terms.Allowance))
}

// full reports whether the engine has no slot or no memory for a further request.
func (e *engine) full(load Load, r Request, slots int) bool {
	memory := float64(e.settings.MemoryTokens) * memoryShare
	return load.Running >= slots || memory > 0 && load.Running > 0 && load.Memory+r.memory() > memory
}

// paceLimit returns the longest mean pause between events that an engine may
// have to get the request: a short answer must not slow down the long ones.
func (f *Fleet) paceLimit(r Request) time.Duration {
	limit := f.paces[r.Service]
	if r.Pace > 0 && (limit == 0 || r.Pace < limit) {
		limit = r.Pace
	}
	return limit
}

func assessService(c *Choice, t *target, load Load, allowance time.Duration) {
	slots := max(t.entry.Slots, 1)
	turns := 1 + float64(load.Running)/float64(slots)
	c.Expected = time.Duration(turns * float64(max(t.latency, minLatency)))
	c.Fits = load.Running < slots || load.Running < slots*maxServiceTurns && c.Expected <= allowance
}
