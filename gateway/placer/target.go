package placer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/gateway/registrar"
)

// target is what this daemon knows of one target.
type target struct {
	entry registrar.Entry
	// hash is that of the ID.
	hash uint64
	// engine is set for model engines.
	engine *engine
	// running holds the own requests at the target, own their sum.
	running map[uint64]*run
	own     Load
	// pending holds the own requests without a first event, the oldest first.
	pending []*run
	// stalled is the number of own requests that wait for a silent target.
	stalled int
	// peers holds the last counts of other daemons, others their sum.
	peers  map[string]peerLoad
	others Load
	// reported is what was last told to the peers.
	reported Load
	health   health
	// latency is the mean time of an answer of a plain service; 0 is unknown.
	latency time.Duration
	// fullUntil is the end of the time in which the target is taken for full.
	fullUntil time.Duration
}

func newTarget(e registrar.Entry) *target {
	return &target{
		hash: xxhash.Sum64String(e.ID), running: map[uint64]*run{}, peers: map[string]peerLoad{},
		own: Load{Target: KeyOf(e.ID)}, reported: Load{Target: KeyOf(e.ID)},
	}
}

// run is one own request at a target.
type run struct {
	request Request
	started time.Duration
	// unread is the number of prompt tokens that the engine must read.
	unread float64
	// ahead is the number of unread tokens before and including the request when it
	// was sent.
	ahead float64
	// answered is set from the first event on.
	answered bool
	// stalled is set while the target is silent for longer than expected.
	stalled bool
}

// peerLoad is the load that another daemon reported.
type peerLoad struct {
	load Load
	time time.Duration
}

// Key names a target in reports: a short hash of its ID. Of 3,000 targets, two have
// the same key once in a thousand fleets; their work is then added up.
type Key uint32

// KeyOf returns the key of the target with an ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id) & math.MaxUint32) }

// Load is the work of one daemon at one target, and what the answers lately
// showed of an engine.
type Load struct {
	Target Key
	// Unread is the number of prompt tokens of requests without a first event.
	Unread float64
	// Running is the number of requests.
	Running int
	// Memory is the number of tokens that the requests need in the engine's memory.
	Memory float64
	// Events is the number of recent pauses between events of streams, Elapsed their
	// sum.
	Events  float64
	Elapsed time.Duration
	// Samples is the number of recent first events that show how fast the engine reads,
	// LogSpeed the sum of the logarithms of the speeds in tokens per millisecond.
	Samples, LogSpeed float64
}

// Plus returns the sum of two loads at the same target.
func (l Load) Plus(m Load) Load {
	l.Unread += m.Unread
	l.Running += m.Running
	l.Memory += m.Memory
	l.Events += m.Events
	l.Elapsed += m.Elapsed
	l.Samples += m.Samples
	l.LogSpeed += m.LogSpeed
	return l
}

// minus returns the difference of two loads; rounding does not make it negative.
func (l Load) minus(m Load) Load {
	l.Unread = max(l.Unread-m.Unread, 0)
	l.Running = max(l.Running-m.Running, 0)
	l.Memory = max(l.Memory-m.Memory, 0)
	l.Events = max(l.Events-m.Events, 0)
	l.Elapsed = max(l.Elapsed-m.Elapsed, 0)
	l.Samples = max(l.Samples-m.Samples, 0)
	l.LogSpeed = max(l.LogSpeed-m.LogSpeed, 0)
	return l
}

// Empty reports whether the load tells nothing of the target.
func (l Load) Empty() bool { return l.Running == 0 && l.Unread == 0 && l.Events == 0 && l.Samples == 0 }

// Pause returns the mean recent pause between events; 0 if there were too few.
func (l Load) Pause() time.Duration {
	if l.Events < minPaceEvents {
		return 0
	}
	return time.Duration(float64(l.Elapsed) / l.Events)
}

// differs reports whether peers should be told of the load after the last one.
// The sums follow the counts.
func (l Load) differs(last Load) bool {
	l.Elapsed, l.LogSpeed = last.Elapsed, last.LogSpeed
	return l != last
}

// start adds an own request.
func (t *target) start(r *run) {
	t.running[r.request.ID] = r
	t.pending = append(t.pending, r)
	t.own = t.own.Plus(r.load())
}

// answer notes that the answer to an own request began.
func (t *target) answer(r *run) {
	if r.answered {
		return
	}
	t.own = t.own.minus(Load{Unread: r.unread})
	r.answered = true
	t.pending = slices.DeleteFunc(t.pending, func(p *run) bool { return p == r })
}

// end removes an own request.
func (t *target) end(r *run) {
	t.stall(r, false)
	t.own = t.own.minus(r.load())
	t.pending = slices.DeleteFunc(t.pending, func(p *run) bool { return p == r })
	delete(t.running, r.request.ID)
}

// stall notes whether an own request waits for a silent target.
func (t *target) stall(r *run, stalled bool) {
	if r.stalled == stalled {
		return
	}
	r.stalled = stalled
	if stalled {
		t.stalled++
	} else {
		t.stalled--
	}
}

// load returns what the request adds to the target's load.
func (r *run) load() Load {
	l := Load{Running: 1, Memory: r.request.memory()}
	if !r.answered {
		l.Unread = r.unread
	}
	return l
}

// setPeer replaces the load of another daemon.
func (t *target) setPeer(now time.Duration, peer string, l Load) {
	t.removePeer(peer)
	if !l.Empty() {
		t.peers[peer] = peerLoad{load: l, time: now}
		t.others = t.others.Plus(l)
	}
	t.estimateSpeed(now)
}

func (t *target) removePeer(peer string) {
	if p, ok := t.peers[peer]; ok {
		delete(t.peers, peer)
		t.others = t.others.minus(p.load)
		if len(t.peers) == 0 {
			t.others = Load{} // no remainder of rounding
		}
	}
}

// expire forgets the loads of daemons that have not reported for long.
func (t *target) expire(now time.Duration) {
	for name, p := range t.peers {
		if now-p.time > peerAge {
			t.removePeer(name)
		}
	}
}

// current returns the own load less what the engine has read by now.
func (t *target) current(now time.Duration) Load {
	l := t.own
	l.Unread = max(l.Unread-t.progress(now), 0)
	if t.engine != nil {
		events, elapsed := t.engine.pauses.lately(now)
		l.Events, l.Elapsed = events, time.Duration(elapsed)
		l.Samples, l.LogSpeed = t.engine.speeds.lately(now)
	}
	return l
}

// estimateSpeed works out the speed of reading from what this daemon and its peers
// have seen.
func (t *target) estimateSpeed(now time.Duration) {
	if t.engine == nil {
		return
	}
	samples, logSpeed := t.engine.speeds.lately(now)
	t.engine.estimate(samples+t.others.Samples, logSpeed+t.others.LogSpeed)
}

// total returns the work of all daemons.
func (t *target) total(now time.Duration) Load { return t.current(now).Plus(t.others) }

// progress returns the tokens that the engine is expected to have read of the
// requests that have no first event yet.
func (t *target) progress(now time.Duration) float64 {
	if t.engine == nil || len(t.pending) == 0 {
		return 0
	}
	oldest := t.pending[0]
	since := max(oldest.started, t.engine.lastFirst)
	return min(oldest.unread*maxProgress, t.engine.speed*float64(now-since)/float64(time.Millisecond))
}

// observe takes the time of an answer of a plain service into account.
func (t *target) observe(latency time.Duration) {
	if t.latency == 0 {
		t.latency = latency
		return
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
}
