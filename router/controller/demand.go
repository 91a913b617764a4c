package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
)

// link is the router's side of one shard: what the owner was told and which
// grants came back.
type link struct {
	owner string
	// epoch is that of the newest grants from the owner; 0 until the first.
	epoch uint64
	// believed is the waiting count that the owner knows, by client account.
	believed map[string]int
	// seen is the largest grant id of the epoch, by client account.
	seen map[string]uint64
	// spilled are the client accounts whose demand goes to this shard although
	// it is not their home shard.
	spilled map[string]bool
}

func newLink(owner string) *link {
	return &link{owner: owner, believed: map[string]int{}, seen: map[string]uint64{}, spilled: map[string]bool{}}
}

// link returns the router's side of a shard and forgets what an earlier owner
// was told.
func (c *Controller) link(s locator.Shard) *link {
	l := c.links[s.Key]
	if l == nil || l.owner != s.Owner {
		l = newLink(s.Owner)
		c.links[s.Key] = l
	}
	return l
}

// fewWaiting is the count up to which the owner is told every increase. Above
// it, only a doubling or a halving is worth a message, because the owner
// corrects the count by its own grants.
const fewWaiting = 2

// worthReporting tells whether the owner must learn the actual count.
func worthReporting(believed, actual int) bool {
	switch {
	case believed == actual:
		return false
	case believed <= 0 || actual == 0:
		return true
	case actual > believed:
		return believed <= fewWaiting || actual >= 2*believed
	}
	return believed >= 2*actual
}

// spillDemand marks the queues whose oldest request has waited for the spill
// delay, so that its demand goes to all shards of the pool.
func (c *Controller) spillDemand(now time.Duration) {
	for key := range c.unspilled {
		if c.spillDue(key, now) {
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
		c.gatherDemand(key, now, pending)
	}
	c.sendDemands(pending)
}

// spillDue tells whether a queue needs no further check of its spill delay:
// it is empty, or its oldest request has waited long enough.
func (c *Controller) spillDue(key queueKey, now time.Duration) bool {
	q := c.queues[key]
	return q == nil || len(q.waiters) == 0 || now-q.waiters[0].enqueued >= c.options.Timing.Spill
}

func (c *Controller) gatherDemand(key queueKey, now time.Duration, pending map[string]*messenger.Demand) {
	q := c.queues[key]
	if q == nil {
		return
	}
	home := c.locator.Local(key.pool)
	spill := len(q.waiters) > 0 && now-q.waiters[0].enqueued >= c.options.Timing.Spill
	for i, s := range c.locator.PoolShards(key.pool) {
		l := c.link(s)
		if i >= home && !spill && !l.spilled[key.account] {
			continue
		}
		l.spilled[key.account] = i >= home && len(q.waiters) > 0
		actual := c.waiting(s, key.account)
		if worthReporting(l.believed[key.account], actual) {
			c.addDemand(s, l, key.account, actual, pending)
		}
	}
	if len(q.waiters) == 0 && now-q.served > queueRetention {
		delete(c.queues, key)
	}
}

// queueRetention keeps an empty queue, and with it the client account's service
// rate, between two requests of an interactive caller.
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

func (c *Controller) addDemand(s locator.Shard, l *link, account string, actual int, pending map[string]*messenger.Demand) {
	l.believed[account] = actual
	d := pending[s.Key]
	if d == nil {
		d = &messenger.Demand{Shard: s.Key, Epoch: l.epoch}
		pending[s.Key] = d
	}
	entry := messenger.DemandEntry{Account: account, Waiting: uint64(actual), Seen: l.seen[account]}
	for _, pool := range s.Pools {
		if q := c.queues[queueKey{pool, account}]; q != nil && len(q.waiters) > 0 {
			entry.EstimateTenths = tenths(q.estimate())
			entry.Affinity = q.waiters[0].request.Affinity
		}
	}
	d.Entries = append(d.Entries, entry)
}

func (c *Controller) sendDemands(pending map[string]*messenger.Demand) {
	for _, key := range slices.Sorted(maps.Keys(pending)) {
		s, ok := c.locator.Shard(key)
		if !ok {
			continue
		}
		d := pending[key]
		c.send(s.Owner, func(f *messenger.Frame) { f.Demands = append(f.Demands, *d) })
	}
}

// refreshDemand repeats the demand of all waiting accounts, so that a lost
// message delays a request by one period at most.
func (c *Controller) refreshDemand() {
	pending := map[string]*messenger.Demand{}
	for _, s := range c.sortedShards() {
		key := s.Key
		l := c.links[key]
		if l == nil || l.owner != s.Owner {
			continue
		}
		for _, account := range slices.Sorted(maps.Keys(l.believed)) {
			believed := l.believed[account]
			actual := c.waiting(s, account)
			if actual == 0 && believed == 0 {
				delete(l.believed, account)
				delete(l.seen, account)
				delete(l.spilled, account)
				continue
			}
			c.addDemand(s, l, account, actual, pending)
		}
	}
	c.sendDemands(pending)
}

// touchAll reports the demand of every queue anew, after owners have changed.
func (c *Controller) touchAll() {
	for key := range c.queues {
		c.touch(key)
	}
}

// sortedKeys orders queues, so that the same events lead to the same messages.
func sortedKeys(set map[queueKey]bool) []queueKey {
	return slices.SortedFunc(maps.Keys(set), func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.account, b.account))
	})
}
