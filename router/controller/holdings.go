package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
	"monsoondeck.example/scheduler"
)

// holdingsKey groups held grants by shard and epoch.
type holdingsKey struct {
	shard string
	epoch uint64
}

// progressStep is the growth of a grant's cost, in tenths of a unit, that the
// owner is told of before the grant ends: about two seconds of a stream.
const progressStep = 64 * tenthsPerUnit

// reportHoldings tells every shard owner which grants are in use. An owner
// that gets an empty list knows that this daemon holds nothing.
func (c *Controller) reportHoldings() {
	held := c.heldByShard()
	for key, s := range c.locator.Shards() {
		l := c.links[key]
		if l != nil && l.epoch != 0 && l.owner == s.Owner && len(l.seen) > 0 {
			k := holdingsKey{key, l.epoch}
			if _, ok := held[k]; !ok {
				held[k] = nil // an empty list
			}
		}
	}
	for _, k := range sortedHoldings(held) {
		if s, ok := c.locator.Shard(k.shard); ok {
			c.sendHoldings(s, k, held[k])
		}
	}
}

// announceHoldings reports to the new owner of a shard at once, because the
// owner waits for it before it grants. An empty list counts as a report.
func (c *Controller) announceHoldings(s locator.Shard) {
	held := c.heldByShard()
	sent := false
	for _, k := range sortedHoldings(held) {
		if k.shard == s.Key {
			sent = true
			c.sendHoldings(s, k, held[k])
		}
	}
	if !sent {
		c.sendHoldings(s, holdingsKey{shard: s.Key}, nil)
	}
}

func (c *Controller) sendHoldings(s locator.Shard, k holdingsKey, permits []*permit) {
	l := c.links[k.shard]
	known := l != nil && l.owner == s.Owner && l.epoch == k.epoch
	list := newHoldings(k, permits, known)
	c.send(s.Owner, func(f *messenger.Frame) { f.Holdings = append(f.Holdings, list) })
}

// newHoldings lists grants by their ids alone where the receiver made them, and
// whole where it must learn them.
func newHoldings(k holdingsKey, permits []*permit, known bool) messenger.Holdings {
	list := messenger.Holdings{Shard: k.shard, Epoch: k.epoch}
	last := uint64(0)
	for _, p := range permits {
		cost := tenths(p.used())
		switch {
		case !known:
			list.Entries = append(list.Entries, messenger.Holding{ID: p.id, Account: p.account, Target: p.target.ID, CostTenths: cost})
		case cost >= p.reported+progressStep:
			p.reported = cost
			list.Entries = append(list.Entries, messenger.Holding{ID: p.id, CostTenths: cost})
		default:
			list.IDs = append(list.IDs, p.id-last)
			last = p.id
		}
	}
	return list
}

// heldByShard groups the held grants, each group sorted by id.
func (c *Controller) heldByShard() map[holdingsKey][]*permit {
	held := map[holdingsKey][]*permit{}
	for _, p := range c.held {
		k := holdingsKey{p.shard, p.epoch}
		held[k] = append(held[k], p)
	}
	for _, permits := range held {
		slices.SortFunc(permits, func(a, b *permit) int { return cmp.Compare(a.id, b.id) })
	}
	return held
}

// sortedHoldings orders groups, so that the same events lead to the same
// messages.
func sortedHoldings(held map[holdingsKey][]*permit) []holdingsKey {
	return slices.SortedFunc(maps.Keys(held), func(a, b holdingsKey) int {
		return cmp.Or(cmp.Compare(a.shard, b.shard), cmp.Compare(a.epoch, b.epoch))
	})
}

func (c *Controller) handleHoldings(from string, h messenger.Holdings, now time.Duration) {
	o := c.owned[h.Shard]
	if o == nil {
		return
	}
	entries := h.Entries
	id := uint64(0)
	for _, difference := range h.IDs {
		id += difference
		entries = append(entries, messenger.Holding{ID: id})
	}
	holdings := make([]scheduler.Holding, 0, len(entries))
	for _, e := range entries {
		account, target := o.resolve(h.Epoch, e.ID, e.Account, e.Target)
		if account != "" {
			holdings = append(holdings, scheduler.Holding{ID: e.ID, Account: account, Target: target, Cost: unitsOf(e.CostTenths)})
		}
	}
	o.scheduler.SetHoldings(now, from, h.Epoch, holdings)
	c.sendGrants(o, now)
}
