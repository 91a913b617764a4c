package scheduler_test

import (
	"sort"
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
	for _, r := range f.routers {
		for i := range f.owners {
			f.report(r, i)
		}
	}
	unused := f.out.unused
	for end := f.now + 20*time.Second; f.now < end; {
		f.advance()
	}
	f.out.unused = unused
	for _, s := range f.owners {
		f.out.leaked += max(s.Used(), -s.Used()) + s.Stats().Held + s.Demands()
	}
	return f.out
}

func (f *fleet) stop(r *router) {
	r.dead = true
	for k, x := range r.running {
		f.end(x)
		delete(r.running, k)
	}
	for i := range f.owners {
		f.setMembers(i)
	}
}

func (f *fleet) end(x *run) {
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
		if f.now%refresh == 0 {
			for i := range f.owners {
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
		for _, g := range s.Grants(f.now) {
			f.deliver(i, g)
		}
	}
}

func (f *fleet) deliver(i int, g scheduler.Grant) {
	for j, r := range f.routers {
		if r.name == g.Member {
			if r.dead {
				f.out.wasted++
			}
			k := runKey{i, f.epochs[i], g.ID}
			f.send(side(i, f.shards), side(j, len(f.routers)), func() { f.grant(r, k, g) })
		}
	}
}

func (f *fleet) finish(r *router) {
	var keys []runKey
	for k, x := range r.running {
		if x.end <= f.now {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].shard != keys[j].shard {
			return keys[i].shard < keys[j].shard
		}
		return keys[i].id < keys[j].id
	})
	for _, k := range keys {
		x := r.running[k]
		delete(r.running, k)
		f.end(x)
		f.received[x.client] += x.cost
		name := f.clients[x.client].name
		f.settle(r, k, scheduler.Settlement{ID: k.id, Account: name, Target: x.target, Cost: x.cost}, x.guess)
	}
}

func (f *fleet) exchangeTotals(i int) {
	where := 0
	if f.cut {
		where = side(i, f.shards)
	}
	reports, epoch, owner := f.owners[i].Reports(), f.epochs[i], f.owners[i]
	f.send(0, 0, func() {
		totals := f.aggregates[where].Apply(string(rune('a'+i)), epoch, reports)
		f.send(0, 0, func() {
			if f.variant != noTotals {
				owner.ApplyTotals(totals)
			}
		})
	})
}

// measure compares the gap, the time without service and the idle slots with their limits.
func (f *fleet) measure() {
	units := append([]float64(nil), f.received...)
	for _, r := range f.routers {
		for _, x := range r.running {
			units[x.client] += x.cost * float64(f.now-x.start) / float64(x.end-x.start)
		}
	}
	for i, s := range f.owners {
		if s.Used() >= f.targets*f.limit || !f.anyWaiting() {
			f.idleSince[i] = f.now
		}
		f.out.idle = max(f.out.idle, f.now-f.idleSince[i])
	}
	weights, widest := 0.0, 0.0
	rate := speed * float64(f.shards*f.targets*f.limit)
	for a := range f.clients {
		weights += f.clients[a].weight
		for b := range a {
			bound := f.bound(a, b, rate)
			gap := units[a]/f.clients[a].weight - units[b]/f.clients[b].weight
			f.out.gap = max(f.out.gap, gap/bound, -gap/bound)
			widest = max(widest, bound)
		}
	}
	for c := range f.clients {
		if f.held[c] > 0 {
			f.served[c] = f.now
		}
		limit := 2*widest*weights/rate + (scheduler.DefaultLease + refresh).Seconds()
		f.out.wait = max(f.out.wait, (f.now-f.served[c]).Seconds()/limit)
	}
}

func (f *fleet) anyWaiting() bool {
	for _, r := range f.routers {
		for _, n := range r.queue {
			if n > 0 && !r.dead {
				return true
			}
		}
	}
	return false
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
