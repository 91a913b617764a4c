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

// holdingsKey identifies the held grants of one shard and epoch.
type holdingsKey struct {
	shard string
	epoch uint64
}

// costReportStep is the growth of a held grant's cost, in tenths of a unit, after
// which the cost is reported to the owner again: about two seconds of a stream.
const costReportStep = 64 * tenthsPerUnit

// reportHoldings sends every shard owner the list of its grants that this daemon
// holds. An empty list tells the owner that this daemon holds none.
func (c *Controller) reportHoldings() {
	held := c.heldByShard()
	for key, s := range c.assignment.Shards() {
		session := c.sessions[key]
		if session != nil && session.epoch != 0 && session.owner == s.Owner && len(session.lastGrantIDs) > 0 {
			k := holdingsKey{key, session.epoch}
			if _, ok := held[k]; !ok {
				held[k] = nil // an empty list
			}
		}
	}
	for _, k := range sortedHoldings(held) {
		if s, ok := c.assignment.Shard(k.shard); ok {
			c.sendHoldings(s, k, held[k])
		}
	}
}

// announceHoldings sends the holdings report to the new owner of a shard at once,
// because the owner waits for it before it grants. An empty list counts as a
// report.
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
	session := c.sessions[k.shard]
	known := session != nil && session.owner == s.Owner && session.epoch == k.epoch
	list := newHoldings(k, permits, known)
	c.send(s.Owner, func(f *messenger.Frame) { f.Holdings = append(f.Holdings, list) })
}

// newHoldings lists grants by id alone if they are known, that is, if the receiver
// issued them in its current epoch, and in full otherwise. The ids are encoded as
// differences from the id before. A known grant whose cost has grown by
// costReportStep is listed with its cost.
func newHoldings(k holdingsKey, permits []*permit, known bool) messenger.Holdings {
	list := messenger.Holdings{Shard: k.shard, Epoch: k.epoch}
	last := uint64(0)
	for _, p := range permits {
		cost := unitsToTenths(p.unitsUsed())
		switch {
		case !known:
			list.Entries = append(list.Entries, messenger.Holding{ID: p.id, Account: p.account, Target: p.target.ID, CostTenths: cost})
		case cost >= p.reportedCost+costReportStep:
			p.reportedCost = cost
			list.Entries = append(list.Entries, messenger.Holding{ID: p.id, CostTenths: cost})
		default:
			list.IDs = append(list.IDs, p.id-last)
			last = p.id
		}
	}
	return list
}

// heldByShard groups the held grants by shard and epoch, each group sorted by id.
func (c *Controller) heldByShard() map[holdingsKey][]*permit {
	held := map[holdingsKey][]*permit{}
	for _, p := range c.heldPermits {
		k := holdingsKey{p.shard, p.epoch}
		held[k] = append(held[k], p)
	}
	for _, permits := range held {
		slices.SortFunc(permits, func(a, b *permit) int { return cmp.Compare(a.id, b.id) })
	}
	return held
}

// sortedHoldings returns the keys in a fixed order, so that the same events lead
// to the same messages.
func sortedHoldings(held map[holdingsKey][]*permit) []holdingsKey {
	return slices.SortedFunc(maps.Keys(held), func(a, b holdingsKey) int {
		return cmp.Or(cmp.Compare(a.shard, b.shard), cmp.Compare(a.epoch, b.epoch))
	})
}

// handleHoldings passes a daemon's holdings report to the scheduler of the shard.
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
			holdings = append(holdings, scheduler.Holding{ID: e.ID, Account: account, Target: target, Cost: tenthsToUnits(e.CostTenths)})
		}
	}
	o.scheduler.SetHoldings(now, from, h.Epoch, holdings)
	c.sendGrants(o, now)
}
