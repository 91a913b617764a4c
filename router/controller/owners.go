package controller

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/limiter"
	"monsoondeck.example/logger"
	"monsoondeck.example/messenger"
	"monsoondeck.example/router/locator"
	"monsoondeck.example/scheduler"
)

// ownedShard is a shard that this daemon schedules.
type ownedShard struct {
	shard     locator.Shard
	epoch     uint64
	scheduler *scheduler.Scheduler
	// limits has one entry for each target of shard.
	limits map[string]*targetLimit
	// nextReport is when the next report to the aggregators is due.
	nextReport time.Duration
	// issued holds the grants of this epoch that have not been settled.
	issued map[uint64]issuedGrant
}

// issuedGrant holds what daemons omit when they refer to a grant by its id alone.
type issuedGrant struct {
	account, target string
	issuedAt        time.Duration
}

// issuedRetention is how long an unsettled grant is remembered; it exceeds the
// longest request.
const issuedRetention = time.Hour

// targetLimit is the concurrency limit that the shard owner has learnt for one
// target.
type targetLimit struct {
	concurrency *limiter.Concurrency
	incarnation uint64
	slots       int
	ejected     bool
}

// acquireShard starts to schedule a shard. The epoch identifies this ownership. It
// is the low 32 bits of the start time in microseconds plus a counter, so it collides
// with the epoch of an earlier owner once in four billion times.
func (c *Controller) acquireShard(s locator.Shard, now time.Duration) {
	c.acquisitions++
	epoch := uint64(uint32(c.options.Self.Incarnation + c.acquisitions))
	o := &ownedShard{shard: s, epoch: epoch, limits: map[string]*targetLimit{}, issued: map[uint64]issuedGrant{}}
	o.scheduler = scheduler.New(scheduler.Settings{
		Epoch:                epoch,
		Lease:                c.options.Timing.GrantLease,
		RebuildWindow:        c.options.Timing.RebuildTimeout,
		AdjustmentCapSeconds: scheduler.DefaultAdjustmentCapSeconds,
	})
	o.scheduler.SetMembers(now, c.routerIDs())
	c.owned[s.Key] = o
	c.updateShard(o, s, now)
	logger.Emit(c.options.Logger, logger.ShardAcquired, slog.String("shard", s.Name), slog.Uint64("epoch", epoch))
}

