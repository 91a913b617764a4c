package scheduler_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
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
	keepDemand
)

type client struct {
	name         string
	weight, cost float64
	// bias is the mean of actual over estimated cost.
	bias   float64
	shards []int
}

// load describes one run of the model.
type load struct {
	seed                            int64
	shards, targets, limit, routers int
	clients                         []client
	loss, duplicate                 float64
	delay                           time.Duration
	length                          time.Duration
	// finite is the number of requests per router and client; 0 keeps 8 waiting throughout.
	finite int
	// ownerLoss replaces the owner of shard 0, routerLoss stops router 0 and partition
	// separates the first half of the shards and routers from the rest, in mid-run.
	ownerLoss, routerLoss, partition bool
	variant                          variant
}

type outcome struct {
	// gap and wait are the largest gap and time without service, relative to their limits.
	gap, wait float64
	// idle is the longest time for which a slot was free while requests waited for it.
	idle time.Duration
	// over counts requests beyond a target's limit, unused grants that found an empty queue,
	// wasted grants to a stopped router and leaked the slots and demands left at the end.
	over, unused, leaked, wasted int
}

type runKey struct {
	shard int
	epoch uint64
	id    uint64
}

type run struct {
	client     int
	target     string
	cost       float64
	guess      float64
	start, end time.Duration
}

type router struct {
	name    string
	dead    bool
	epochs  []uint64
	seen    []map[int]uint64
	known   map[runKey]bool
	running map[runKey]*run
	queue   []int
	again   map[int]map[uint64][]scheduler.Settlement
}

type message struct {
	at time.Duration
	do func()
}

// fleet is a model of routers, shard owners and aggregators.
type fleet struct {
	load
	random     *rand.Rand
	now        time.Duration
	owners     []*scheduler.Scheduler
	epochs     []uint64
	routers    []*router
	aggregates [2]*aggregator.Aggregator
	messages   []message
	waiting    bool
	cut        bool
	received   []float64
	served     []time.Duration
	held, peak []int
	largest    []float64
	busy       map[string]int
	idleSince  []time.Duration
	out        outcome
}

