package placer

import (
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
		own: Load{Target: e.ID}, reported: Load{Target: e.ID},
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

// Load is the work of one daemon at one target.
type Load struct {
	Target string
	// Unread is the number of prompt tokens of requests without a first event.
	Unread float64
	// Running is the number of requests.
	Running int
	// Memory is the number of tokens that the requests need in the engine's memory.
	Memory float64
}

// plus returns the sum of two loads.
func (l Load) plus(m Load) Load {
	return Load{Target: l.Target, Unread: l.Unread + m.Unread, Running: l.Running + m.Running, Memory: l.Memory + m.Memory}
}

// minus returns the difference of two loads; rounding does not make it negative.
func (l Load) minus(m Load) Load {
	return Load{
		Target: l.Target, Unread: max(l.Unread-m.Unread, 0), Running: max(l.Running-m.Running, 0), Memory: max(l.Memory-m.Memory, 0),
	}
}

// start adds an own request.
func (t *target) start(r *run) {
	t.running[r.request.ID] = r
	t.pending = append(t.pending, r)
	t.own = t.own.plus(r.load())
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
	if l.Running > 0 {
		t.peers[peer] = peerLoad{load: l, time: now}
		t.others = t.others.plus(l)
	}
}

func (t *target) removePeer(peer string) {
	if p, ok := t.peers[peer]; ok {
		delete(t.peers, peer)
		t.others = t.others.minus(p.load)
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
	return l
}

// total returns the work of all daemons.
func (t *target) total(now time.Duration) Load { return t.current(now).plus(t.others) }

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
