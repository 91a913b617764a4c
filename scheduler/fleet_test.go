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
	timeStep           = 10 * time.Millisecond
	exchangeInterval   = 500 * time.Millisecond
	refreshInterval    = time.Second
	unitsPerSlotSecond = 50.0 // units per second and slot
)

// fault selects one rule of the scheduler, or of its use, that the model breaks.
type fault int

const (
	noFault fault = iota
	discardCharges
	ignoreTotals
	skipRefunds
	endlessLease
	freeSlotsTwice
	reportAllSeen
	reportNoneSeen
	keepStoppedMembers
	uncappedDebt
)

// account describes the requests of one account. cost is the estimate in units, bias the mean
// of actual over estimated cost, and shards the sorted indices of the shards it uses.
type account struct {
	weight, cost, bias float64
	shards             []int
}

// load describes one run of the model. loss and duplicate are probabilities per message; delay
// bounds the random message delay and limit is the number of slots per target.
type load struct {
	seed                            int64
	shards, targets, limit, routers int
	accounts                        []account
	loss, duplicate                 float64
	delay, duration                 time.Duration
	// requestsPerQueue is the number of requests per router and account; 0 keeps 8 waiting
	// throughout.
	requestsPerQueue int
	// After the first third of the run, ownerLoss replaces the owner of shard 0 and routerLoss
	// stops router 0. During the middle third, partition separates the first half of the shards
	// and routers from the rest.
	ownerLoss, routerLoss, partition bool
	fault                            fault
}

// outcome holds the measurements of a run. gapRatio and waitRatio are the largest fairness gap
// and the longest time without service, each divided by its limit; gapUnits is the largest gap
// in units per weight. longestIdle is the longest time for which a shard had a free slot while
// requests waited. overLimit counts requests started beyond a target's limit, unused the grants
// that arrived at an empty queue, grantsToStopped the grants issued to a stopped router, and
// leaked the slots, grants and demand entries left after the fleet became idle.
type outcome struct {
	gapRatio, waitRatio, gapUnits              float64
	longestIdle                                time.Duration
	overLimit, unused, grantsToStopped, leaked int
}

// request is a granted request at a router.
type request struct {
	shard, account int
	epoch, id      uint64
	target         string
	cost, estimate float64
	start, end     time.Duration
}

func (x *request) usedUnits(now time.Duration) float64 {
	return x.cost * min(1, float64(now-x.start)/float64(x.end-x.start))
}

// router is a model of a fleet member that queues requests and runs the granted ones.
type router struct {
	index   int
	name    string
	stopped bool
	// queue holds the number of waiting requests per account.
	queue []int
	// newestGrants holds the largest grant ID received, per shard and account.
	newestGrants [][]uint64
	// receivedGrants contains the received grants as shard, epoch and grant ID.
	receivedGrants map[[3]uint64]bool
	running        []*request
	// ended lists the requests whose settlement the next report repeats.
	ended []*request
}

// message is a delivery that is due at a point in virtual time.
type message struct {
	arrival time.Duration
	deliver func()
}

// fleet is a model of routers, shard owners and aggregators. Messages between them can be
// delayed, reordered, duplicated and lost. The slices unitsReceived to peakHeld hold one element
// per account, except idleSince, which holds one per shard.
type fleet struct {
	load
	random                       *rand.Rand
	now                          time.Duration
	owners                       []*scheduler.Scheduler
	epochs                       []uint64
	routers                      []*router
	aggregators                  [2]*aggregator.Aggregator
	messages                     []message
	backlogged, partitioned      bool
	unitsReceived, largestCharge []float64
	lastServed, idleSince        []time.Duration
	heldGrants, peakHeld         []int
	inFlight                     map[string]int
	result                       outcome
}

