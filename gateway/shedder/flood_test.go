package shedder_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"monsoondeck.example/gateway/shedder"
)

const (
	// Processor time of a request on a new connection, on a whole core (BenchmarkProcessorTime).
	floodAcceptCost, floodParseCost, floodDecideCost, floodSendCost = 40 * time.Microsecond, 80 * time.Microsecond, 40 * time.Microsecond, 80 * time.Microsecond
	floodEventCost                                                  = 28 * time.Microsecond
	// rawAcceptCost is that of accepting a connection past the runtime, closedCheckCost that of
	// looking whether its caller has closed it, refusalCost that of the answer of a refusal.
	rawAcceptCost, closedCheckCost, refusalCost = 10 * time.Microsecond, 2 * time.Microsecond, 80 * time.Microsecond
	floodRefuseCost                             = rawAcceptCost + closedCheckCost + refusalCost
	floodProbeCost                              = 60 * time.Microsecond
	// floodCollectionCost is the processor time of a garbage collection.
	floodCollectionCost = 6 * time.Millisecond
	// floodEvents is the number of events of a response, floodServeCost its processor time.
	floodEvents    = 23
	floodServeCost = floodAcceptCost + floodParseCost + floodDecideCost + floodSendCost + floodEvents*floodEventCost

	// acceptTurn is the time for which the accept loop may run before the scheduler of the
	// runtime takes the processor from it, rejectionsInARow the connections refused, held or
	// dropped after which it yields of itself, holdInterval its sleep while it holds some.
	acceptTurn, rejectionsInARow, holdInterval = 10 * time.Millisecond, 16, 5 * time.Millisecond
	// maxHeld is the number of connections that a host with 3,075 descriptors holds.
	maxHeld = 153
	// floodPatience is the time after which a caller gives a request up, readPatience the time
	// within which an attempt must be read, connectPatience that for a connection: an opening
	// packet that was dropped is sent again after it, too late.
	floodPatience, readPatience, connectPatience = 4 * time.Second, time.Second, time.Second
	// floodObjective is the time within which an answer must begin to be on time.
	floodObjective = time.Second
	// minPause and maxPause bound the Retry-After of a busy host.
	minPause, maxPause = 50 * time.Millisecond, 400 * time.Millisecond
	// probeInterval is the time between two probes, the second miss of which takes a host out.
	probeInterval, maxMisses = time.Second, 2

	// floodSettled is the time that a host has to adapt, floodWindow the length of the windows
	// that are judged after it, maxBehind how late a host may be.
	floodSettled, floodWindow, maxBehind = 2 * time.Second, 2 * time.Second, 300 * time.Millisecond
	// floodSlot is the time within which processor time can be used for any request of a slot.
	floodSlot = 200 * time.Millisecond
	// floodSlots has one slot more than the duration, for the first event after it.
	floodSlots    = int(floodDuration/floodSlot) + 1
	floodDuration = 16 * time.Second
)

// decision says what a host does with a connection.
type decision int

const (
	keep decision = iota
	refuse
	hold
)

// admission decides on connections as the monitor of the gateway does.
type admission struct {
	shedder *shedder.Shedder
	budget  *shedder.ProcessorBudget
}

func newAdmission(cores float64) *admission {
	return &admission{shedder: shedder.New(0), budget: shedder.NewProcessorBudget(cores)}
}

// record takes the delay of a timer and the processor time that the host has used.
func (a *admission) record(now, delay, used time.Duration) {
	a.shedder.RecordTimerDelay(now, delay)
	a.budget.RecordUse(now, used, delay)
	a.shedder.RecordRefused(a.budget.RefusedShare(now))
}

func (a *admission) decide(now time.Duration) decision {
	if a.budget.Admit(now) {
		return keep
	}
	if !a.budget.MayRefuse(now) {
		return hold
	}
	a.budget.Refuse(now)
	return refuse
}

