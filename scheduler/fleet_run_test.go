package scheduler_test

import (
	"sort"
	"strconv"
	"time"

	"monsoondeck.example/scheduler"
)

// runLoad runs the load, then stops the demand and the message faults and runs the fleet for
// another 20 seconds, after which it must hold no slot and no demand.
func runLoad(l load) outcome {
	f := newFleet(l)
	third := (l.duration / 3).Truncate(timeStep)
	for f.now < l.duration {
		switch {
		case f.now == third && l.ownerLoss:
			f.newOwner(0)
		case f.now == third && l.routerLoss:
			f.stopRouter(f.routers[0])
		case f.now == third && l.partition:
			f.partitioned = true
		case f.now == 2*third:
			f.partitioned = false
		}
		f.advanceStep()
		f.measureFairness()
	}
	f.backlogged, f.loss, f.duplicate = false, 0, 0
	for end := f.now + 20*time.Second; f.now < end; {
		f.advanceStep()
	}
	for _, s := range f.owners {
		f.result.leaked += max(s.Used(), -s.Used()) + s.Stats().Held + s.Demands()
	}
	return f.result
}

func (f *fleet) stopRouter(r *router) {
	r.stopped = true
	for _, x := range r.running {
		f.removeRequest(x)
	}
	r.running, r.ended = nil, nil
	for i := range f.owners {
		f.setMembers(i)
	}
}

func (f *fleet) removeRequest(x *request) {
	f.heldGrants[x.account]--
	f.inFlight[x.target]--
}

func (f *fleet) advanceStep() {
	f.now += timeStep
	due := f.messages
	f.messages = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].arrival < due[j].arrival })
	for _, m := range due {
		if m.arrival <= f.now {
			m.deliver()
		} else {
			f.messages = append(f.messages, m)
		}
	}
	for _, r := range f.routers {
		f.finishRequests(r)
		for i := range f.owners {
			if f.now%refreshInterval == 0 {
				f.sendReport(r, i)
			}
		}
	}
	for i, s := range f.owners {
		if f.now%exchangeInterval == 0 {
			f.exchangeTotals(i)
		}
		if f.fault == discardCharges {
			s.DiscardCharges()
		}
		epoch := f.epochs[i]
		for _, g := range s.Grants(f.now) {
			j, _ := strconv.Atoi(g.Member)
			r := f.routers[j]
			if r.stopped {
				f.result.grantsToStopped++
			}
			f.send(r, i, f.loss, func(*scheduler.Scheduler) { f.startRequest(r, i, epoch, g) })
		}
	}
}

func (f *fleet) finishRequests(r *router) {
	kept := r.running[:0]
	for _, x := range r.running {
		if x.end > f.now {
			kept = append(kept, x)
			continue
		}
		f.removeRequest(x)
		f.unitsReceived[x.account] += x.cost
		r.ended = append(r.ended, x)
		f.sendSettlement(r, x, f.loss)
	}
	r.running = kept
}

func (f *fleet) exchangeTotals(i int) {
	side := 0
	if f.partitioned {
		side = 2 * i / f.shards
	}
	reports, epoch, owner := f.owners[i].Reports(), f.epochs[i], f.owners[i]
	f.deliver(f.loss, func() {
		totals := f.aggregators[side].Apply(strconv.Itoa(i), epoch, reports)
		f.deliver(f.loss, func() {
			if f.fault != ignoreTotals {
				owner.ApplyTotals(totals)
			}
		})
	})
}

// measureFairness records the fairness gap and the time without service relative to their limits,
// and for how long a shard has had a free slot while requests waited.
func (f *fleet) measureFairness() {
	units, waiting := append([]float64(nil), f.unitsReceived...), false
	for _, r := range f.routers {
		for _, x := range r.running {
			units[x.account] += x.usedUnits(f.now)
		}
		for _, n := range r.queue {
			waiting = waiting || n > 0 && !r.stopped
		}
	}
	for i, s := range f.owners {
		if s.Used() >= f.targets*f.limit || !waiting {
			f.idleSince[i] = f.now
		}
		f.result.longestIdle = max(f.result.longestIdle, f.now-f.idleSince[i])
	}
	weights, widest := 0.0, 0.0
	rate := unitsPerSlotSecond * float64(f.shards*f.targets*f.limit)
	for a, x := range f.accounts {
		weights += x.weight
		for b, y := range f.accounts[:a] {
			bound := f.bound(a, b, rate)
			gap := units[a]/x.weight - units[b]/y.weight
			f.result.gapUnits = max(f.result.gapUnits, gap, -gap)
			f.result.gapRatio = max(f.result.gapRatio, gap/bound, -gap/bound)
			widest = max(widest, bound)
		}
	}
	for c := range f.accounts {
		if f.heldGrants[c] > 0 {
			f.lastServed[c] = f.now
		}
		// While an account gets no service, all others gain on it by at most twice the bound.
		// Each lost grant delays the account by a lease and a refresh; the limit allows for
		// three in a row.
		limit := 2*widest*weights/rate + scheduler.DefaultRebuildWindow.Seconds()
		if f.loss > 0 || f.routerLoss || f.partition {
			limit += 3 * (scheduler.DefaultLease + refreshInterval).Seconds()
		}
		f.result.waitRatio = max(f.result.waitRatio, (f.now-f.lastServed[c]).Seconds()/limit)
	}
}

func (f *fleet) bound(a, b int, rate float64) float64 {
	in := scheduler.BoundInput{
		LargestA: max(f.largestCharge[a], 1), LargestB: max(f.largestCharge[b], 1),
		WeightA: f.accounts[a].weight, WeightB: f.accounts[b].weight,
		Held: max(f.peakHeld[a], f.peakHeld[b]), Shards: f.shards, Rate: rate,
		Exchange: exchangeInterval, Delay: f.delay + timeStep,
	}
	if f.ownerLoss {
		in.OwnerChanges = 1
	}
	return scheduler.Bound(in)
}
