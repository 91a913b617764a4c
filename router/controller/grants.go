package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
)

// handleGrants hands the grants of one message to waiting requests and returns
// those that find none.
func (c *Controller) handleGrants(from string, g messenger.Grants, now time.Duration) {
	s, ok := c.locator.Shard(g.Shard)
	if !ok {
		c.returnAll(from, g)
		return
	}
	l := c.link(s)
	if from == s.Owner && l.epoch != g.Epoch {
		*l = *newLink(s.Owner)
		l.epoch = g.Epoch
		c.touchAll()
	}
	for _, entry := range g.Entries {
		if l.epoch == g.Epoch {
			l.seen[entry.Account] = max(l.seen[entry.Account], entry.ID)
			l.believed[entry.Account] = max(l.believed[entry.Account]-1, 0)
		}
		c.handleGrant(from, s, g.Epoch, entry, now)
	}
}

func (c *Controller) handleGrant(from string, s locator.Shard, epoch uint64, g messenger.Grant, now time.Duration) {
	if c.held[grantKey(s.Key, epoch, g.ID)] != nil {
		return // a duplicate
	}
	target, known := c.config.Target(g.Target)
	var w *waiter
	if known && !c.snapshot.Load().Draining(target) {
		w = c.takeWaiter(s, g, now)
	}
	if w == nil {
		c.settle(s.Key, from, epoch, messenger.Settlement{ID: g.ID, Account: g.Account, Target: g.Target})
		return
	}
	p := &permit{
		controller: c, target: target, account: g.Account, shard: s.Key, owner: from,
		epoch: epoch, id: g.ID, expires: now + c.options.Timing.GrantLife,
	}
	c.held[p.key()] = p
	w.answer <- waitAnswer{permit: p}
}

// takeWaiter removes the oldest request of the granted client account that the
// shard can serve.
func (c *Controller) takeWaiter(s locator.Shard, g messenger.Grant, now time.Duration) *waiter {
	var best *queue
	var bestKey queueKey
	for _, pool := range s.Pools {
		key := queueKey{pool, g.Account}
		q := c.queues[key]
		if q == nil || len(q.waiters) == 0 {
			continue
		}
		if best == nil || q.waiters[0].enqueued < best.waiters[0].enqueued {
			best, bestKey = q, key
		}
	}
	c.dirty[queueKey{s.Pools[0], g.Account}] = true
	if best == nil {
		return nil
	}
	w := best.take(g.Target)
	if w != nil {
		best.served = now
		c.rates.granted(g.Account, now)
		c.histories.granted(w, g.Target, s, now)
	}
	c.touch(bestKey)
	return w
}

// returnAll gives back grants of a shard that the configuration no longer has.
func (c *Controller) returnAll(from string, g messenger.Grants) {
	for _, entry := range g.Entries {
		c.settle(g.Shard, from, g.Epoch, messenger.Settlement{ID: entry.ID, Account: entry.Account, Target: entry.Target})
	}
}

// holdingsKey groups held grants by shard and epoch.
type holdingsKey struct {
	shard string
	epoch uint64
}

// reportHoldings tells every shard owner which grants are in use. An owner
// that gets an empty list knows that this daemon holds nothing.
func (c *Controller) reportHoldings() {
	lists := c.holdings()
	for key, s := range c.locator.Shards() {
		if l := c.links[key]; l != nil && l.epoch != 0 && l.owner == s.Owner {
			k := holdingsKey{key, l.epoch}
			if lists[k] == nil && len(l.seen) > 0 {
				lists[k] = &messenger.Holdings{Shard: key, Epoch: l.epoch}
			}
		}
	}
	for _, k := range sortedHoldings(lists) {
		s, ok := c.locator.Shard(k.shard)
		if !ok {
			continue
		}
		list := lists[k]
		c.send(s.Owner, func(f *messenger.Frame) { f.Holdings = append(f.Holdings, *list) })
	}
}

func (c *Controller) holdings() map[holdingsKey]*messenger.Holdings {
	lists := map[holdingsKey]*messenger.Holdings{}
	for _, key := range slices.Sorted(maps.Keys(c.held)) {
		p := c.held[key]
		k := holdingsKey{p.shard, p.epoch}
		if lists[k] == nil {
			lists[k] = &messenger.Holdings{Shard: p.shard, Epoch: p.epoch}
		}
		lists[k].Entries = append(lists[k].Entries, messenger.Holding{
			ID: p.id, Account: p.account, Target: p.target.ID, Cost: p.used(),
		})
	}
	return lists
}

// announceHoldings reports to the new owner of a shard at once, because the
// owner waits for it before it grants. An empty list counts as a report.
func (c *Controller) announceHoldings(s locator.Shard) {
	sent := false
	lists := c.holdings()
	for _, k := range sortedHoldings(lists) {
		if k.shard == s.Key {
			sent = true
			list := lists[k]
			c.send(s.Owner, func(f *messenger.Frame) { f.Holdings = append(f.Holdings, *list) })
		}
	}
	if !sent {
		c.send(s.Owner, func(f *messenger.Frame) { f.Holdings = append(f.Holdings, messenger.Holdings{Shard: s.Key}) })
	}
}

// sortedHoldings orders lists, so that the same events lead to the same messages.
func sortedHoldings(lists map[holdingsKey]*messenger.Holdings) []holdingsKey {
	return slices.SortedFunc(maps.Keys(lists), func(a, b holdingsKey) int {
		return cmp.Or(cmp.Compare(a.shard, b.shard), cmp.Compare(a.epoch, b.epoch))
	})
}
