package queuer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/sharer"
)

const (
	// fleetObjective is the objective of all requests of a modelled fleet, fleetPatience the
	// time after which callers leave.
	fleetObjective = time.Second
	fleetPatience  = 4 * time.Second
	// queueInterval is the time between two runs of a queue with waiting requests.
	queueInterval = 20 * time.Millisecond
	// reportInterval is the time after which daemons know the work of the others.
	reportInterval = 500 * time.Millisecond
	// busyRetryAfter is the time after which callers come back that a busy host has refused.
	busyRetryAfter = 200 * time.Millisecond
	// fairWindow is the length of the windows of the users' rule on fair shares, in seconds.
	fairWindow = 6
)

// modelFleet is a fleet without a network: its daemons decide by themselves and learn of
// each other's work by delayed reports, its engines prefill one prompt after the other, and
// refused callers come back once.
type modelFleet struct {
	random   *rand.Rand
	now      time.Duration
	events   modelEvents
	daemons  []*modelDaemon
	engines  map[string]*modelEngine
	accounts []*modelAccount
	lastID   uint64
}

// modelAccount is a client account with the load of its callers.
type modelAccount struct {
	name string
	// perSecond is the number of new requests, hosts the number of daemons that get them.
	perSecond float64
	hosts     []int
	// asked and began hold the cost of the requests and of those that began, refused the
	// number of those that were refused or waited past their objective, by second.
	asked, began []float64
	refused      []int
	largest      []float64
}

type modelDaemon struct {
	fleet  *placer.Fleet
	shares *sharer.Shares
	queue  *queuer.Queue
	// waiting holds the requests in the queue by ID.
	waiting map[uint64]*modelRequest
	checked bool
	// perSecond is the number of requests that the processor of the host can serve in a second,
	// 0 for any number; servedUntil is the time until which it is busy with those that it has
	// admitted.
	perSecond   float64
	servedUntil time.Duration
}

type modelEngine struct {
	slots, running int
	// speed is the number of prompt tokens prefilled per millisecond.
	speed float64
	// cached holds the parts that the engine has prefilled.
	cached map[uint64]bool
	// prefillsUntil is the end of the prefill of all prompts.
	prefillsUntil time.Duration
}

type modelRequest struct {
	account *modelAccount
	daemon  *modelDaemon
	placed  placer.Request
	arrived time.Duration
	retried bool
}

type modelEvent struct {
	at   time.Duration
	call func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *modelFleet) after(d time.Duration, call func()) {
	heap.Push(&f.events, modelEvent{f.now + d, call})
}

// newModelFleet returns a fleet with a number of daemons, engines and seconds of counts.
func newModelFleet(seed uint64, daemons, engines int) *modelFleet {
	const slots, speed = 12, 56.0
	f := &modelFleet{random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*modelEngine{}}
	var entries []registrar.Entry
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		entries = append(entries, registrar.Entry{ID: id, Service: "model", Address: id, DataCentre: "d0", Slots: slots})
		f.engines[id] = &modelEngine{slots: slots, speed: speed, cached: map[uint64]bool{}}
	}
	config := resolver.New(resolver.Content{
		Services: []resolver.Service{{Name: "model", Engine: &resolver.Engine{Slots: slots, MemoryTokens: 400000, EventTokens: 8}}},
		Limits:   resolver.Limits{TokensPerSecond: float64(engines) * speed * 1000 / 3},
	})
	for i := range daemons {
		d := &modelDaemon{
			fleet:  placer.New(placer.Settings{DataCentre: "d0", Policy: placer.ShortestExpectedTime, Seed: uint64(i)}),
			shares: sharer.New(4 * time.Second), waiting: map[uint64]*modelRequest{},
		}
		d.fleet.SetTargets(entries)
		d.fleet.SetConfig(config)
		d.shares.SetCapacity(config.Limits().TokensPerSecond)
		d.queue = queuer.New(queuer.DefaultSettings(), d.fleet, d.shares)
		f.daemons = append(f.daemons, d)
	}
	return f
}

// addAccount adds an account whose callers send requests to all of the named daemons, or to
// every daemon if none is named.
func (f *modelFleet) addAccount(name string, perSecond float64, hosts ...int) {
	if len(hosts) == 0 {
		for i := range f.daemons {
			hosts = append(hosts, i)
		}
	}
	f.accounts = append(f.accounts, &modelAccount{name: name, perSecond: perSecond, hosts: hosts})
}

