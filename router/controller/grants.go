package controller

import (
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