// floodedHost is a host with one processor, a part of a core, that runs its tasks in the order
// in which they become ready.
type floodedHost struct {
	*timeline
	cores     float64
	tasks     []task
	running   bool
	used      time.Duration
	admission *admission
	// pending is the queue of the kernel, held are the connections that are held. accepting is
	// set while the accept loop has a task or sleeps.
	pending, held []*attempt
	accepting     bool
	// raw is set while the accept loop accepts past the runtime, keepNext once it has decided
	// to keep the next connection.
	raw, keepNext bool
	// misses is the number of probes in a row that were not answered with ready.
	misses  int
	seconds []floodSecond
	// offered is the number of attempts by slot.
	offered [floodSlots]int
}

// task is work that became ready at a time. run is called once the processor gets to it, and
// returns the processor time of the work and what follows.
type task struct {
	ready time.Duration
	run   func(waited time.Duration) (cost time.Duration, then func())
}

// floodSecond counts what happens at a host in a second.
type floodSecond struct {
	offered, read, onTime, late, refused, abandoned, dropped, left int
	// stale counts what was read after its caller had left.
	stale int
	// timely counts the attempts offered in this second that began on time.
	timely int
	// behind is the longest wait for the processor, or of an admitted request for both the
	// queue of the kernel and the processor.
	behind time.Duration
}

func (h *floodedHost) second(at time.Duration) *floodSecond {
	for len(h.seconds) <= int(at/time.Second) {
		h.seconds = append(h.seconds, floodSecond{})
	}
	return &h.seconds[at/time.Second]
}

func (h *floodedHost) recordBehind(d time.Duration) {
	s := h.second(h.now)
	s.behind = max(s.behind, d)
}

// submit makes a task ready.
func (h *floodedHost) submit(run func(waited time.Duration) (time.Duration, func())) {
	h.tasks = append(h.tasks, task{h.now, run})
	h.runNext()
}

// work makes a task with a known cost ready.
func (h *floodedHost) work(cost time.Duration, then func()) {
	h.submit(func(time.Duration) (time.Duration, func()) { return cost, then })
}

func (h *floodedHost) runNext() {
	if h.running || len(h.tasks) == 0 {
		return
	}
	t := h.tasks[0]
	h.tasks = h.tasks[1:]
	h.running = true
	h.recordBehind(h.now - t.ready)
	cost, then := t.run(h.now - t.ready)
	h.used += cost
	h.after(h.elapsed(cost), func() {
		then()
		h.running = false
		h.runNext()
	})
}

// elapsed returns the time that this host needs for some processor time.
func (h *floodedHost) elapsed(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) / h.cores)
}

func (h *floodedHost) start() {
	h.tick()
	h.collect()
}

func (h *floodedHost) tick() {
	h.after(shedder.TimerInterval, func() {
		h.submit(func(waited time.Duration) (time.Duration, func()) {
			return 0, func() {
				h.admission.record(h.now, waited, h.used)
				h.tick()
			}
		})
	})
}

func (h *floodedHost) collect() {
	h.work(floodCollectionCost, func() {})
	h.after(collectionInterval, h.collect)
}

// open lets a connection arrive and reports whether the queue of the kernel has room for it.
func (h *floodedHost) open(a *attempt) bool {
	h.second(h.now).offered++
	h.offered[h.now/floodSlot]++
	if len(h.pending) >= h.maxPending() {
		h.second(h.now).dropped++
		return false
	}
	h.pending = append(h.pending, a)
	h.accept()
	return true
}

// reopen lets the opening packet of an attempt come again, when its caller is about to leave.
func (h *floodedHost) reopen(a *attempt) {
	if len(h.pending) < h.maxPending() {
		a.left = true
		h.pending = append(h.pending, a)
		h.accept()
	}
}

// maxPending returns the length of the queue of the kernel.
func (h *floodedHost) maxPending() int { return shedder.MaxPending(h.cores) }

