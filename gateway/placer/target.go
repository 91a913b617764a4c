package placer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/gateway/registrar"
)

// target is the state of one target as this daemon knows it.
type target struct {
	entry registrar.Entry
	// idHash is the hash of the ID, for rendezvous hashing.
	idHash uint64
	// splitPosition is the position of an engine in the split between long and short
	// prompts, between 0 and 1.
	splitPosition float64
	// engine is set if the target is a model engine.
	engine *engine
	// running holds the requests of this daemon at the target by ID; ownLoad is their
	// sum.
	running map[uint64]*placedRequest
	ownLoad Load
	// pending holds the requests of this daemon without a first event, the oldest
	// first.
	pending []*placedRequest
	// stalledRequests is the number of requests of this daemon for which the target has
	// been silent for longer than expected.
	stalledRequests int
	// peerLoads holds the last load reported by each peer; peerTotal is their sum.
	peerLoads map[string]peerLoad
	peerTotal Load
	// peersReported is the time of the last report of a peer, and meanPeerRunning the
	// moving mean of peerTotal.Running.
	peersReported   time.Duration
	meanPeerRunning float64
	// lastReported is the own load last returned for the peers.
	lastReported Load
	health       health
	// serviceTime is the mean time to an answer of a plain service; 0 means unknown.
	serviceTime time.Duration
	// fullUntil is the time until which the target counts as full after a refusal.
	fullUntil time.Duration
	// facts is never nil. It outlives the target, whose entry may lapse for a while.
	*facts
}

func newTarget(e registrar.Entry, known *facts) *target {
	return &target{
		facts: known, idHash: xxhash.Sum64String(e.ID), running: map[uint64]*placedRequest{}, peerLoads: map[string]peerLoad{},
		ownLoad: Load{Target: KeyOf(e.ID)}, lastReported: Load{Target: KeyOf(e.ID)},
	}
}

// placedRequest is a request of this daemon at a target.
type placedRequest struct {
	request Request
	started time.Duration
	// uncachedTokens is the number of prompt tokens that the engine must prefill.
	uncachedTokens float64
	// prefillBacklog is the number of tokens that the engine had to prefill when the
	// request was sent, including those of the request.
	prefillBacklog float64
	// answered is set from the first event on.
	answered bool
	// stalled is set while the target has been silent for longer than expected.
	stalled bool
}

// peerLoad is a load reported by a peer, with the time of the report.
type peerLoad struct {
	load Load
	time time.Duration
}

// Key identifies a target in load reports by a short hash of its ID. In a fleet of
// 3,000 targets, two targets share a key with a probability of about 0.1%; their
// loads are then added up.
type Key uint32

// KeyOf returns the key of the target with the given ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id) & math.MaxUint32) }

// Load is the work of one daemon, or of several, at one target, and recent
// observations of the speed of its engine.
type Load struct {
	Target Key
	// PrefillTokens is the number of prompt tokens that the engine has yet to prefill
	// for requests without a first event.
	PrefillTokens float64
	// Running is the number of requests.
	Running int
	// MemoryTokens is the number of tokens that the requests need in the engine's
	// memory.
	MemoryTokens float64
	// EventGaps is the number of recent gaps between events of streams, EventGapSum
	// their sum.
	EventGaps   float64
	EventGapSum time.Duration
	// SpeedSamples is the number of recent first events from which the prefill speed
	// was measured, LogSpeedSum the sum of the logarithms of those speeds in tokens per
	// millisecond.
	SpeedSamples, LogSpeedSum float64
	// Limit is the newest request limit that the daemons have seen in an answer, LimitAge
	// the time since then. LimitKnown is set if there is one.
	Limit      RequestLimit
	LimitKnown bool
	LimitAge   time.Duration
	// Wanted is the number of requests per second for the service, if a limit of the
	// target is in force.
	Wanted float64
}

// Add returns the sum of two loads at the same target.
func (l Load) Add(m Load) Load {
	l.PrefillTokens += m.PrefillTokens
	l.Running += m.Running
	l.MemoryTokens += m.MemoryTokens
	l.EventGaps += m.EventGaps
	l.EventGapSum += m.EventGapSum
	l.SpeedSamples += m.SpeedSamples
	l.LogSpeedSum += m.LogSpeedSum
	l.Wanted += m.Wanted
	if m.LimitKnown && (!l.LimitKnown || m.LimitAge < l.LimitAge) {
		l.Limit, l.LimitKnown, l.LimitAge = m.Limit, true, m.LimitAge
	}
	return l
}

// Sub returns the difference of two loads. No field becomes negative by rounding. The
// limit stays, since it is that of the target and not of one daemon.
func (l Load) Sub(m Load) Load {
	l.PrefillTokens = max(l.PrefillTokens-m.PrefillTokens, 0)
	l.Running = max(l.Running-m.Running, 0)
	l.MemoryTokens = max(l.MemoryTokens-m.MemoryTokens, 0)
	l.EventGaps = max(l.EventGaps-m.EventGaps, 0)
	l.EventGapSum = max(l.EventGapSum-m.EventGapSum, 0)
	l.SpeedSamples = max(l.SpeedSamples-m.SpeedSamples, 0)
	l.LogSpeedSum = max(l.LogSpeedSum-m.LogSpeedSum, 0)
	l.Wanted = max(l.Wanted-m.Wanted, 0)
	return l
}

// Empty reports whether the load says nothing about the target.
func (l Load) Empty() bool {
	return l.Running == 0 && l.PrefillTokens == 0 && l.EventGaps == 0 && l.SpeedSamples == 0 && !l.LimitKnown && l.Wanted == 0
}