func newFleet(l load) *fleet {
	n := len(l.accounts)
	f := &fleet{
		load: l, random: rand.New(rand.NewSource(l.seed)), backlogged: true, inFlight: map[string]int{},
		unitsReceived: make([]float64, n), largestCharge: make([]float64, n), lastServed: make([]time.Duration, n),
		heldGrants: make([]int, n), peakHeld: make([]int, n), idleSince: make([]time.Duration, l.shards),
		owners: make([]*scheduler.Scheduler, l.shards), epochs: make([]uint64, l.shards),
		aggregators: [2]*aggregator.Aggregator{aggregator.New(), aggregator.New()},
	}
	queued := l.requestsPerQueue
	if queued == 0 {
		queued = 8
	}
	for i := range l.routers {
		r := &router{index: i, name: strconv.Itoa(i), receivedGrants: map[[3]uint64]bool{}, newestGrants: make([][]uint64, l.shards)}
		for range l.accounts {
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
	switch f.fault {
	case endlessLease:
		s.Lease = time.Hour
	case uncappedDebt:
		s.AdjustmentCapSeconds = 1e6
	}
	f.owners[i] = scheduler.New(s)
	var targets []scheduler.Target
	for t := range f.targets {
		targets = append(targets, scheduler.Target{ID: strconv.Itoa(10*i + t), Limit: f.limit})
	}
	f.owners[i].SetTargets(f.now, targets)
	f.setMembers(i)
	for _, r := range f.routers {
		r.newestGrants[i] = make([]uint64, len(f.accounts))
		f.sendReport(r, i)
	}
}

func (f *fleet) setMembers(i int) {
	var names []string
	for _, r := range f.routers {
		if !r.stopped || f.fault == keepStoppedMembers {
			names = append(names, r.name)
		}
	}
	f.owners[i].SetMembers(f.now, names)
}

// send delivers a message from router r to the owner of shard i or back, unless a partition
// separates them.
func (f *fleet) send(r *router, i int, loss float64, do func(s *scheduler.Scheduler)) {
	if f.partitioned && 2*r.index/f.load.routers != 2*i/f.shards {
		return
	}
	f.deliver(loss, func() { do(f.owners[i]) })
}

// deliver schedules a message, with random loss, delay and duplication.
func (f *fleet) deliver(loss float64, do func()) {
	for again := true; again; again = f.random.Float64() < f.duplicate {
		if f.random.Float64() >= loss {
			late := timeStep + time.Duration(f.random.Int63n(int64(f.delay)))
			f.messages = append(f.messages, message{f.now + late, do})
		}
	}
}

// sendReport sends holdings and demand, and repeats the settlements since the last report. The
// repeated settlements are exempt from loss, because no other message carries the cost of a
// request.
func (f *fleet) sendReport(r *router, i int) {
	if r.stopped {
		return
	}
	for e := uint64(1); e <= f.epochs[i]; e++ {
		var holdings []scheduler.Holding
		for _, x := range r.running {
			if x.shard == i && x.epoch == e {
				holdings = append(holdings, scheduler.Holding{ID: x.id, Account: strconv.Itoa(x.account), Target: x.target, Cost: x.usedUnits(f.now)})
			}
		}
		f.send(r, i, f.loss, func(s *scheduler.Scheduler) { s.SetHoldings(f.now, r.name, e, holdings) })
	}
	kept := r.ended[:0]
	for _, x := range r.ended {
		if x.shard != i || f.partitioned {
			kept = append(kept, x)
		} else {
			f.sendSettlement(r, x, 0)
		}
	}
	r.ended = kept
	for c := range f.accounts {
		f.sendDemand(r, i, c)
	}
}

func (f *fleet) sendSettlement(r *router, x *request, loss float64) {
	e := scheduler.Settlement{ID: x.id, Account: strconv.Itoa(x.account), Target: x.target, Cost: x.cost}
	if f.fault == skipRefunds {
		e.Cost = max(e.Cost, x.estimate)
	}
	f.send(r, x.shard, loss, func(s *scheduler.Scheduler) {
		s.Settle(f.now, r.name, x.epoch, []scheduler.Settlement{e})
		if f.fault == freeSlotsTwice {
			s.FreeSlot(e.Target)
		}
	})
}

func (f *fleet) sendDemand(r *router, i, c int) {
	k := f.accounts[c]
	if at := sort.SearchInts(k.shards, i); at == len(k.shards) || k.shards[at] != i {
		return
	}
	d := scheduler.Demand{Account: strconv.Itoa(c), Weight: k.weight, EstimatedUnits: k.cost, NewestGrantID: r.newestGrants[i][c]}
	if f.backlogged {
		d.Waiting = r.queue[c]
	}
	f.send(r, i, f.loss, func(s *scheduler.Scheduler) {
		switch f.fault {
		case reportAllSeen:
			d.NewestGrantID = s.LastID()
		case reportNoneSeen:
			d.NewestGrantID = 0
		}
		s.SetDemand(f.now, r.name, []scheduler.Demand{d})
	})
}

// startRequest handles a grant at its router: it starts a waiting request or, without one,
// returns the grant unused.
func (f *fleet) startRequest(r *router, i int, epoch uint64, g scheduler.Grant) {
	key := [3]uint64{uint64(i), epoch, g.ID}
	if r.stopped || r.receivedGrants[key] || epoch != f.epochs[i] {
		return
	}
	r.receivedGrants[key] = true
	c, _ := strconv.Atoi(g.Account)
	r.newestGrants[i][c] = max(r.newestGrants[i][c], g.ID)
	x := &request{shard: i, account: c, epoch: epoch, id: g.ID, target: g.Target, estimate: g.Estimate, start: f.now}
	if !f.backlogged || r.queue[c] == 0 {
		if f.backlogged {
			f.result.unused++
		}
		f.sendSettlement(r, x, 0)
		return
	}
	if f.requestsPerQueue > 0 {
		r.queue[c]--
	}
	x.cost = max(1, f.accounts[c].cost*f.accounts[c].bias*(0.5+f.random.Float64()))
	x.end = f.now + time.Duration(x.cost/unitsPerSlotSecond*float64(time.Second))
	r.running = append(r.running, x)
	f.largestCharge[c] = max(f.largestCharge[c], x.cost, g.Estimate)
	f.heldGrants[c]++
	f.peakHeld[c] = max(f.peakHeld[c], f.heldGrants[c])
	f.inFlight[g.Target]++
	if f.inFlight[g.Target] > f.limit {
		f.result.overLimit++
	}
	f.sendDemand(r, i, c)
}
