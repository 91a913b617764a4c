package scheduler_test

import (
	"math/rand"
	"sort"
	"strconv"
	"time"

	"monsoondeck.example/scheduler"
	"monsoondeck.example/scheduler/aggregator"
)

const (
	step     = 10 * time.Millisecond
	exchange = 500 * time.Millisecond
	refresh  = time.Second
	speed    = 50.0 // units per second and slot
)

// variant breaks one rule of the scheduler or of its use.
type variant int

const (
	intact variant = iota
	noCharges
	noTotals
	noRefunds
	noLease
	doubleFree
	seenAll
	seenNone
	keepMembers
	noCap
)

// client is an account; bias is the mean of actual over estimated cost.
type client struct {
	weight, cost, bias float64
	shards             []int
}

// load describes one run of the model.
type load struct {
	seed                            int64
	shards, targets, limit, routers int
	clients                         []client
	loss, duplicate                 float64
	delay, length                   time.Duration
	// finite is the number of requests per router and client; 0 keeps 8 waiting throughout.
	finite int
	// In the middle third, ownerLoss replaces the owner of shard 0, routerLoss stops router
	// 0 and partition separates the first half of the shards and routers from the rest.
	ownerLoss, routerLoss, partition bool
	variant                          variant
}

// outcome is what a run shows. gap and wait are the largest gap and time without service,
// relative to their limits, units is the largest gap in units per weight, and idle is the longest time for which a slot was free while
// requests waited. over counts requests beyond a target's limit, unused grants that found an
// empty queue, wasted grants to a stopped router and leaked the slots and demands left over.
type outcome struct {
	gap, wait, units             float64
	idle                         time.Duration
	over, unused, wasted, leaked int
}

// request is a granted request at a router.
type request struct {
	shard, client  int
	epoch, id      uint64
	target         string
	cost, estimate float64
	start, end     time.Duration
}

func (x *request) done(now time.Duration) float64 {
	return x.cost * min(1, float64(now-x.start)/float64(x.end-x.start))
}

type router struct {
	index   int
	name    string
	dead    bool
	queue   []int
	seen    [][]uint64
	known   map[[3]uint64]bool
	running []*request
	// ended are the requests settled since the last report, which repeats them.
	ended []*request
}

type message struct {
	at time.Duration
	do func()
}

// fleet is a model of routers, shard owners and aggregators. Messages between them are late,
// overtaken, repeated and lost.
type fleet struct {
	load
	random            *rand.Rand
	now               time.Duration
	owners            []*scheduler.Scheduler
	epochs            []uint64
	routers           []*router
	aggregators       [2]*aggregator.Aggregator
	messages          []message
	waiting, cut      bool
	received, largest []float64
	served, idleSince []time.Duration
	held, peak        []int
	busy              map[string]int
	out               outcome
}

func newFleet(l load) *fleet {
	n := len(l.clients)
	f := &fleet{
		load: l, random: rand.New(rand.NewSource(l.seed)), waiting: true, busy: map[string]int{},
		received: make([]float64, n), largest: make([]float64, n), served: make([]time.Duration, n),
		held: make([]int, n), peak: make([]int, n), idleSince: make([]time.Duration, l.shards),
		owners: make([]*scheduler.Scheduler, l.shards), epochs: make([]uint64, l.shards),
		aggregators: [2]*aggregator.Aggregator{aggregator.New(), aggregator.New()},
	}
	queued := l.finite
	if queued == 0 {
		queued = 8
	}
	for i := range l.routers {
		r := &router{index: i, name: strconv.Itoa(i), known: map[[3]uint64]bool{}, seen: make([][]uint64, l.shards)}
		for range l.clients {
			r.queue = append(r.queue, queued)
		}
		f.routers = append(f.routers, r)
	}
	for i := range f.owners {
		f.newOwner(i)
	}
	return f
}

func (f *fleet) newOwner(i int) {
	f.epochs[i]++
	s := scheduler.Settings{Epoch: f.epochs[i]}
	switch f.variant {
	case noLease:
		s.Lease = time.Hour
	case noCap:
		s.CapSeconds = 1e6
	}
	f.owners[i] = scheduler.New(s)
	var targets []scheduler.Target
	for t := range f.targets {
		targets = append(targets, scheduler.Target{ID: strconv.Itoa(10*i + t), Limit: f.limit})
	}
	f.owners[i].SetTargets(f.now, targets)
	f.setMembers(i)
	for _, r := range f.routers {
		r.seen[i] = make([]uint64, len(f.clients))
		f.report(r, i)
	}
}