func newFleet(l load) *fleet {
	f := &fleet{
		load: l, random: rand.New(rand.NewSource(l.seed)), waiting: true, busy: map[string]int{},
		received: make([]float64, len(l.clients)), served: make([]time.Duration, len(l.clients)),
		held: make([]int, len(l.clients)), peak: make([]int, len(l.clients)),
		largest: make([]float64, len(l.clients)), idleSince: make([]time.Duration, l.shards),
		owners: make([]*scheduler.Scheduler, l.shards), epochs: make([]uint64, l.shards),
		aggregates: [2]*aggregator.Aggregator{aggregator.New(), aggregator.New()},
	}
	for i := range l.routers {
		r := &router{name: fmt.Sprintf("r%d", i), known: map[runKey]bool{}, running: map[runKey]*run{}}
		r.epochs, r.seen = make([]uint64, l.shards), make([]map[int]uint64, l.shards)
		r.again = map[int]map[uint64][]scheduler.Settlement{}
		for range l.clients {
			r.queue = append(r.queue, max(l.finite, 1)+7*max(0, 1-l.finite))
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
	if f.variant == noLease {
		s.Lease = time.Hour
	}
	f.owners[i] = scheduler.New(s)
	var targets []scheduler.Target
	for t := range f.targets {
		targets = append(targets, scheduler.Target{ID: fmt.Sprintf("s%dt%d", i, t), Limit: f.limit})
	}
	f.owners[i].SetTargets(f.now, targets)
	f.setMembers(i)
	for _, r := range f.routers {
		r.epochs[i], r.seen[i] = f.epochs[i], map[int]uint64{}
		f.report(r, i)
	}
}

func (f *fleet) setMembers(i int) {
	var names []string
	for _, r := range f.routers {
		if !r.dead || f.variant == keepDemand {
			names = append(names, r.name)
		}
	}
	f.owners[i].SetMembers(f.now, names)
}

// side is the partition that the i-th of n participants belongs to.
func side(i, n int) int { return 2 * i / max(n, 2) }

// send delivers a message between a router or aggregator and a shard: late, out of order,
// twice or not at all.
func (f *fleet) send(from, to int, do func()) {
	if f.cut && from != to {
		return
	}
	for range 2 {
		if f.random.Float64() >= f.loss {
			late := step + time.Duration(f.random.Int63n(int64(f.delay)))
			f.messages = append(f.messages, message{f.now + late, do})
		}
		if f.random.Float64() >= f.duplicate {
			return
		}
	}
}

func (f *fleet) toOwner(r *router, i int, do func(s *scheduler.Scheduler)) {
	f.send(side(f.index(r), len(f.routers)), side(i, f.shards), func() { do(f.owners[i]) })
}

func (f *fleet) index(r *router) int {
	for i := range f.routers {
		if f.routers[i] == r {
			return i
		}
	}
	return -1
}

// report sends demand, holdings and the settlements since the last report, again.
func (f *fleet) report(r *router, i int) {
	if r.dead {
		return
	}
	epochs := map[uint64][]scheduler.Holding{f.epochs[i]: nil}
	for k, x := range r.running {
		if k.shard == i {
			done := x.cost * min(1, float64(f.now-x.start)/float64(x.end-x.start))
			epochs[k.epoch] = append(epochs[k.epoch], scheduler.Holding{
				ID: k.id, Account: f.clients[x.client].name, Target: x.target, Cost: done,
			})
		}
	}
	for _, e := range slices.Sorted(maps.Keys(epochs)) {
		f.toOwner(r, i, func(s *scheduler.Scheduler) { s.SetHoldings(f.now, r.name, e, epochs[e]) })
	}
	for _, e := range slices.Sorted(maps.Keys(r.again[i])) {
		settlements, loss := r.again[i][e], f.loss
		f.loss = 0 // The cost of a request whose settlement is lost for good cannot be charged.
		f.toOwner(r, i, func(s *scheduler.Scheduler) { s.Settle(f.now, r.name, e, settlements) })
		f.loss = loss
	}
	delete(r.again, i)
	for c := range f.clients {
		f.demand(r, i, c)
	}
}

func (f *fleet) demand(r *router, i, c int) {
	k := f.clients[c]
	for _, reach := range k.shards {
		if reach != i {
			continue
		}
		d := scheduler.Demand{Account: k.name, Weight: k.weight, Estimate: k.cost, Seen: r.seen[i][c]}
		if f.waiting {
			d.Waiting = r.queue[c]
		}
		f.toOwner(r, i, func(s *scheduler.Scheduler) {
			switch f.variant {
			case seenAll:
				d.Seen = s.LastID()
			case seenNone:
				d.Seen = 0
			}
			s.SetDemand(f.now, r.name, []scheduler.Demand{d})
		})
	}
}

func (f *fleet) grant(r *router, k runKey, g scheduler.Grant) {
	if r.dead || r.known[k] || k.epoch != r.epochs[k.shard] {
		return
	}
	r.known[k] = true
	c := f.client(g.Account)
	r.seen[k.shard][c] = max(r.seen[k.shard][c], g.ID)
	if !f.waiting || r.queue[c] == 0 {
		f.out.unused++
		f.settle(r, k, scheduler.Settlement{ID: k.id, Account: g.Account, Target: g.Target}, 0)
		return
	}
	if f.finite > 0 {
		r.queue[c]--
	}
	cost := max(1, g.Estimate*f.clients[c].bias*(0.5+f.random.Float64()))
	end := f.now + time.Duration(cost/speed*float64(time.Second))
	r.running[k] = &run{c, g.Target, cost, g.Estimate, f.now, end}
	f.largest[c] = max(f.largest[c], cost, g.Estimate)
	f.served[c] = f.now
	f.held[c]++
	f.peak[c] = max(f.peak[c], f.held[c])
	f.busy[g.Target]++
	if f.busy[g.Target] > f.limit {
		f.out.over++
	}
	f.demand(r, k.shard, c)
}

func (f *fleet) client(name string) int {
	for c := range f.clients {
		if f.clients[c].name == name {
			return c
		}
	}
	return -1
}

func (f *fleet) settle(r *router, k runKey, e scheduler.Settlement, guess float64) {
	if f.variant == noRefunds {
		e.Cost = max(e.Cost, guess)
	}
	if r.again[k.shard] == nil {
		r.again[k.shard] = map[uint64][]scheduler.Settlement{}
	}
	r.again[k.shard][k.epoch] = append(r.again[k.shard][k.epoch], e)
	f.toOwner(r, k.shard, func(s *scheduler.Scheduler) {
		s.Settle(f.now, r.name, k.epoch, []scheduler.Settlement{e})
		if f.variant == doubleFree {
			s.FreeSlot(e.Target)
		}
	})
}
