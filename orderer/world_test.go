package orderer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	tick         = 50 * time.Millisecond
	faultTime    = 30 * time.Second
	recoveryTime = 120 * time.Second
	rate         = 2.0 // loads per second of the weight store
)

// call is an action in flight: it takes effect at dueAt, and its reply arrives at
// replyAt.
type call struct {
	action         Action
	reply          Reply
	dueAt, replyAt time.Duration
	executed       bool
}

// node is one daemon. While it is paused, it does nothing and its calls wait.
type node struct {
	id          string
	core        *Orderer
	calls       []*call
	pausedUntil time.Duration
	staleUntil  time.Duration // before, its view of the owners is out of date
	targets     []Target
}

// fakeEngine simulates a model engine.
type fakeEngine struct {
	target      Target
	refuses     bool
	fence       uint64
	models      map[string]time.Duration // by model, when loaded
	newestRaise int                      // index in world.raises of the newest executed order
}

// world simulates nodes, engines and a table in virtual time.
type world struct {
	now              time.Duration
	random           *rand.Rand
	nodes            []*node
	engines          []*fakeEngine
	owner            []int // index into nodes, by engine
	rows             map[string]Row
	raises           map[string][]Record // by target, every raise that took effect
	delayedRaises    []*call             // reported as failed before they take effect
	tableOutageUntil time.Duration
	faultyUntil      time.Duration // before, calls may fail
	sendTimes        []time.Duration
	failure          error
	mutant           mutant
}

// mutant is a variant of the owners or engines that breaks one rule. Its zero
// value breaks none.
type mutant struct {
	step            func(n *node)
	execute         func(w *world, c *call) bool // reports whether it replaced the call
	owners          int
	ignoresDeadline bool // orders are sent without the check of Sendable
	acceptsOldFence bool // engines accept fencing numbers that they claim to refuse
}

func newWorld(seed uint64, refuses []bool, m mutant) *world {
	m.owners = cmp.Or(m.owners, 3)
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), rows: map[string]Row{}, raises: map[string][]Record{}, mutant: m, faultyUntil: faultTime}
	for i := range 3 {
		id := fmt.Sprintf("d%d", i)
		w.nodes = append(w.nodes, &node{id: id, core: New(Settings{Owner: id, LoadsPerSecond: rate})})
	}
	for i, r := range refuses {
		t := Target{ID: fmt.Sprintf("e%d", i), Models: []string{"a", "b"}}
		w.engines = append(w.engines, &fakeEngine{target: t, refuses: r, models: map[string]time.Duration{}})
		w.owner = append(w.owner, i%3)
	}
	return w
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) delay(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// run simulates a period with faults and one without, and returns the first
// violation.
func (w *world) run() error {
	for ; w.now < faultTime+recoveryTime && w.failure == nil; w.now += tick {
		if w.now < faultTime {
			w.injectFaults()
		}
		w.delayedRaises = slices.DeleteFunc(w.delayedRaises, func(c *call) bool {
			if c.dueAt <= w.now {
				w.raise(c.action)
			}
			return c.dueAt <= w.now
		})
		for _, n := range w.nodes {
			if w.now >= n.pausedUntil {
				w.step(n)
			}
		}
	}
	for _, e := range w.engines {
		if w.failure == nil && len(e.modelsWhere(w.now, true)) < 2 {
			w.failure = fmt.Errorf("%s lacks models after the faults ended", e.target.ID)
		}
	}
	for i, first := range w.sendTimes {
		for j, last := range w.sendTimes[i:] {
			if n := float64(j + 1); w.failure == nil && n > rate*(last-first).Seconds()+float64(len(w.nodes))+1e-6 {
				w.failure = fmt.Errorf("%v loads ordered from %v to %v", n, first, last)
			}
		}
	}
	return w.failure
}

func (w *world) injectFaults() {
	if w.chance(0.02) {
		w.nodes[w.random.IntN(3)].pausedUntil = w.now + w.delay(8*time.Second)
	}
	if w.chance(0.04) { // a takeover that the former owner may notice late
		i := w.random.IntN(len(w.owner))
		w.nodes[w.owner[i]].staleUntil = w.now + w.delay(8*time.Second)
		w.owner[i] = w.random.IntN(3)
	}
	if w.chance(0.01) {
		w.tableOutageUntil = w.now + w.delay(5*time.Second)
	}
	for _, n := range w.nodes { // a pause between the decision and the sending of an order
		for _, c := range n.calls {
			if c.action.Kind == ActionSendOrder && !c.executed && w.chance(0.1) {
				n.pausedUntil = w.now + 4*time.Second + w.delay(4*time.Second)
				w.owner[w.index(c.action)] = w.random.IntN(3)
			}
		}
	}
	if e := w.engines[w.random.IntN(len(w.engines))]; w.chance(0.05) { // an engine loses its models
		clear(e.models)
	}
}

// step makes a node execute the calls that are due, then handle replies and make
// new calls.
func (w *world) step(n *node) {
	if w.now >= n.staleUntil || n.targets == nil {
		n.targets = []Target{}
		for i, e := range w.engines {
			if w.nodes[w.owner[i]] == n {
				n.targets = append(n.targets, e.target)
			}
		}
	}
	for _, c := range n.calls {
		if !c.executed && c.dueAt <= w.now {
			c.executed = true
			w.execute(c)
		}
	}
	n.calls = slices.DeleteFunc(n.calls, func(c *call) bool {
		if c.executed && c.replyAt <= w.now {
			n.core.Handle(w.now, c.reply)
			return true
		}
		return false
	})
	n.core.SetOwned(w.now, Ownership{RenewedAt: w.now, Targets: n.targets, Owners: w.mutant.owners, Rank: slices.Index(w.nodes, n)})
	if w.mutant.step != nil {
		w.mutant.step(n)
	}
	actions, _ := n.core.Actions(w.now)
	for _, a := range actions {
		if a.Kind == ActionSendOrder {
			w.sendTimes = append(w.sendTimes, w.now)
		}
		due := w.now + w.delay(2*tick)
		n.calls = append(n.calls, &call{action: a, dueAt: due, replyAt: due + w.delay(4*tick), reply: Reply{Target: a.Target.ID, CallID: a.CallID}})
	}
}

// execute carries out a call. The call, its reply or both may be lost.
func (w *world) execute(c *call) {
	lost := w.now < w.faultyUntil && w.chance(0.1)
	if w.now < w.faultyUntil && w.chance(0.1) || c.action.Kind != ActionSendOrder && c.action.Kind != ActionReadState && w.now < w.tableOutageUntil {
		if c.action.Kind == ActionRaiseFence && w.chance(0.5) {
			w.delayedRaises = append(w.delayedRaises, &call{action: c.action, dueAt: w.now + w.delay(3*time.Second)})
		}
		c.reply.Result = ResultFailed
		return
	}
	if w.mutant.execute == nil || !w.mutant.execute(w, c) {
		w.perform(c)
	}
	if lost {
		c.reply = Reply{Target: c.reply.Target, CallID: c.reply.CallID, Result: ResultFailed}
	}
}

func (w *world) index(a Action) int {
	return slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.target.ID == a.Target.ID })
}