// accept wakes the accept loop.
func (h *floodedHost) accept() {
	if h.accepting || len(h.pending) == 0 && (h.keepNext || len(h.held) == 0) {
		return // net.Listener.Accept blocks, also if there are held ones after a kept one was dropped
	}
	h.accepting = true
	h.submit(func(time.Duration) (time.Duration, func()) {
		turn := acceptLoopTurn{floodedHost: h}
		turn.run()
		return turn.cost, func() {
			for _, a := range turn.refused {
				h.refuse(a)
			}
			for _, a := range turn.kept {
				h.work(floodParseCost, func() { h.decide(a) })
			}
			h.after(turn.pause, func() {
				h.accepting = false
				h.accept()
			})
		}
	})
}

// acceptLoopTurn is what the accept loop does until it yields, sleeps or has nothing to do.
type acceptLoopTurn struct {
	*floodedHost
	cost, pause   time.Duration
	kept, refused []*attempt
	rejected      int
}

// run follows sheddingListener.Accept of the gateway.
func (t *acceptLoopTurn) run() {
	for t.pause == 0 && t.rejected < rejectionsInARow && t.elapsed(t.cost) < acceptTurn {
		switch {
		case len(t.pending) == 0 && len(t.held) == 0:
			t.raw = false
			return
		case t.keepNext:
			if len(t.pending) == 0 {
				return
			}
			t.acceptNext()
		case len(t.pending) == 0:
			t.raw = true
			t.decideHeld()
		case t.raw || len(t.held) > 0:
			t.raw = true
			t.decidePending()
		default:
			t.acceptNext()
		}
	}
}

func (t *acceptLoopTurn) shed() decision { return t.admission.decide(t.now + t.elapsed(t.cost)) }

// next takes the next connection from the queue of the kernel; nil if its caller has left.
func (t *acceptLoopTurn) next(cost time.Duration) *attempt {
	t.cost += cost + closedCheckCost
	a := t.pending[0]
	t.pending = t.pending[1:]
	if a.left {
		t.dropLeft(a)
		t.rejected++
		return nil
	}
	return a
}

// acceptNext accepts a connection through the runtime.
func (t *acceptLoopTurn) acceptNext() {
	a := t.next(floodAcceptCost)
	if a == nil {
		return
	}
	decided := keep
	if !t.keepNext {
		decided = t.shed()
	}
	t.keepNext = false
	if decided == keep {
		t.kept = append(t.kept, a)
		return
	}
	t.reject(a, decided)
	t.raw = true
}

// decidePending decides on a connection in the queue of the kernel.
func (t *acceptLoopTurn) decidePending() {
	switch decided := t.shed(); {
	case decided == keep:
		t.raw, t.keepNext = false, true
	case decided == hold && len(t.held) >= maxHeld:
		t.pause = holdInterval
	default:
		if a := t.next(rawAcceptCost); a != nil {
			t.reject(a, decided)
		}
	}
}

// decideHeld decides on the newest of the connections that are held.
func (t *acceptLoopTurn) decideHeld() {
	for len(t.held) > 0 && t.held[0].left {
		t.dropHeld(0)
	}
	for len(t.held) > 0 && t.held[len(t.held)-1].left {
		t.dropHeld(len(t.held) - 1)
	}
	t.cost += 2 * closedCheckCost
	if len(t.held) == 0 {
		return
	}
	newest := len(t.held) - 1
	a := t.held[newest]
	switch t.shed() {
	case keep:
		t.held = t.held[:newest]
		t.cost += floodAcceptCost
		t.kept = append(t.kept, a)
		t.raw = false
	case refuse:
		t.held = t.held[:newest]
		t.reject(a, refuse)
	case hold:
		t.pause = holdInterval
	}
}

// reject refuses or holds a connection.
func (t *acceptLoopTurn) reject(a *attempt, d decision) {
	t.rejected++
	if d == hold {
		t.held = append(t.held, a)
		return
	}
	t.cost += refusalCost
	t.refused = append(t.refused, a)
}

