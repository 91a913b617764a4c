// Package placer chooses the target of each request: by the prompt parts that
// engines keep, by the work that waits there, by data centre and by health. It
// counts the requests of this daemon and takes those of others from their
// reports. It is pure.
package placer

import (
	"slices"
	"strings"
	"time"

	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// Fleet is the set of targets as one daemon sees it.
type Fleet struct {
	settings Settings
	targets  map[string]*target
	// keys holds the same targets by the keys of their IDs.
	keys map[Key]*target
	// services holds the targets of each service, sorted by ID.
	services map[string][]*target
	engines  map[string]resolver.Engine
	// paces holds the mean limit of the pause between events of each service.
	paces map[string]time.Duration
	// rate is the service per second of all engines together; 0 is unknown.
	rate float64
	// placed holds the target of each own request.
	placed map[uint64]*target
	// roominess holds the last results of roomy.
	roominess map[string]roominess
	// spills are those that the peers do not know yet.
	spills []Spill
	// sound, onTrial and sampled are the last results of candidates and sample, kept
	// for their memory; next is the last target that was sampled.
	sound, onTrial, sampled []*target
	next                    int
}

// Settings configures a Fleet.
type Settings struct {
	// DataCentre is that of this daemon.
	DataCentre string
	// Policy is how targets are chosen.
	Policy Policy
}

// Policy is how targets are chosen.
type Policy string

// Policies.
const (
	// Expected chooses the target with the shortest expected time to the first event,
	// counting what prompt parts it keeps.
	Expected Policy = "expected"
	// Fewest chooses the target with the fewest requests; a baseline for measurements.
	Fewest Policy = "fewest"
)

// New returns a Fleet without targets.
func New(s Settings) *Fleet {
	return &Fleet{
		settings: s, targets: map[string]*target{}, services: map[string][]*target{},
		engines: map[string]resolver.Engine{}, paces: map[string]time.Duration{}, roominess: map[string]roominess{}, placed: map[uint64]*target{},
	}
}

// SetConfig takes the services of a configuration.
func (f *Fleet) SetConfig(c resolver.Config) {
	f.engines = map[string]resolver.Engine{}
	for _, s := range c.Services() {
		if s.Engine != nil {
			f.engines[s.Name] = *s.Engine
		}
	}
	f.rate = c.Limits().TokensPerSecond
	f.equip()
}

// SetTargets replaces the usable targets. What is known of targets that stay is
// kept; a new incarnation starts afresh.
func (f *Fleet) SetTargets(entries []registrar.Entry) {
	next := make(map[string]*target, len(entries))
	f.services = map[string][]*target{}
	for _, e := range entries {
		t := f.targets[e.ID]
		if t == nil || t.entry.Incarnation != e.Incarnation || t.entry.Address != e.Address || t.entry.Service != e.Service {
			t = newTarget(e)
		}
		t.entry = e
		next[e.ID] = t
		f.services[e.Service] = append(f.services[e.Service], t)
	}
	f.targets = next
	f.keys = make(map[Key]*target, len(next))
	for id, t := range next {
		f.keys[KeyOf(id)] = t
	}
	f.equip()
	for _, ts := range f.services {
		slices.SortFunc(ts, func(a, b *target) int { return strings.Compare(a.entry.ID, b.entry.ID) })
	}
}

// equip gives the targets of services with engines the state of an engine. An
// engine of which nothing is learnt is taken to produce an even part of what all
// produce together.
func (f *Fleet) equip() {
	engines := 0
	for _, t := range f.targets {
		s, ok := f.engines[t.entry.Service]
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
	prior := defaultSpeed
	if f.rate > 0 && engines > 0 {
		prior = max(f.rate/1000/float64(engines), minSpeed)
	}
	for _, t := range f.targets {
		if t.engine != nil {
			t.engine.prior = prior
			t.estimateSpeed(t.engine.speeds.updated)
		}
	}
}

// Targets returns the number of targets of a service.
func (f *Fleet) Targets(service string) int { return len(f.services[service]) }

// Choose returns the best target for a request; false if the service has no
// target that may get it.
func (f *Fleet) Choose(now time.Duration, r Request, terms Terms) (Choice, bool) {
	s := f.search(now, r, terms)
	var best, fitting Choice
	var bestTarget, fittingTarget *target
	bestScore, fittingScore := time.Duration(-1), time.Duration(-1)
	for _, t := range f.candidates(s) {
		c, score := f.assess(s, t)
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
	best.Target = bestTarget.entry
	if best.Copied > 0 {
		best.Source = s.source.entry.Address
	}
	return best, true
}

// candidates returns the targets that may get a request. One that was already
// sent in vain is not used to try out a target, unless there is no other.
func (f *Fleet) candidates(s *search) []*target {
	f.sound, f.onTrial = f.sound[:0], f.onTrial[:0]
	for _, t := range f.sample(s.request.Service, s.order) {
		switch {
		case !t.health.usable(s.now) || slices.Contains(s.request.Excluded, t.entry.ID):
		case s.request.Retry && t.health.onTrial():
			f.onTrial = append(f.onTrial, t)
		default:
			f.sound = append(f.sound, t)
		}
	}
	if len(f.sound) > 0 {
		return f.sound
	}
	return f.onTrial
}

// sample returns the targets of a service that are looked at for one request: all,
// or in large services the first ones for its prompt and some others in turn.
func (f *Fleet) sample(service string, order *places) []*target {
	all := f.services[service]
	if len(all) <= sampledFrom {
		return all
	}
	f.sampled = f.sampled[:0]
	if order != nil {
		f.sampled = append(f.sampled, order.targets[:]...)
	}
	for range sampledTargets {
		f.next = (f.next + 1) % len(all)
		if order == nil || order.of(all[f.next]) == rankedTargets {
			f.sampled = append(f.sampled, all[f.next])
		}
	}
	return f.sampled
}

// Start notes that the request is sent to the chosen target.
func (f *Fleet) Start(now time.Duration, r Request, c Choice) {
	t := f.targets[c.Target.ID]
	if t == nil {
		return
	}
	t.health.begin(now)
	t.start(&run{request: r, started: now, unread: c.Unread, ahead: c.Ahead})
	f.placed[r.ID] = t
	if r.Pace > 0 {
		if old := f.paces[r.Service]; old > 0 {
			f.paces[r.Service] = old + time.Duration(paceWeight*float64(r.Pace-old))
		} else {
			f.paces[r.Service] = r.Pace
		}
	}
	if t.engine != nil {
		t.engine.use(now, r)
		if c.Shared > spillTokens {
			f.spills = append(f.spills, Spill{Target: c.Target.ID, Chain: r.affinity()})
		}
	}
}

// Progress notes events of a stream that arrived within the elapsed time.
func (f *Fleet) Progress(now time.Duration, id uint64, events int, elapsed time.Duration) {
	if t := f.placed[id]; t != nil && t.engine != nil {
		t.engine.pauses.add(now, events, float64(elapsed))
	}
}

// Stall notes whether a request has waited longer than expected for its target.
func (f *Fleet) Stall(id uint64, stalled bool) {
	if t := f.placed[id]; t != nil {
		if r := t.running[id]; r != nil {
			t.stall(r, stalled)
		}
	}
}

// Result is how a request at a target ended.
type Result int

// Results.
const (
	// Complete answers are whole, whatever their status.
	Complete Result = iota
	// Refused requests did not run because the target is full.
	Refused
	// Unreachable targets did not get the request.
	Unreachable
	// Misdirected requests met another target at the address.
	Misdirected
	// Failed requests may have run and got no whole answer.
	Failed
	// Cancelled requests were given up by the caller.
	Cancelled
	// Unsent requests were given up before they were sent.
	Unsent
)

// End notes the end of a request at its target.
func (f *Fleet) End(now time.Duration, id uint64, result Result) {
	t := f.placed[id]
	if t == nil {
		return
	}
	delete(f.placed, id)
	r := t.running[id]
	if r != nil {
		t.end(r)
	}
	switch result {
	case Complete:
		t.health.succeed(now)
		if t.engine == nil && r != nil {
			t.observe(now - r.started)
		}
	case Refused:
		t.fullUntil = now + fullTime
	case Unreachable:
		t.health.fail(now, true)
	case Misdirected:
		t.health.leave(now)
	case Failed:
		t.health.fail(now, false)
	case Cancelled, Unsent:
	}
}