func (w *world) perform(c *call) {
	e := w.engines[w.index(c.action)]
	switch c.action.Kind {
	case ActionReadState:
		c.reply.State = State{Models: e.modelsWhere(w.now, true), Loading: e.modelsWhere(w.now, false), Fence: e.fence, RefusesOldFence: e.refuses}
	case ActionReadRow:
		c.reply.Row = w.rows[e.target.ID]
	case ActionRaiseFence:
		c.reply.Result = w.raise(c.action)
	case ActionSendOrder:
		c.reply.Result = ResultFailed
		if c.action.Sendable(w.now) || w.mutant.ignoresDeadline {
			c.reply.Result = w.executeOrder(e, c.action.Record)
		}
	}
}

func (w *world) raise(a Action) Result {
	if w.rows[a.Target.ID].Revision != a.Revision {
		return ResultFailed
	}
	w.rows[a.Target.ID] = Row{Record: a.Record, Revision: a.Revision + 1}
	w.raises[a.Target.ID] = append(w.raises[a.Target.ID], a.Record)
	return ResultDone
}

// executeOrder passes an order to an engine and checks that no engine executes an
// order of one owner after that of an owner that raised the fencing number later.
// A load takes a second and may fail.
func (w *world) executeOrder(e *fakeEngine, r Record) Result {
	if e.refuses && r.Fence < e.fence && !w.mutant.acceptsOldFence {
		return ResultRefused
	}
	e.fence = max(e.fence, r.Fence)
	at := slices.Index(w.raises[e.target.ID], r)
	if at < e.newestRaise {
		w.failure = fmt.Errorf("%v: %s executed %+v (raise %d) after raise %d", w.now, e.target.ID, r, at, e.newestRaise)
	}
	e.newestRaise = at
	if _, known := e.models[r.Model]; !known && !(w.now < w.faultyUntil && w.chance(0.3)) {
		e.models[r.Model] = w.now + time.Second
	}
	return ResultDone
}

func (e *fakeEngine) modelsWhere(now time.Duration, ready bool) []string {
	var out []string
	for m, at := range e.models {
		if (now >= at) == ready {
			out = append(out, m)
		}
	}
	return out
}