// run simulates a number of seconds.
func (f *modelFleet) run(seconds int) {
	sums := grouper.NewSums()
	for _, a := range f.accounts {
		a.asked, a.began, a.refused, a.largest = make([]float64, seconds), make([]float64, seconds), make([]int, seconds), make([]float64, 3)
		f.scheduleArrival(a)
	}
	f.after(reportInterval, func() { f.report(sums) })
	for f.now < time.Duration(seconds)*time.Second {
		e := heap.Pop(&f.events).(modelEvent)
		f.now = e.at
		e.call()
	}
}

func (f *modelFleet) scheduleArrival(a *modelAccount) {
	f.after(time.Duration(f.random.ExpFloat64()/a.perSecond*float64(time.Second)), func() {
		f.arrive(f.newRequest(a))
		f.scheduleArrival(a)
	})
}

// newRequest returns a request with a long or a short prompt, most of whose shared tokens
// belong to the account alone.
func (f *modelFleet) newRequest(a *modelAccount) *modelRequest {
	tokens := []int{512, 4870, 6610}
	output := 400
	if f.random.Float64() < 0.7 {
		tokens, output = []int{341, 227, 1800}, 40
	}
	own := int(float64(tokens[2]) * (0.25 + f.random.ExpFloat64()*0.75))
	subject := fmt.Sprint(a.name, f.random.IntN(6))
	parts := placer.NewPromptParts("m", []string{fmt.Sprint("common", output), subject, fmt.Sprint("own", f.lastID)}, []int{tokens[0], tokens[1], own})
	return &modelRequest{account: a, placed: placer.Request{Service: "model", PromptTokens: tokens[0] + tokens[1] + own, OutputTokens: output, Parts: parts}}
}

// arrive lets a new request, or one that comes back, arrive at a daemon of its account.
func (f *modelFleet) arrive(r *modelRequest) {
	f.lastID++
	a := r.account
	r.daemon, r.arrived = f.daemons[a.hosts[f.random.IntN(len(a.hosts))]], f.now
	r.placed.ID = f.lastID
	cost := r.placed.Cost()
	if !r.retried {
		a.asked[f.second()] += cost
	}
	a.largest = append(a.largest, cost)
	slices.SortFunc(a.largest, func(x, y float64) int { return int(y - x) })
	a.largest = a.largest[:3]
	d := r.daemon
	if d.busy(f.now) {
		d.shares.RecordRefused(f.now, a.name, 1)
		f.comeBack(r, busyRetryAfter)
		return
	}
	d.shares.RecordDemand(f.now, a.name, cost)
	d.fleet.RecordDemand(f.now, "model")
	d.waiting[r.placed.ID] = r
	d.queue.Add(queuer.Item{Request: r.placed, Account: a.name, CountsTowardsShare: true, Arrived: f.now, Objective: fleetObjective, Deadline: f.now + fleetPatience})
	f.decide(d)
}

func (f *modelFleet) second() int { return int(f.now / time.Second) }

// decide runs the queue of a daemon, and again later while requests wait.
func (f *modelFleet) decide(d *modelDaemon) {
	for _, decision := range d.queue.Decide(f.now) {
		r := d.waiting[decision.ID]
		delete(d.waiting, decision.ID)
		if decision.Reason == "" {
			f.serve(r, f.engines[decision.Choice.Target.ID])
			continue
		}
		f.comeBack(r, decision.RetryAfter)
	}
	if len(d.waiting) > 0 && !d.checked {
		d.checked = true
		f.after(queueInterval, func() { d.checked = false; f.decide(d) })
	}
}

// busy reports whether the processor of the host is busy with admitted requests. If it is not,
// it admits one more.
func (d *modelDaemon) busy(now time.Duration) bool {
	if d.perSecond == 0 {
		return false
	}
	if now < d.servedUntil {
		return true
	}
	d.servedUntil = now + time.Duration(float64(time.Second)/d.perSecond)
	return false
}

// comeBack lets a refused request come back once.
func (f *modelFleet) comeBack(r *modelRequest, after time.Duration) {
	r.account.refused[f.second()]++
	if !r.retried {
		r.retried = true
		f.after(after, func() { f.arrive(r) })
	}
}

