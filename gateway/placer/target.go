package placer

import (
	"time"

	"monsoondeck.example/gateway/registrar"
)

// target is what this daemon knows of one target.
type target struct {
	entry registrar.Entry
	// engine is set for model engines.
	engine *engine
	// running holds the own requests at the target.
	running map[uint64]*run
	// peers holds the last counts of other daemons.
	peers map[string]peerLoad
	// reported is what was last told to the peers.
	reported Load
	health   health
	// latency is the mean time of an answer of a plain service; 0 is unknown.
	latency time.Duration
	// fullUntil is the end of the time in which the target is taken for full.
	fullUntil time.Duration
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

func (t *target) own() Load {
	l := Load{Target: t.entry.ID, Running: len(t.running)}
	for _, r := range t.running {
		if !r.answered {
			l.Unread += r.unread
		}
		l.Memory += r.request.memory()
	}
	return l
}

// total returns the work of all daemons.
func (t *target) total(now time.Duration) Load {
	l := t.own()
	l.Unread = max(l.Unread-t.progress(now), 0)
	for name, p := range t.peers {
		if now-p.time > peerAge {
			delete(t.peers, name)
			continue
		}
		l.Unread += p.load.Unread
		l.Running += p.load.Running
		l.Memory += p.load.Memory
	}
	return l
}

// progress returns the tokens that the engine is expected to have read of the
// requests that have no first event yet.
func (t *target) progress(now time.Duration) float64 {
	if t.engine == nil {
		return 0
	}
	var oldest *run
	for _, r := range t.running {
		if !r.answered && (oldest == nil || r.started < oldest.started) {
			oldest = r
		}
	}
	if oldest == nil {
		return 0
	}
	since := max(oldest.started, t.engine.lastFirst)
	return min(oldest.unread*maxProgress, t.engine.speed*float64(now-since)/float64(time.Millisecond))
}

// stalled reports whether the target has stopped answering own requests.
func (t *target) stalled() bool {
	for _, r := range t.running {
		if r.stalled {
			return true
		}
	}
	return false
}

// observe takes the time of an answer of a plain service into account.
func (t *target) observe(latency time.Duration) {
	if t.latency == 0 {
		t.latency = latency
		return
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
}