// routerIDs returns the daemons that may send demand to an owned shard, sorted.
// Under the policies Independent and Static only this daemon may.
func (c *Controller) routerIDs() []string {
	if c.options.Policy == locator.Independent || c.options.Policy == locator.Static {
		return []string{c.options.Self.ID}
	}
	names := make([]string, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// updateShard passes the targets of the current configuration to the scheduler. A
// target with a new incarnation or another number of slots gets a new limit.
func (c *Controller) updateShard(o *ownedShard, s locator.Shard, now time.Duration) {
	o.shard = s
	kept := map[string]*targetLimit{}
	for _, t := range s.Targets {
		slots := max(t.Slots/c.assignment.SlotDivisor(), 1)
		l := o.limits[t.ID]
		if l == nil || l.incarnation != t.Incarnation || l.slots != slots {
			settings := c.options.Concurrency
			if t.Kind == configurer.KindService {
				// Calls to plain services have no typical duration.
				settings.FirstToken, settings.TokenInterval = 0, 0
			}
			// The configured slots are the most that the operators allow.
			settings.Slots, settings.Maximum = slots, slots
			l = &targetLimit{concurrency: limiter.NewConcurrency(settings), incarnation: t.Incarnation, slots: slots}
		}
		kept[t.ID] = l
	}
	o.limits = kept
	c.applyLimits(o, now)
}

// applyLimits passes the current concurrency limit of each target to the scheduler.
// A draining target has the limit 0.
func (c *Controller) applyLimits(o *ownedShard, now time.Duration) {
	snapshot := c.snapshot.Load()
	targets := make([]scheduler.Target, 0, len(o.shard.Targets))
	for _, t := range o.shard.Targets {
		l := o.limits[t.ID]
		limit := l.concurrency.Limit(now)
		c.recordEjection(t.ID, l, limit)
		if snapshot.Draining(t) {
			limit = 0
		}
		targets = append(targets, scheduler.Target{ID: t.ID, Limit: limit})
	}
	o.scheduler.SetTargets(now, targets)
}

// recordEjection logs when a target is ejected, that is, when its limit falls to 0,
// and when it comes back.
func (c *Controller) recordEjection(target string, l *targetLimit, limit int) {
	ejected := limit == 0
	if ejected == l.ejected {
		return
	}
	l.ejected = ejected
	event := logger.TargetBack
	if ejected {
		event = logger.TargetEjected
	}
	logger.Emit(c.options.Logger, event, slog.String("target", target))
}

// scheduleOwned updates the limits of all owned shards, because limits also change
// with time, and sends the grants that have become possible.
func (c *Controller) scheduleOwned(now time.Duration) {
	for _, key := range c.ownedKeys() {
		o := c.owned[key]
		o.expireIssued(now)
		c.applyLimits(o, now)
		c.sendGrants(o, now)
	}
}

// sendGrants sends all grants that the scheduler can issue now, one message for each
// daemon.
func (c *Controller) sendGrants(o *ownedShard, now time.Duration) {
	lists := map[string]*messenger.Grants{}
	for _, g := range o.scheduler.Grants(now) {
		list := lists[g.Member]
		if list == nil {
			list = &messenger.Grants{Shard: o.shard.Key, Epoch: o.epoch}
			lists[g.Member] = list
		}
		list.Entries = append(list.Entries, messenger.Grant{ID: g.ID, Account: g.Account, Target: g.Target})
		o.issued[g.ID] = issuedGrant{g.Account, g.Target, now}
	}
	for _, member := range slices.Sorted(maps.Keys(lists)) {
		c.send(member, func(f *messenger.Frame) { f.Grants = append(f.Grants, *lists[member]) })
	}
}

// resolve returns the client account and the target of a grant. If a daemon refers to
// the grant by its id alone, they are looked up; they are empty for an unknown grant.
func (o *ownedShard) resolve(epoch, id uint64, account, target string) (string, string) {
	if account != "" || epoch != o.epoch {
		return account, target
	}
	g := o.issued[id]
	return g.account, g.target
}

// expireIssued drops grants whose holder disappeared without settling them.
func (o *ownedShard) expireIssued(now time.Duration) {
	maps.DeleteFunc(o.issued, func(_ uint64, g issuedGrant) bool { return now-g.issuedAt > issuedRetention })
}

// handleDemand passes the demand of a daemon to the scheduler of the shard.
func (c *Controller) handleDemand(from string, d messenger.Demand, now time.Duration) {
	o := c.owned[d.Shard]
	if o == nil {
		return
	}
	demands := make([]scheduler.Demand, 0, len(d.Entries))
	for _, e := range d.Entries {
		account, ok := c.config.Account(e.Account)
		if !ok {
			continue
		}
		demand := scheduler.Demand{Account: e.Account, Weight: account.Share, Waiting: int(e.Waiting), EstimatedUnits: tenthsToUnits(e.EstimateTenths), PrefixHash: e.Affinity}
		if d.Epoch == o.epoch {
			demand.NewestGrantID = e.Seen
		}
		demands = append(demands, demand)
	}
	o.scheduler.SetDemand(now, from, demands)
	c.sendGrants(o, now)
}

// handleSettlements ends the settled grants, updates the limits of their targets and
// grants the freed slots.
func (c *Controller) handleSettlements(from string, s messenger.Settlements, now time.Duration) {
	o := c.owned[s.Shard]
	if o == nil {
		return
	}
	settlements := make([]scheduler.Settlement, 0, len(s.Entries))
	for _, e := range s.Entries {
		e.Account, e.Target = o.resolve(s.Epoch, e.ID, e.Account, e.Target)
		if e.Account == "" {
			continue // already settled
		}
		settlements = append(settlements, scheduler.Settlement{ID: e.ID, Account: e.Account, Target: e.Target, Cost: tenthsToUnits(e.CostTenths)})
		if s.Epoch == o.epoch {
			delete(o.issued, e.ID)
		}
		c.observeSettlement(o, e, now)
	}
	o.scheduler.Settle(now, from, s.Epoch, settlements)
	c.applyLimits(o, now)
	c.sendGrants(o, now)
}

// observeSettlement updates the concurrency limit of a target from one settled
// grant.
func (c *Controller) observeSettlement(o *ownedShard, e messenger.Settlement, now time.Duration) {
	l := o.limits[e.Target]
	if l == nil {
		return
	}
	l.concurrency.Observe(now, limiter.Observation{
		InFlight:      o.scheduler.HeldGrants(e.Target),
		Result:        limiter.Result(e.Result),
		FirstToken:    time.Duration(e.FirstTokenMs) * time.Millisecond,
		TokenInterval: time.Duration(e.IntervalUs) * time.Microsecond,
	})
}

// groupKey identifies the service totals of a group of client accounts, added up over
// the shards of the same pools.
type groupKey struct {
	// pools is Shard.PoolKey of these shards.
	pools string
	group int
}

// reportIntervalPerShard lengthens the report interval of pools with more than five
// shards, because the entries of a report grow with the number of shards. With 20
// shards for each of 16 models, an interval of 500 ms would take 14 KB/s in each
// daemon.
const reportIntervalPerShard = 100 * time.Millisecond

// reportInterval returns the interval at which a shard's service is reported.
func (c *Controller) reportInterval(s locator.Shard) time.Duration {
	shards := len(c.assignment.PoolShards(s.Pools[0]))
	return max(c.options.Timing.ReportInterval, time.Duration(shards)*reportIntervalPerShard)
}

// reportService sends the service granted in each owned shard to the aggregators, if
// the next report of the shard is due.
func (c *Controller) reportService(now time.Duration) {
	for _, key := range c.ownedKeys() {
		o := c.owned[key]
		if now < o.nextReport {
			continue
		}
		// The next report is due half a tick early, so that a late tick does not skip an
		// interval.
		o.nextReport = now + c.reportInterval(o.shard) - c.options.Timing.ReportInterval/2
		reports := map[int]*messenger.ServiceReport{}
		for _, s := range o.scheduler.Reports() {
			group := c.assignment.Group(s.Account)
			if reports[group] == nil {
				reports[group] = &messenger.ServiceReport{Pool: o.shard.PoolKey(), Group: uint64(group), Shard: key, Epoch: o.epoch}
			}
			reports[group].Entries = append(reports[group].Entries, messenger.ServiceEntry{
				Account: s.Account, Cumulative: s.CumulativeUnits, Included: s.IncludedUnits, Known: s.KnownTotal,
			})
		}
		for _, group := range slices.Sorted(maps.Keys(reports)) {
			report := reports[group]
			to := c.assignment.Aggregator(o.shard.PoolKey(), group)
			if to != "" {
				c.send(to, func(f *messenger.Frame) { f.ServiceReports = append(f.ServiceReports, *report) })
			}
		}
	}
}

// handleServiceReport adds a shard's service to the totals of its group and answers
// with the new totals.
func (c *Controller) handleServiceReport(from string, r messenger.ServiceReport) {
	entries := make([]scheduler.ServiceEntry, 0, len(r.Entries))
	for _, e := range r.Entries {
		entries = append(entries, scheduler.ServiceEntry{Account: e.Account, CumulativeUnits: e.Cumulative, IncludedUnits: e.Included, KnownTotal: e.Known})
	}
	answer := messenger.ServiceTotals{Pool: r.Pool, Group: r.Group, Shard: r.Shard, Epoch: r.Epoch}
	for _, t := range c.aggregatorFor(groupKey{r.Pool, int(r.Group)}).Apply(r.Shard, r.Epoch, entries) {
		answer.Entries = append(answer.Entries, messenger.TotalEntry{Account: t.Account, Total: t.Total, Included: t.IncludedUnits})
	}
	c.send(from, func(f *messenger.Frame) { f.ServiceTotals = append(f.ServiceTotals, answer) })
}

// handleServiceTotals passes the totals from an aggregator to the scheduler of the
// shard.
func (c *Controller) handleServiceTotals(t messenger.ServiceTotals, now time.Duration) {
	o := c.owned[t.Shard]
	if o == nil || o.epoch != t.Epoch {
		return
	}
	totals := make([]scheduler.Total, 0, len(t.Entries))
	for _, e := range t.Entries {
		totals = append(totals, scheduler.Total{Account: e.Account, Total: e.Total, IncludedUnits: e.Included})
	}
	o.scheduler.ApplyTotals(totals)
	c.sendGrants(o, now)
}

// ownedKeys returns the keys of the owned shards in a fixed order.
func (c *Controller) ownedKeys() []string { return slices.Sorted(maps.Keys(c.owned)) }

// ownedShards returns the owned shards, sorted by name.
func (c *Controller) ownedShards() []locator.Shard {
	shards := make([]locator.Shard, 0, len(c.owned))
	for _, o := range c.owned {
		shards = append(shards, o.shard)
	}
	slices.SortFunc(shards, func(a, b locator.Shard) int { return strings.Compare(a.Name, b.Name) })
	return shards
}