// serve lets a request run at an engine.
func (f *modelFleet) serve(r *modelRequest, e *modelEngine) {
	d, id := r.daemon, r.placed.ID
	if e.running >= e.slots {
		d.fleet.RecordEnd(f.now, id, placer.Refused)
		d.shares.RecordService(f.now, r.account.name, -r.placed.Cost())
		r.account.refused[f.second()]++
		return
	}
	e.running++
	uncached := 0
	for _, p := range r.placed.Parts {
		if !e.cached[p.PrefixHash] {
			uncached += p.Tokens
			e.cached[p.PrefixHash] = true
		}
	}
	e.prefillsUntil = max(e.prefillsUntil, f.now) + time.Duration(float64(uncached)/e.speed*float64(time.Millisecond))
	f.after(e.prefillsUntil-f.now, func() {
		a := r.account
		a.began[f.second()] += r.placed.Cost()
		if f.now-r.arrived > fleetObjective {
			a.refused[f.second()]++
		}
		d.fleet.RecordFirstEvent(f.now, id)
		f.after(time.Duration(r.placed.OutputTokens)*2*time.Millisecond, func() {
			e.running--
			d.fleet.RecordEnd(f.now, id, placer.Complete)
		})
	})
}

// report tells each daemon the work of all others.
func (f *modelFleet) report(sums *grouper.Sums) {
	for i, d := range f.daemons {
		sums.Set(f.now, fmt.Sprint(i), 1, grouper.Report{Complete: true, AllAccounts: true, Loads: d.fleet.TakeLoads(f.now, true), Accounts: d.shares.TakeTotals(true), Spills: d.fleet.TakeSpills()})
	}
	all := sums.TakeSum(f.now, true)
	for i, d := range f.daemons {
		others := sums.Without(fmt.Sprint(i), all)
		d.fleet.SetPeerLoads(f.now, "others", others.Loads, true)
		d.fleet.AddPeerSpills(f.now, others.Spills)
		d.shares.SetPeer(f.now, "others", 1, others.Accounts, others.AllAccounts)
	}
	f.after(reportInterval, func() { f.report(sums) })
}

