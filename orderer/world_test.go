package orderer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	tick      = 50 * time.Millisecond
	faultTime = 30 * time.Second
	healTime  = 120 * time.Second
	rate      = 2.0 // loads per second of the weight store
)

// call is an action on its way: it is executed at due and answered at back.
type call struct {
	action    Action
	reply     Reply
	due, back time.Duration
	executed  bool
}

// node is one daemon; while paused it does nothing and its calls wait.
type node struct {
	id      string
	core    *Orderer
	calls   []*call
	paused  time.Duration // until
	learns  time.Duration // until then, its view of the owners is old
	targets []Target
}

// machine is a model engine.
type machine struct {
	target  Target
	refuses bool
	fence   uint64
	models  map[string]time.Duration // when loaded
	newest  int                      // place in log of the newest obeyed order
}

// world runs nodes, engines and a table in virtual time.
type world struct {
	now      time.Duration
	random   *rand.Rand
	nodes    []*node
	machines []*machine
	owner    []int // by machine
	rows     map[string]Row
	log      map[string][]Record // by target, every raise that took effect
	late     []*call             // raises whose answer was lost before they took effect
	outage   time.Duration
	faulty   time.Duration // calls fail until then
	sends    []time.Duration
	failure  error
	mutant   mutant
}

// mutant breaks one rule of the owners or engines; nil functions break none.
type mutant struct {
	step    func(n *node)
	execute func(w *world, c *call) bool // true: done
	owners  int
	late    bool // sends without the last check of the lease
	obeys   bool // engines obey numbers that they claim to refuse
}

