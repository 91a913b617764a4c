package scheduler_test

import (
	"sort"
	"strconv"
	"time"

	"monsoondeck.example/scheduler"
)

// play runs the load and then lets the fleet come to rest.
func play(l load) outcome {
	f := newFleet(l)
	third := (l.length / 3).Truncate(step)
	for f.now < l.length {
		switch {
		case f.now == third && l.ownerLoss:
			f.newOwner(0)
		case f.now == third && l.routerLoss:
			f.stop(f.routers[0])
		case f.now == third && l.partition:
			f.cut = true
		case f.now == 2*third:
			f.cut = false
		}
		f.advance()
		f.measure()
	}
	f.waiting, f.loss, f.duplicate = false, 0, 0
	for end := f.now + 20*time.Second; f.now < end; {
		f.advance()
	}
	for _, s := range f.owners {
		f.out.leaked += max(s.Used(), -s.Used()) + s.Stats().Held + s.Demands()
	}
	return f.out
}

func (f *fleet) stop(r *router) {
	r.dead = true
	for _, x := range r.running {
		f.end(x)
	}
	r.running, r.ended = nil, nil
	for i := range f.owners {
		f.setMembers(i)
	}
}

func (f *fleet) end(x *request) {
	f.held[x.client]--
	f.busy[x.target]--
}

func (f *fleet) advance() {
	f.now += step
	due := f.messages
	f.messages = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	for _, m := range due {
		if m.at <= f.now {
			m.do()
		} else {
			f.messages = append(f.messages, m)
		}
	}
	for _, r := range f.routers {
		f.finish(r)
		for i := range f.owners {
			if f.now%refresh == 0 {
				f.report(r, i)
			}
		}
	}
	for i, s := range f.owners {
		if f.now%exchange == 0 {
			f.exchangeTotals(i)
		}
		if f.variant == noCharges {
			s.DiscardCharges()
		}
		epoch := f.epochs[i]
		for _, g := range s.Grants(f.now) {
			j, _ := strconv.Atoi(g.Member)
			r := f.routers[j]
			if r.dead {
				f.out.wasted++
			}
			f.send(r, i, f.loss, func(*scheduler.Scheduler) { f.grant(r, i, epoch, g) })
		}
	}
}

func (f *fleet) finish(r *router) {
	kept := r.running[:0]
	for _, x := range r.running {
		if x.end > f.now {
			kept = append(kept, x)
			continue
		}
		f.end(x)
		f.received[x.client] += x.cost
		r.ended = append(r.ended, x)
		f.settle(r, x, f.loss)
	}
	r.running = kept
}

func (f *fleet) exchangeTotals(i int) {
	side := 0
	if f.cut {
		side = 2 * i / f.shards
	}
	reports, epoch, owner := f.owners[i].Reports(), f.epochs[i], f.owners[i]
	f.deliver(f.loss, func() {
		totals := f.aggregators[side].Apply(strconv.Itoa(i), epoch, reports)
		f.deliver(f.loss, func() {
			if f.variant != noTotals {
				owner.ApplyTotals(totals)
			}
		})
	})
}

// measure compares the gap, the time without service and the idle slots with their limits.
func (f *fleet) measure() {
	units, waiting := append([]float64(nil), f.received...), false
	for _, r := range f.routers {
		for _, x := range r.running {
			units[x.client] += x.done(f.now)
		}
		for _, n := range r.queue {
			waiting = waiting || n > 0 && !r.dead
		}
	}
	for i, s := range f.owners {
		if s.Used() >= f.targets*f.limit || !waiting {
			f.idleSince[i] = f.now
		}
		f.out.idle = max(f.out.idle, f.now-f.idleSince[i])
	}
	weights, widest := 0.0, 0.0
	rate := speed * float64(f.shards*f.targets*f.limit)
	for a, x := range f.clients {
		weights += x.weight
		for b, y := range f.clients[:a] {
			bound := f.bound(a, b, rate)
			gap := units[a]/x.weight - units[b]/y.weight
			f.out.units = max(f.out.units, gap, -gap)
			f.out.gap = max(f.out.gap, gap/bound, -gap/bound)
			widest = max(widest, bound)
		}
	}
	for c := range f.clients {
		if f.held[c] > 0 {
			f.served[c] = f.now
		}
		// All others gain on an account without service, by at most twice the bound. A lost
		// grant delays it by a lease and a refresh; three in a row are allowed for.
		limit := 2*widest*weights/rate + scheduler.DefaultRebuildWindow.Seconds()
		if f.loss > 0 || f.routerLoss || f.partition {
			limit += 3 * (scheduler.DefaultLease + refresh).Seconds()
		}
		f.out.wait = max(f.out.wait, (f.now-f.served[c]).Seconds()/limit)
	}
}

func (f *fleet) bound(a, b int, rate float64) float64 {
	in := scheduler.BoundInput{
		LargestA: max(f.largest[a], 1), LargestB: max(f.largest[b], 1),
		WeightA: f.clients[a].weight, WeightB: f.clients[b].weight,
		Held: max(f.peak[a], f.peak[b]), Shards: f.shards, Rate: rate,
		Exchange: exchange, Delay: f.delay + step,
	}
	if f.ownerLoss {
		in.OwnerChanges = 1
	}
	return scheduler.Bound(in)
}