func (t *acceptLoopTurn) dropHeld(i int) {
	t.cost += closedCheckCost
	t.dropLeft(t.held[i])
	t.held = append(t.held[:i:i], t.held[i+1:]...)
}

func (h *floodedHost) dropLeft(a *attempt) {
	a.read = true
	h.second(h.now).left++
}

func (h *floodedHost) refuse(a *attempt) {
	h.recordRead(a)
	h.second(h.now).refused++
	if !a.left {
		a.refused()
	}
}

func (h *floodedHost) recordRead(a *attempt) {
	a.read = true
	s := h.second(h.now)
	s.read++
	if a.left {
		s.stale++
	}
}

// decide looks whether the caller is still there, and sends its request to a target.
func (h *floodedHost) decide(a *attempt) {
	h.recordRead(a)
	h.recordBehind(h.now - a.sent)
	h.submit(func(time.Duration) (time.Duration, func()) {
		if a.left {
			return floodDecideCost, func() {}
		}
		return floodDecideCost, func() {
			h.work(floodSendCost, func() { h.after(modelTargetTime, func() { h.respond(a) }) })
		}
	})
}

func (h *floodedHost) respond(a *attempt) {
	h.work(floodEventCost, func() {
		if h.now-a.sent <= floodObjective {
			h.second(h.now).onTime++
			h.second(a.sent).timely++
		} else {
			h.second(h.now).late++
		}
		for i := range floodEvents - 1 {
			h.after(time.Duration(i+1)*modelEventGap, func() { h.work(floodEventCost, func() {}) })
		}
	})
}

// probe asks for the readiness, which must be known before the next probe.
func (h *floodedHost) probe() {
	ready := false
	h.work(floodProbeCost, func() { ready = !h.admission.shedder.Unready(h.now) })
	h.after(probeInterval, func() {
		h.misses++
		if ready {
			h.misses = 0
		}
		h.probe()
	})
}

// flood is a client account whose callers all come to one host of their data centre at a time.
type flood struct {
	timeline
	random *rand.Rand
	hosts  []*floodedHost
	// perSecond is the number of new requests.
	perSecond float64
}

// attempt is one of at most two attempts of a request.
type attempt struct {
	sent       time.Duration
	read, left bool
	// refused is called when the attempt is refused.
	refused func()
}

func newFlood(seed uint64, cores []float64, perSecond float64) *flood {
	f := &flood{random: rand.New(rand.NewPCG(seed, seed)), perSecond: perSecond}
	for _, c := range cores {
		f.hosts = append(f.hosts, &floodedHost{timeline: &f.timeline, cores: c, admission: newAdmission(c)})
	}
	return f
}

func (f *flood) run(duration time.Duration) {
	for _, h := range f.hosts {
		h.start()
		f.after(time.Duration(f.random.Int64N(int64(probeInterval))), h.probe)
	}
	f.request()
	f.runUntil(duration)
	for _, h := range f.hosts {
		h.second(duration) // a host that nobody came to has a row for each second, too
	}
}

func (f *flood) request() {
	deadline := f.now + floodPatience
	h := f.choose(nil)
	f.send(h, deadline, func() {
		if other := f.choose(h); other != nil && f.now < deadline {
			f.send(other, deadline, func() {})
		}
	})
	f.after(time.Duration(f.random.ExpFloat64()/f.perSecond*float64(time.Second)), f.request)
}

// choose returns the first host in rotation apart from one; all are in rotation if fewer than
// half are. It returns nil if there is no other.
func (f *flood) choose(apart *floodedHost) *floodedHost {
	out := 0
	for _, h := range f.hosts {
		if h.misses >= maxMisses {
			out++
		}
	}
	all := 2*(len(f.hosts)-out) < len(f.hosts)
	for _, h := range f.hosts {
		if h != apart && (all || h.misses < maxMisses) {
			return h
		}
	}
	return nil
}