// worst returns the smallest quotient, over all accounts and windows of fairWindow seconds
// in which an account was refused or waited too long in each second, of the service that it
// got and of what the users' rule demands; 0.5 or less breaks the rule.
func (f *modelFleet) worst(from, to int) (quotient float64, account string, start int) {
	quotient = 1
	for second := from; second+fairWindow <= to; second++ {
		best := slices.MaxFunc(f.accounts, func(a, b *modelAccount) int {
			return int(sum(a.began[second:second+fairWindow]) - sum(b.began[second:second+fairWindow]))
		})
		for _, a := range f.accounts {
			due, got := 0.0, sum(a.began[second:second+fairWindow])+sum(a.largest)
			if slices.Contains(a.refused[second:second+fairWindow], 0) {
				continue
			}
			for s := second; s < second+fairWindow; s++ {
				due += min(a.asked[s], best.began[s])
			}
			if q := got / due; q < quotient {
				quotient, account, start = q, a.name, second
			}
		}
	}
	return quotient, account, start
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Load: the engines serve twice the configured throughput, since most prompts share parts
// that they have cached. Some small accounts ask for the configured throughput, one with
// callers at all hosts for as much again several times, and one with callers at three hosts
// for more than its share. Guards against FAIR: an account within the share of what the
// fleet really serves is refused as over its share, while the largest one, which makes the
// most attempts, gets more than twice as much.
func TestAccountAtFewHostsGetsHalfOfTheBestServedOne(t *testing.T) {
	for seed := range uint64(3) {
		f := newModelFleet(seed, 30, 30)
		f.addAccount("few", 100, 0, 1, 2)
		f.addAccount("largest", 600)
		f.addAccount("second", 150)
		for i := range 12 {
			f.addAccount(fmt.Sprint("small", i), 8, i, i+12)
		}
		f.run(14)
		q, account, at := f.worst(4, 14)
		t.Logf("seed %d: quotient %.2f of %s at %d s", seed, q, account, at)
		for _, a := range f.accounts[:4] {
			t.Logf("%s asked %.0f began %.0f refused %v", a.name, sum(a.asked[4:])/1000, sum(a.began[4:])/1000, a.refused)
		}
		if q < 0.5 {
			t.Errorf("seed %d: %s got %.2f of its due from %d s on", seed, account, q, at)
		}
	}
}

// Load: an account asks for more than its share through one host that has the processor time
// for two thirds of the share, and another one asks for several times its share at all hosts.
// Guards against FAIR: the requests that the busy host refuses are not known to the shares, so
// that the account looks served and the other one gets the rest of its share.
func TestAccountAtABusyHostKeepsItsPartOfTheShares(t *testing.T) {
	for seed := range uint64(3) {
		f := newModelFleet(seed, 30, 30)
		f.daemons[0].perSecond = 140
		f.addAccount("busy", 400, 0)
		f.addAccount("largest", 600)
		for i := range 12 {
			f.addAccount(fmt.Sprint("small", i), 8, 1+i, 1+i+12)
		}
		f.run(14)
		q, account, at := f.worst(4, 14)
		t.Logf("seed %d: quotient %.2f of %s at %d s", seed, q, account, at)
		for _, a := range f.accounts[:2] {
			t.Logf("%s asked %.0f began %.0f refused %v", a.name, sum(a.asked[4:])/1000, sum(a.began[4:])/1000, a.refused)
		}
		if q < 0.5 {
			t.Errorf("seed %d: %s got %.2f of its due from %d s on", seed, account, q, at)
		}
	}
}

// Load: an account asks for more than its share through one host that has the processor time
// for less than half of the share, and another one asks for several times its share at all
// hosts. Guards against FAIR: the other one gets its whole share, more than twice as much, since
// the share counts on what the first one cannot use.
func TestAccountHeldBackByItsHostGetsHalfOfTheBestServedOne(t *testing.T) {
	for _, perSecond := range []float64{60, 80, 100} {
		for seed := range uint64(3) {
			f := newModelFleet(seed, 30, 30)
			f.daemons[0].perSecond = perSecond
			f.addAccount("heldBack", 400, 0)
			f.addAccount("largest", 600)
			for i := range 12 {
				f.addAccount(fmt.Sprint("small", i), 8, 1+i, 1+i+12)
			}
			f.run(14)
			q, account, at := f.worst(4, 14)
			t.Logf("%.0f a second, seed %d: quotient %.2f of %s at %d s", perSecond, seed, q, account, at)
			for _, a := range f.accounts[:2] {
				t.Logf("%s asked %.0f began %.0f", a.name, sum(a.asked[4:])/1000, sum(a.began[4:])/1000)
			}
			if q < 0.5 {
				t.Errorf("%.0f a second, seed %d: %s got %.2f of its due from %d s on", perSecond, seed, account, q, at)
			}
		}
	}
}

// Load: three accounts ask for more than their share, two of them through hosts without
// processor time that get it back after some seconds. Guards against accounts that hold each
// other down by the little that they had.
func TestAccountsThatWereHeldBackRecover(t *testing.T) {
	const heldBack, recovered = 8, 12
	for seed := range uint64(3) {
		f := newModelFleet(seed, 30, 30)
		f.daemons[0].perSecond, f.daemons[1].perSecond = 15, 15
		f.addAccount("first", 400, 0)
		f.addAccount("second", 400, 1)
		f.addAccount("largest", 600)
		f.after(heldBack*time.Second, func() { f.daemons[0].perSecond, f.daemons[1].perSecond = 0, 0 })
		f.run(recovered + 6)
		all := 0.0
		for _, a := range f.accounts {
			all += sum(a.began[recovered:])
		}
		for _, a := range f.accounts {
			t.Logf("seed %d: %s began %.0f", seed, a.name, a.began)
			if got := sum(a.began[recovered:]); got < all/5 {
				t.Errorf("seed %d: %s began %.0f of %.0f from %d s on, want a fifth", seed, a.name, got, all, recovered)
			}
		}
		if served := all / 6; served < 1.0e6 {
			t.Errorf("seed %d: %.0f tokens a second were served after the accounts had recovered", seed, served)
		}
	}
}

// noGap is a division of the capacity without a bound on the gap between accounts.
type noGap struct{ *sharer.Shares }

func (noGap) WithinGap(time.Duration, string, float64) bool { return true }

// Load: many accounts ask for several times their share, at all hosts. Guards against capacity
// that stays idle because accounts that are served alike bound each other.
func TestAccountsThatAreServedAlikeLoseNoService(t *testing.T) {
	const requests, settled, end = 1200, 5, 16
	for _, accounts := range []int{10, 40} {
		for seed := range uint64(2) {
			served := func(bounded bool) (total float64) {
				f := newModelFleet(seed, 30, 30)
				for _, d := range f.daemons {
					if !bounded {
						d.queue = queuer.New(queuer.DefaultSettings(), d.fleet, noGap{d.shares})
					}
				}
				for i := range accounts {
					f.addAccount(fmt.Sprint("a", i), requests/float64(accounts))
				}
				f.run(end)
				for _, a := range f.accounts {
					total += sum(a.began[settled:])
				}
				return total
			}
			with, without := served(true), served(false)
			t.Logf("%d accounts, seed %d: %.0f tokens with the bound, %.0f without", accounts, seed, with, without)
			if with < 0.9*without {
				t.Errorf("%d accounts, seed %d: %.0f tokens were served, want 0.9 of the %.0f without a bound", accounts, seed, with, without)
			}
		}
	}
}