// MeanEventGap returns the mean recent gap between events; 0 if there were too few.
func (l Load) MeanEventGap() time.Duration {
	if l.EventGaps < minGapEvents {
		return 0
	}
	return time.Duration(float64(l.EventGapSum) / l.EventGaps)
}

// changedFrom reports whether peers should get this load after the last one.
// EventGapSum and LogSpeedSum are not compared, since they change only together with
// the counts, and neither is LimitAge, which always changes.
func (l Load) changedFrom(last Load) bool {
	l.EventGapSum, l.LogSpeedSum, l.LimitAge = last.EventGapSum, last.LogSpeedSum, last.LimitAge
	if math.Abs(l.Wanted-last.Wanted) < wantedResolution*max(last.Wanted, 1) && (l.Wanted == 0) == (last.Wanted == 0) {
		l.Wanted = last.Wanted
	}
	return l != last
}

// addRequest adds a request of this daemon.
func (t *target) addRequest(r *placedRequest) {
	t.running[r.request.ID] = r
	t.pending = append(t.pending, r)
	t.ownLoad = t.ownLoad.Add(r.load())
}

// markAnswered records the first event of a request of this daemon.
func (t *target) markAnswered(r *placedRequest) {
	if r.answered {
		return
	}
	t.ownLoad = t.ownLoad.Sub(Load{PrefillTokens: r.uncachedTokens})
	r.answered = true
	t.pending = slices.DeleteFunc(t.pending, func(p *placedRequest) bool { return p == r })
}

// removeRequest removes a request of this daemon.
func (t *target) removeRequest(r *placedRequest) {
	t.setStalled(r, false)
	t.ownLoad = t.ownLoad.Sub(r.load())
	t.pending = slices.DeleteFunc(t.pending, func(p *placedRequest) bool { return p == r })
	delete(t.running, r.request.ID)
}

// setStalled records whether a request of this daemon waits for a silent target.
func (t *target) setStalled(r *placedRequest, stalled bool) {
	if r.stalled == stalled {
		return
	}
	r.stalled = stalled
	if stalled {
		t.stalledRequests++
	} else {
		t.stalledRequests--
	}
}

// load returns what the request contributes to the load of the target.
func (r *placedRequest) load() Load {
	l := Load{Running: 1, MemoryTokens: r.request.memoryTokens()}
	if !r.answered {
		l.PrefillTokens = r.uncachedTokens
	}
	return l
}

// setPeerLoad replaces the load of a peer.
func (t *target) setPeerLoad(now time.Duration, peer string, l Load) {
	t.removePeerLoad(peer)
	if !l.Empty() {
		t.peerLoads[peer] = peerLoad{load: l, time: now}
		t.peerTotal = t.peerTotal.Add(l)
	}
	weight := 1 - math.Exp(-float64(now-t.peersReported)/float64(peerRunningTimeConstant))
	t.meanPeerRunning += weight * (float64(t.peerTotal.Running) - t.meanPeerRunning)
	t.peersReported = now
	t.updatePrefillSpeed(now)
}

func (t *target) removePeerLoad(peer string) {
	if p, ok := t.peerLoads[peer]; ok {
		delete(t.peerLoads, peer)
		t.peerTotal = t.peerTotal.Sub(p.load)
		if len(t.peerLoads) == 0 {
			t.peerTotal = Load{} // discards the remainder of rounding
		}
	}
}

// expirePeerLoads drops the loads of peers that have not reported for peerLoadTTL.
func (t *target) expirePeerLoads(now time.Duration) {
	for name, p := range t.peerLoads {
		if now-p.time > peerLoadTTL {
			t.removePeerLoad(name)
		}
	}
}

// ownLoadAt returns the load of this daemon, less the tokens that the engine is
// expected to have prefilled by now.
func (t *target) ownLoadAt(now time.Duration) Load {
	l := t.ownLoad
	l.PrefillTokens = max(l.PrefillTokens-t.prefillProgress(now), 0)
	if t.engine != nil {
		events, elapsed := t.engine.eventGaps.rounded(now)
		l.EventGaps, l.EventGapSum = events, time.Duration(elapsed)
		l.SpeedSamples, l.LogSpeedSum = t.engine.speedSamples.rounded(now)
	}
	return l
}

// updatePrefillSpeed estimates the prefill speed from the samples of this daemon and
// its peers.
func (t *target) updatePrefillSpeed(now time.Duration) {
	if t.engine == nil {
		return
	}
	samples, logSpeed := t.engine.speedSamples.rounded(now)
	t.engine.setPrefillSpeed(samples+t.peerTotal.SpeedSamples, logSpeed+t.peerTotal.LogSpeedSum)
}

// totalLoadAt returns the load of all daemons.
func (t *target) totalLoadAt(now time.Duration) Load { return t.ownLoadAt(now).Add(t.peerTotal) }

// prefillProgress returns the number of tokens that the engine is expected to have
// prefilled of the oldest request without a first event.
func (t *target) prefillProgress(now time.Duration) float64 {
	if t.engine == nil || len(t.pending) == 0 {
		return 0
	}
	oldest := t.pending[0]
	since := max(oldest.started, t.engine.lastFirstEvent)
	return min(oldest.uncachedTokens*maxPrefillProgress, t.engine.prefillSpeed*float64(now-since)/float64(time.Millisecond))
}

// recordServiceTime adds an answer time of a plain service to the mean.
func (t *target) recordServiceTime(latency time.Duration) {
	if t.serviceTime == 0 {
		t.serviceTime = latency
		return
	}
	t.serviceTime += time.Duration(serviceTimeWeight * float64(latency-t.serviceTime))
}