// send sends a request to a host, and calls again when the caller may try another one.
func (f *flood) send(h *floodedHost, deadline time.Duration, again func()) {
	left := (deadline - f.now) / 3
	a := &attempt{sent: f.now, refused: func() {
		pause := minPause + time.Duration(f.random.Int64N(int64(maxPause-minPause)))
		f.after(min(pause, (deadline-f.now)/3), again)
	}}
	if !h.open(a) {
		f.after(connectPatience, func() {
			h.reopen(a)
			again()
		})
		return
	}
	f.after(min(readPatience, left), func() {
		if !a.read {
			a.left = true
			h.second(f.now).abandoned++
			again()
		}
	})
}

// possible returns how many of the requests that are offered in each slot a host can serve if it
// refuses the others. What the refusals of one slot lack of processor time, the next one pays.
func (h *floodedHost) possible() (requests [floodSlots]float64) {
	perSlot := h.cores*float64(floodSlot) - float64(floodSlot)/float64(collectionInterval)*float64(floodCollectionCost)
	debt := 0.0
	for i, offered := range h.offered {
		left := perSlot - debt - float64(offered)*float64(floodRefuseCost)
		debt = max(-left, 0)
		requests[i] = min(max(left, 0)/float64(floodServeCost-floodRefuseCost), float64(offered))
	}
	return requests
}

// check returns the windows in which the host served too little on time or was too far behind.
func (h *floodedHost) check() (faults []string) {
	const perWindow = int(floodWindow / time.Second)
	last := int((floodDuration - floodObjective) / time.Second) // what begins later is not known
	bySlot := h.possible()
	for from := int(floodSettled / time.Second); from+perWindow <= last; from += perWindow {
		var sum floodSecond
		for _, s := range h.seconds[from : from+perWindow] {
			sum.offered += s.offered
			sum.timely += s.timely
			sum.behind = max(sum.behind, s.behind)
		}
		possible := 0.0
		for _, p := range bySlot[from*int(time.Second/floodSlot) : (from+perWindow)*int(time.Second/floodSlot)] {
			possible += p
		}
		if float64(sum.timely) < 0.9*possible {
			faults = append(faults, fmt.Sprintf("host of %.3f cores, from %d s on: %d of %d began on time, want 0.9 of the %.0f that the refusals leave", h.cores, from, sum.timely, sum.offered, possible))
		}
		if sum.behind > maxBehind {
			faults = append(faults, fmt.Sprintf("host of %.3f cores, from %d s on: %v behind, want at most %v", h.cores, from, sum.behind, maxBehind))
		}
	}
	return faults
}

// log prints what happened at each host by second.
func (f *flood) log(t *testing.T) {
	t.Helper()
	for _, h := range f.hosts {
		for i, s := range h.seconds[:floodDuration/time.Second] {
			t.Logf("%.3f cores, second %2d: offered %4d, read %4d (%4d stale), on time %4d, late %4d, refused %4d, abandoned %4d, dropped %4d, left %4d, behind %v",
				h.cores, i, s.offered, s.read, s.stale, s.onTime, s.late, s.refused, s.abandoned, s.dropped, s.left, s.behind.Round(time.Millisecond))
		}
	}
}

// Load: an account floods one host, or three after each other, with 1 to 10 times the requests
// that it can serve. Guards against FAIR: the account gets less than half of its due, because
// the hosts that its callers come to choke on the flood and then stand idle.
func TestFloodedHostsServeOnTimeWhatTheyCan(t *testing.T) {
	for _, cores := range [][]float64{{0.144}, {0.48}, {0.8}, {0.48, 0.144, 0.8}} {
		for _, times := range []float64{1, 2, 3, 5, 10} {
			t.Run(fmt.Sprintf("%v cores, %v times", cores, times), func(t *testing.T) {
				f := newFlood(1, cores, times*cores[0]*float64(time.Second)/float64(floodServeCost))
				f.run(floodDuration)
				if testing.Verbose() {
					f.log(t)
				}
				for _, h := range f.hosts {
					for _, fault := range h.check() {
						t.Error(fault)
					}
				}
			})
		}
	}
}
