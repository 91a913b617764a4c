package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
)

// session records the exchange with the current owner of one shard: the demand
// reported to it and the grants received from it.
type session struct {
	owner string
	// epoch is the epoch of the newest grants from the owner; 0 until the first.
	epoch uint64
	// reportedWaiting is the number of waiting requests last reported to the
	// owner, less the grants received since, by client account.
	reportedWaiting map[string]int
	// lastGrantIDs is the largest grant id received in the epoch, by client
	// account.
	lastGrantIDs map[string]uint64
	// spilled is the set of client accounts whose demand goes to this shard
	// although it is not one of the pool's preferred shards.
	spilled map[string]bool
}

func newSession(owner string) *session {
	return &session{owner: owner, reportedWaiting: map[string]int{}, lastGrantIDs: map[string]uint64{}, spilled: map[string]bool{}}
}

// session returns the session with the owner of a shard. It starts a new one if the
// owner has changed.
func (c *Controller) session(s locator.Shard) *session {
	session := c.sessions[s.Key]
	if session == nil || session.owner != s.Owner {
		session = newSession(s.Owner)
		c.sessions[s.Key] = session
	}
	return session
}

// exactReportLimit is the number of waiting requests up to which every increase is
// reported. Above it, only a doubling or a halving is reported, because the owner
// corrects the count by its own grants.
const exactReportLimit = 2

// shouldReport reports whether the actual number of waiting requests must be sent to
// the owner.
func shouldReport(reported, actual int) bool {
	switch {
	case reported == actual:
		return false
	case reported <= 0 || actual == 0:
		return true
	case actual > reported:
		return reported <= exactReportLimit || actual >= 2*reported
	}
	return reported >= 2*actual
}

// spillDemand marks the queues whose oldest request has waited for the spill
// delay, so that their demand is sent to all shards of the pool.
func (c *Controller) spillDemand(now time.Duration) {
	for key := range c.unspilled {
		if c.spillCheckDone(key, now) {
			delete(c.unspilled, key)
			c.dirty[key] = true
		}
	}
}

// flushDemand reports the demand of changed queues.
func (c *Controller) flushDemand(now time.Duration) {
	pending := map[string]*messenger.Demand{}
	for _, key := range sortedKeys(c.dirty) {
		delete(c.dirty, key)
		c.collectDemand(key, now, pending)
	}
	c.sendDemands(pending)
}

// spillCheckDone reports whether a queue needs no further check of its spill delay:
// it is empty, or its oldest request has waited long enough.
func (c *Controller) spillCheckDone(key queueKey, now time.Duration) bool {
	q := c.queues[key]
	return q == nil || len(q.waiters) == 0 || now-q.waiters[0].enqueued >= c.options.Timing.SpillDelay
}

// collectDemand adds the demand of one queue to pending, by shard key, for every
// shard of the pool that must learn of it. It also deletes a queue that has been
// empty for long.
func (c *Controller) collectDemand(key queueKey, now time.Duration, pending map[string]*messenger.Demand) {
	q := c.queues[key]
	if q == nil {
		return
	}
	preferred := c.assignment.PreferredShards(key.pool)
	spill := len(q.waiters) > 0 && now-q.waiters[0].enqueued >= c.options.Timing.SpillDelay
	for i, s := range c.assignment.PoolShards(key.pool) {
		session := c.session(s)
		if i >= preferred && !spill && !session.spilled[key.account] {
			continue
		}
		session.spilled[key.account] = i >= preferred && len(q.waiters) > 0
		actual := c.waiting(s, key.account)
		if shouldReport(session.reportedWaiting[key.account], actual) {
			c.addDemand(s, session, key.account, actual, pending)
		}
	}
	if len(q.waiters) == 0 && now-q.lastGranted > queueRetention {
		delete(c.queues, key)
	}
}

// queueRetention is how long an empty queue is kept after its last grant, so that
// the queue, and with it the client account's service rate, survives the pause
// between two requests of an interactive caller.
const queueRetention = time.Minute

// waiting counts the requests of a client account that the shard could serve.
func (c *Controller) waiting(s locator.Shard, account string) int {
	count := 0
	for _, pool := range s.Pools {
		if q := c.queues[queueKey{pool, account}]; q != nil {
			count += len(q.waiters)
		}
	}
	return count
}

// addDemand adds the number of waiting requests of a client account to the demand
// that is pending for a shard, and records it as reported.
func (c *Controller) addDemand(s locator.Shard, session *session, account string, actual int, pending map[string]*messenger.Demand) {
	session.reportedWaiting[account] = actual
	d := pending[s.Key]
	if d == nil {
		d = &messenger.Demand{Shard: s.Key, Epoch: session.epoch}
		pending[s.Key] = d
	}
	entry := messenger.DemandEntry{Account: account, Waiting: uint64(actual), Seen: session.lastGrantIDs[account]}
	for _, pool := range s.Pools {
		if q := c.queues[queueKey{pool, account}]; q != nil && len(q.waiters) > 0 {
			entry.EstimateTenths = unitsToTenths(q.meanEstimate())
			entry.Affinity = q.waiters[0].request.PrefixHash
		}
	}
	d.Entries = append(d.Entries, entry)
}

func (c *Controller) sendDemands(pending map[string]*messenger.Demand) {
	for _, key := range slices.Sorted(maps.Keys(pending)) {
		s, ok := c.assignment.Shard(key)
		if !ok {
			continue
		}
		d := pending[key]
		c.send(s.Owner, func(f *messenger.Frame) { f.Demands = append(f.Demands, *d) })
	}
}

// refreshDemand repeats the demand of all waiting client accounts, so that a lost
// message delays a request by one interval at most.
func (c *Controller) refreshDemand() {
	pending := map[string]*messenger.Demand{}
	for _, s := range c.sortedShards() {
		key := s.Key
		session := c.sessions[key]
		if session == nil || session.owner != s.Owner {
			continue
		}
		for _, account := range slices.Sorted(maps.Keys(session.reportedWaiting)) {
			reported := session.reportedWaiting[account]
			actual := c.waiting(s, account)
			if actual == 0 && reported == 0 {
				delete(session.reportedWaiting, account)
				delete(session.lastGrantIDs, account)
				delete(session.spilled, account)
				continue
			}
			c.addDemand(s, session, account, actual, pending)
		}
	}
	c.sendDemands(pending)
}

// markAllDirty has the demand of every queue reported again after owners have
// changed.
func (c *Controller) markAllDirty() {
	for key := range c.queues {
		c.markDirty(key)
	}
}

// sortedKeys returns the keys in a fixed order, so that the same events lead to the
// same messages.
func sortedKeys(set map[queueKey]bool) []queueKey {
	return slices.SortedFunc(maps.Keys(set), func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.account, b.account))
	})
}