func newWorld(seed uint64, refuses []bool, m mutant) *world {
	m.owners = cmp.Or(m.owners, 3)
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), rows: map[string]Row{}, log: map[string][]Record{}, mutant: m, faulty: faultTime}
	for i := range 3 {
		id := fmt.Sprintf("d%d", i)
		w.nodes = append(w.nodes, &node{id: id, core: New(Settings{Owner: id, LoadsPerSecond: rate})})
	}
	for i, r := range refuses {
		t := Target{ID: fmt.Sprintf("e%d", i), Models: []string{"a", "b"}}
		w.machines = append(w.machines, &machine{target: t, refuses: r, models: map[string]time.Duration{}})
		w.owner = append(w.owner, i%3)
	}
	return w
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) delay(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

// run lets faults happen, heals them and returns the first violation.
func (w *world) run() error {
	for ; w.now < faultTime+healTime && w.failure == nil; w.now += tick {
		if w.now < faultTime {
			w.disturb()
		}
		w.late = slices.DeleteFunc(w.late, func(c *call) bool {
			if c.due <= w.now {
				w.raise(c.action)
			}
			return c.due <= w.now
		})
		for _, n := range w.nodes {
			if w.now >= n.paused {
				w.step(n)
			}
		}
	}
	for _, e := range w.machines {
		if w.failure == nil && len(e.loaded(w.now, true)) < 2 {
			w.failure = fmt.Errorf("%s lacks models after the faults ended", e.target.ID)
		}
	}
	for i, first := range w.sends {
		for j, last := range w.sends[i:] {
			if n := float64(j + 1); w.failure == nil && n > rate*(last-first).Seconds()+float64(len(w.nodes))+1e-6 {
				w.failure = fmt.Errorf("%v loads ordered from %v to %v", n, first, last)
			}
		}
	}
	return w.failure
}

func (w *world) disturb() {
	if w.chance(0.02) {
		w.nodes[w.random.IntN(3)].paused = w.now + w.delay(8*time.Second)
	}
	if w.chance(0.04) { // a takeover; the former owner may learn of it late
		i := w.random.IntN(len(w.owner))
		w.nodes[w.owner[i]].learns = w.now + w.delay(8*time.Second)
		w.owner[i] = w.random.IntN(3)
	}
	if w.chance(0.01) {
		w.outage = w.now + w.delay(5*time.Second)
	}
	for _, n := range w.nodes { // a pause between the decision and the sending
		for _, c := range n.calls {
			if c.action.Kind == ActionSend && !c.executed && w.chance(0.1) {
				n.paused = w.now + 4*time.Second + w.delay(4*time.Second)
				w.owner[w.index(c.action)] = w.random.IntN(3)
			}
		}
	}
	if e := w.machines[w.random.IntN(len(w.machines))]; w.chance(0.05) { // a loss of models
		clear(e.models)
	}
}

// step lets a node execute calls that were made before a pause, then take
// replies and make new calls.
func (w *world) step(n *node) {
	if w.now >= n.learns || n.targets == nil {
		n.targets = []Target{}
		for i, e := range w.machines {
			if w.nodes[w.owner[i]] == n {
				n.targets = append(n.targets, e.target)
			}
		}
	}
	for _, c := range n.calls {
		if !c.executed && c.due <= w.now {
			c.executed = true
			w.execute(c)
		}
	}
	n.calls = slices.DeleteFunc(n.calls, func(c *call) bool {
		if c.executed && c.back <= w.now {
			n.core.Handle(w.now, c.reply)
			return true
		}
		return false
	})
	n.core.SetOwned(w.now, Ownership{Renewed: w.now, Targets: n.targets, Owners: w.mutant.owners, Rank: slices.Index(w.nodes, n)})
	if w.mutant.step != nil {
		w.mutant.step(n)
	}
	actions, _ := n.core.Actions(w.now)
	for _, a := range actions {
		if a.Kind == ActionSend {
			w.sends = append(w.sends, w.now)
		}
		due := w.now + w.delay(2*tick)
		n.calls = append(n.calls, &call{action: a, due: due, back: due + w.delay(4*tick), reply: Reply{Target: a.Target.ID, Call: a.Call}})
	}
}

// execute makes a call; answers, calls and both may be lost.
func (w *world) execute(c *call) {
	lost := w.now < w.faulty && w.chance(0.1)
	if w.now < w.faulty && w.chance(0.1) || c.action.Kind != ActionSend && c.action.Kind != ActionReadState && w.now < w.outage {
		if c.action.Kind == ActionRaise && w.chance(0.5) {
			w.late = append(w.late, &call{action: c.action, due: w.now + w.delay(3*time.Second)})
		}
		c.reply.Result = ResultFailed
		return
	}
	if w.mutant.execute == nil || !w.mutant.execute(w, c) {
		w.perform(c)
	}
	if lost {
		c.reply = Reply{Target: c.reply.Target, Call: c.reply.Call, Result: ResultFailed}
	}
}

func (w *world) index(a Action) int {
	return slices.IndexFunc(w.machines, func(e *machine) bool { return e.target.ID == a.Target.ID })
}

func (w *world) perform(c *call) {
	e := w.machines[w.index(c.action)]
	switch c.action.Kind {
	case ActionReadState:
		c.reply.State = State{Models: e.loaded(w.now, true), Loading: e.loaded(w.now, false), Fence: e.fence, RefusesOldFence: e.refuses}
	case ActionReadRow:
		c.reply.Row = w.rows[e.target.ID]
	case ActionRaise:
		c.reply.Result = w.raise(c.action)
	case ActionSend:
		c.reply.Result = ResultFailed
		if c.action.Sendable(w.now) || w.mutant.late {
			c.reply.Result = w.obey(e, c.action.Record)
		}
	}
}

func (w *world) raise(a Action) Result {
	if w.rows[a.Target.ID].Revision != a.Revision {
		return ResultFailed
	}
	w.rows[a.Target.ID] = Row{Record: a.Record, Revision: a.Revision + 1}
	w.log[a.Target.ID] = append(w.log[a.Target.ID], a.Record)
	return ResultDone
}

// obey lets an engine take an order and checks that no engine obeys an owner
// after one that raised the number later. A load takes a second and may fail.
func (w *world) obey(e *machine, r Record) Result {
	if e.refuses && r.Fence < e.fence && !w.mutant.obeys {
		return ResultRefused
	}
	e.fence = max(e.fence, r.Fence)
	at := slices.Index(w.log[e.target.ID], r)
	if at < e.newest {
		w.failure = fmt.Errorf("%v: %s obeyed %+v (raise %d) after raise %d", w.now, e.target.ID, r, at, e.newest)
	}
	e.newest = at
	if _, known := e.models[r.Model]; !known && !(w.now < w.faulty && w.chance(0.3)) {
		e.models[r.Model] = w.now + time.Second
	}
	return ResultDone
}

func (e *machine) loaded(now time.Duration, ready bool) []string {
	var out []string
	for m, at := range e.models {
		if (now >= at) == ready {
			out = append(out, m)
		}
	}
	return out
}
