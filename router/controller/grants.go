package controller

import (
	"time"

	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
)

// handleGrants assigns the grants of one message to waiting requests and returns
// the grants for which no request waits.
func (c *Controller) handleGrants(from string, g messenger.Grants, now time.Duration) {
	s, ok := c.assignment.Shard(g.Shard)
	if !ok {
		c.returnGrants(from, g)
		return
	}
	session := c.session(s)
	if from == s.Owner && session.epoch != g.Epoch {
		*session = *newSession(s.Owner)
		session.epoch = g.Epoch
		c.markAllDirty()
	}
	for _, entry := range g.Entries {
		if session.epoch == g.Epoch {
			session.lastGrantIDs[entry.Account] = max(session.lastGrantIDs[entry.Account], entry.ID)
			session.reportedWaiting[entry.Account] = max(session.reportedWaiting[entry.Account]-1, 0)
		}
		c.handleGrant(from, s, g.Epoch, entry, now)
	}
}

// handleGrant assigns a grant to a waiting request, or returns it to its owner if
// no request can use it.
func (c *Controller) handleGrant(from string, s locator.Shard, epoch uint64, g messenger.Grant, now time.Duration) {
	if c.heldPermits[grantKey(s.Key, epoch, g.ID)] != nil {
		return // duplicate message
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
		epoch: epoch, id: g.ID, expires: now + c.options.Timing.GrantLifetime,
	}
	c.heldPermits[p.key()] = p
	w.result <- waitResult{permit: p}
}

// takeWaiter removes and returns the oldest waiting request of the granted client
// account that the shard can serve; nil if there is none.
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
	w := best.popFor(g.Target)
	if w != nil {
		best.lastGranted = now
		c.rates.recordGrant(g.Account, now)
		c.histories.recordGrant(w, g.Target, s, now)
	}
	c.markDirty(bestKey)
	return w
}

// returnGrants returns grants of a shard that is no longer configured.
func (c *Controller) returnGrants(from string, g messenger.Grants) {
	for _, entry := range g.Entries {
		c.settle(g.Shard, from, g.Epoch, messenger.Settlement{ID: entry.ID, Account: entry.Account, Target: entry.Target})
	}
}