func (f *fleet) setMembers(i int) {
	var names []string
	for _, r := range f.routers {
		if !r.dead || f.variant == keepMembers {
			names = append(names, r.name)
		}
	}
	f.owners[i].SetMembers(f.now, names)
}

// send delivers a message between router r and the owner of shard i, unless they are cut off.
func (f *fleet) send(r *router, i int, loss float64, do func(s *scheduler.Scheduler)) {
	if f.cut && 2*r.index/f.load.routers != 2*i/f.shards {
		return
	}
	f.deliver(loss, func() { do(f.owners[i]) })
}

func (f *fleet) deliver(loss float64, do func()) {
	for again := true; again; again = f.random.Float64() < f.duplicate {
		if f.random.Float64() >= loss {
			late := step + time.Duration(f.random.Int63n(int64(f.delay)))
			f.messages = append(f.messages, message{f.now + late, do})
		}
	}
}

// report sends holdings and demand, and repeats the settlements since the last report. The
// repeated settlements are not lost: nothing else tells the cost of a request.
func (f *fleet) report(r *router, i int) {
	if r.dead {
		return
	}
	for e := uint64(1); e <= f.epochs[i]; e++ {
		var holdings []scheduler.Holding
		for _, x := range r.running {
			if x.shard == i && x.epoch == e {
				holdings = append(holdings, scheduler.Holding{ID: x.id, Account: strconv.Itoa(x.client), Target: x.target, Cost: x.done(f.now)})
			}
		}
		f.send(r, i, f.loss, func(s *scheduler.Scheduler) { s.SetHoldings(f.now, r.name, e, holdings) })
	}
	kept := r.ended[:0]
	for _, x := range r.ended {
		if x.shard != i || f.cut {
			kept = append(kept, x)
		} else {
			f.settle(r, x, 0)
		}
	}
	r.ended = kept
	for c := range f.clients {
		f.demand(r, i, c)
	}
}

func (f *fleet) settle(r *router, x *request, loss float64) {
	e := scheduler.Settlement{ID: x.id, Account: strconv.Itoa(x.client), Target: x.target, Cost: x.cost}
	if f.variant == noRefunds {
		e.Cost = max(e.Cost, x.estimate)
	}
	f.send(r, x.shard, loss, func(s *scheduler.Scheduler) {
		s.Settle(f.now, r.name, x.epoch, []scheduler.Settlement{e})
		if f.variant == doubleFree {
			s.FreeSlot(e.Target)
		}
	})
}

func (f *fleet) demand(r *router, i, c int) {
	k := f.clients[c]
	if at := sort.SearchInts(k.shards, i); at == len(k.shards) || k.shards[at] != i {
		return
	}
	d := scheduler.Demand{Account: strconv.Itoa(c), Weight: k.weight, Estimate: k.cost, Seen: r.seen[i][c]}
	if f.waiting {
		d.Waiting = r.queue[c]
	}
	f.send(r, i, f.loss, func(s *scheduler.Scheduler) {
		switch f.variant {
		case seenAll:
			d.Seen = s.LastID()
		case seenNone:
			d.Seen = 0
		}
		s.SetDemand(f.now, r.name, []scheduler.Demand{d})
	})
}

// grant starts a request at its router.
func (f *fleet) grant(r *router, i int, epoch uint64, g scheduler.Grant) {
	key := [3]uint64{uint64(i), epoch, g.ID}
	if r.dead || r.known[key] || epoch != f.epochs[i] {
		return
	}
	r.known[key] = true
	c, _ := strconv.Atoi(g.Account)
	r.seen[i][c] = max(r.seen[i][c], g.ID)
	x := &request{shard: i, client: c, epoch: epoch, id: g.ID, target: g.Target, estimate: g.Estimate, start: f.now}
	if !f.waiting || r.queue[c] == 0 {
		if f.waiting {
			f.out.unused++
		}
		f.settle(r, x, 0)
		return
	}
	if f.finite > 0 {
		r.queue[c]--
	}
	x.cost = max(1, f.clients[c].cost*f.clients[c].bias*(0.5+f.random.Float64()))
	x.end = f.now + time.Duration(x.cost/speed*float64(time.Second))
	r.running = append(r.running, x)
	f.largest[c] = max(f.largest[c], x.cost, g.Estimate)
	f.held[c]++
	f.peak[c] = max(f.peak[c], f.held[c])
	f.busy[g.Target]++
	if f.busy[g.Target] > f.limit {
		f.out.over++
	}
	f.demand(r, i, c)
}
