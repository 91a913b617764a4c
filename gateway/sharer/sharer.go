// Package sharer divides the capacity of the fleet among client accounts. It counts
// in a sliding window, over all daemons, how much service each account asked for and
// got, and computes the max-min fair share. The package does no I/O; callers pass
// the time.
package sharer

import (
	"math"
	"slices"
	"time"
)

const (
	// bucketCount is the number of buckets in the sliding window. More buckets cost
	// memory and time; fewer make the window advance in larger jumps.
	bucketCount = 16
	// fairShareTTL is how long a computed fair share is used: a tenth of the interval at
	// which daemons exchange counts, so that it adds little to the delay of the counts.
	fairShareTTL = 20 * time.Millisecond
	// capacityMargin is the factor by which the capacity is raised, so that requests
	// that fail or end late do not leave part of it unused.
	capacityMargin = 1.25
	// maxServiceRatio bounds the service of an account, as a multiple of that of any other
	// account that asks for more than its share. The gap between them is to stay below two,
	// and the counts of the daemons are some hundred milliseconds old.
	maxServiceRatio = 1.6
	// minBoundingShare is the part of the fair share below which the service of an account
	// does not bound the others further: one that hardly any request gets through of would
	// leave capacity idle and gain nothing from it.
	minBoundingShare = 0.25
	// minHeldBackShare is the same for the bound within the share. It is such that accounts
	// which bound each other get their share again: maxServiceRatio times as much, and so
	// once more, is above the share.
	minHeldBackShare = 0.4
	// minServedShare is the part of the share below which an account does not bound the others
	// within theirs at all: one without targets, or with callers at a host that hardly serves
	// any, gains nothing from it.
	minServedShare = 0.1
	// gapSlack is the service, in mean requests, by which an account may exceed a bound, since
	// single requests make the service of accounts with few of them differ.
	gapSlack = 3
	// paceBurst is the time whose service a daemon may give to a paced account at once.
	paceBurst = 250 * time.Millisecond
	// paceBuckets is the number of the newest buckets whose demand divides the service among
	// the daemons: callers move from one host to another within seconds.
	paceBuckets = bucketCount / 4
	// costWeight is the weight of the newest request in the mean cost of an account.
	costWeight = 0.02
	// minSpareWeight and maxSpareWeight bound the weights of accounts that ask for more
	// than their fair share, and thereby how differently these are treated.
	minSpareWeight, maxSpareWeight = 0.1, 3.0
)

// Shares counts the service of each client account. Service is measured in tokens:
// each prompt token counts once and each generated token twice. It is not safe for
// concurrent use.
type Shares struct {
	// bucketDuration is the length of one bucket.
	bucketDuration time.Duration
	// capacity is the configured service of all engines in one window, including
	// capacityMargin; 0 means unknown.
	capacity float64
	// currentBucket is the number of the newest bucket since time 0.
	currentBucket int64
	accounts      map[string]*account
	peers         map[string]*peer
	// fairShare is the last result of FairShare, computed at fairShareTime together with the
	// bounds on the service of accounts: spareBound holds for spare capacity, heldBackBound
	// also within the share.
	fairShare                 float64
	spareBound, heldBackBound gapBound
	fairShareTime             time.Duration
	fairShareValid            bool
}

// account holds the counts of one client account.
type account struct {
	// demand and served hold the requested and the given service of each bucket,
	// indexed by bucket number modulo bucketCount.
	demand, served [bucketCount]float64
	// demandSum and servedSum are the sums over the buckets.
	demandSum, servedSum float64
	// ownDemand is the part of demand that was asked for at this daemon.
	ownDemand [bucketCount]float64
	// paced is set while a bound paces the account. allowance is the service that this daemon
	// may give to it then, at the time pacedAt; a request may use more than is left.
	paced     bool
	allowance float64
	pacedAt   time.Duration
	// ownTotal is the service counted at this daemon, cumulative since New, for the
	// reports to peers.
	ownTotal Total
	// unreported is set if ownTotal has changed since the last report.
	unreported bool
	// meanCost is the moving mean cost of the requests at this daemon; 0 before the first one.
	meanCost float64
}

// peer holds the last totals of a peer by account.
type peer struct {
	incarnation uint64
	totals      map[string]Total
	// complete is set after a complete report: the count of an account that is not in totals
	// has begun since.
	complete bool
	// learned is set once the recent service that the peer knows is known here.
	learned bool
}

// Total is the cumulative service of one account at one daemon since its start.
type Total struct {
	Account string
	// Demand is the expected service of all requests, Served that of the requests that
	// were sent to a target, in the unit of Shares.
	Demand, Served float64
}

// Since returns the service asked for and given after an older total. It is zero if the
// demand has decreased: then the sender has begun to count anew, since demand is never
// taken back.
func (t Total) Since(old Total) (demand, served float64) {
	if t.Demand < old.Demand {
		return 0, 0
	}
	return t.Demand - old.Demand, t.Served - old.Served
}

// New returns Shares with a sliding window of the given length.
func New(window time.Duration) *Shares {
	return &Shares{bucketDuration: max(window/bucketCount, time.Millisecond), accounts: map[string]*account{}, peers: map[string]*peer{}}
}

// SetCapacity sets the service per second of all engines together; 0 means unknown.
func (s *Shares) SetCapacity(perSecond float64) {
	s.capacity = capacityMargin * perSecond * (s.bucketDuration * bucketCount).Seconds()
	s.fairShareValid = false
}

// RecordDemand records a request of an account by its expected service.
func (s *Shares) RecordDemand(now time.Duration, name string, cost float64) {
	a := s.account(now, name)
	if a.meanCost == 0 {
		a.meanCost = cost
	}
	a.meanCost += costWeight * (cost - a.meanCost)
	s.addDemand(a, cost)
}

// RecordRefused records a number of requests of an account that were refused unread, which are
// demand like others. Their cost is unknown and taken for the mean of the account.
func (s *Shares) RecordRefused(now time.Duration, name string, requests int) {
	a := s.account(now, name)
	s.addDemand(a, float64(requests)*a.meanCost)
}

func (s *Shares) addDemand(a *account, cost float64) {
	a.ownTotal.Demand += cost
	a.unreported = true
	a.ownDemand[s.currentBucket%bucketCount] += cost
	s.addToWindow(a, cost, 0)
}

// RecordService records that a request was sent to a target. A negative cost takes
// back the service of a request that did not run.
func (s *Shares) RecordService(now time.Duration, name string, cost float64) {
	a := s.account(now, name)
	a.ownTotal.Served += cost
	a.allowance -= cost
	a.unreported = true
	s.addToWindow(a, 0, cost)
}

// TakeTotals returns the totals of the accounts at this daemon that changed since the
// last call, and with all also the unchanged ones.
func (s *Shares) TakeTotals(all bool) []Total {
	var totals []Total
	for _, a := range s.accounts {
		if a.unreported || all && (a.ownTotal.Demand > 0 || a.ownTotal.Served > 0) {
			a.unreported = false
			totals = append(totals, a.ownTotal)
		}
	}
	return totals
}

// SetPeer adds the increase of a peer's totals since its last report; complete is set if
// they are those of all its accounts. The first total of an account only sets the
// baseline, since it is unknown when that service was given, unless a complete report of
// the same incarnation came before.
func (s *Shares) SetPeer(now time.Duration, name string, incarnation uint64, totals []Total, complete bool) {
	p := s.peers[name]
	if p == nil || p.incarnation < incarnation {
		p = &peer{incarnation: incarnation, totals: map[string]Total{}}
		s.peers[name] = p
	}
	if incarnation < p.incarnation {
		return
	}
	for _, t := range totals {
		old, known := p.totals[t.Account]
		p.totals[t.Account] = t
		if !known && !p.complete {
			continue
		}
		demand, served := t.Since(old)
		s.addToWindow(s.account(now, t.Account), demand, served)
	}
	p.complete = p.complete || complete
}

// Recent returns the service of the accounts within the window, as it is known here.
func (s *Shares) Recent(now time.Duration) []Total {
	s.advanceWindow(now)
	var recent []Total
	for name, a := range s.accounts {
		if a.demandSum > 0 || a.servedSum > 0 {
			recent = append(recent, Total{Account: name, Demand: a.demandSum, Served: max(a.servedSum, 0)})
		}
	}
	return recent
}

// LearnRecent takes over the recent service that a peer knows, where it is more than is known
// here. It does so once after the first totals of the peer, which only set the baseline: a
// daemon that has started, or whose peers have changed, has missed a part of the service.
func (s *Shares) LearnRecent(now time.Duration, name string, incarnation uint64, recent []Total) {
	p := s.peers[name]
	if p == nil || p.incarnation != incarnation || p.learned || len(recent) == 0 {
		return
	}
	p.learned = true
	for _, t := range recent {
		a := s.account(now, t.Account)
		demand, served := max(t.Demand-a.demandSum, 0), max(t.Served-a.servedSum, 0)
		for i := range bucketCount {
			a.demand[i] += demand / bucketCount
			a.served[i] += served / bucketCount
		}
		a.demandSum += demand
		a.servedSum += served
	}
	s.fairShareValid = false
}

// RemovePeer drops the last totals of a peer, so that its next ones set the baseline. Its
// service stays counted until it leaves the window.
func (s *Shares) RemovePeer(name string) { delete(s.peers, name) }

// Served returns the service that an account got in the window.
func (s *Shares) Served(now time.Duration, name string) float64 {
	s.advanceWindow(now)
	if a := s.accounts[name]; a != nil {
		return a.servedSum
	}
	return 0
}

// OverShare reports whether a further request of the given cost would bring the
// account above its max-min fair share. No account is over its share while the
// accounts together ask for less than the capacity.
func (s *Shares) OverShare(now time.Duration, name string, cost float64) bool {
	fairShare := s.FairShare(now)
	return !math.IsInf(fairShare, 1) && s.Served(now, name)+cost > fairShare
}

// SpareWeight returns the weight of an account in the division of spare capacity
// among the accounts that ask for more than their fair share: their mean service
// divided by that of the account. The quotient is squared for an account above the
// mean, with the aim that no account gets twice as much as another.
func (s *Shares) SpareWeight(now time.Duration, name string) float64 {
	fairShare := s.FairShare(now)
	total, accounts := 0.0, 0
	for _, a := range s.accounts {
		if a.demandSum > fairShare {
			total += a.servedSum
			accounts++
		}
	}
	served := s.Served(now, name)
	if accounts == 0 || total == 0 {
		return 1
	}
	weight := total / float64(accounts) / max(served, 1)
	if weight < 1 {
		weight *= weight
	}
	return min(max(weight, minSpareWeight), maxSpareWeight)
}

// FairShare returns the max-min fair share: the service in the window up to which an
// account is within its share. It is infinite if all accounts can get what they ask
// for or if the capacity is unknown.
func (s *Shares) FairShare(now time.Duration) float64 {
	s.advanceWindow(now)
	if s.fairShareValid && now < s.fairShareTime+fairShareTTL {
		return s.fairShare
	}
	demands, served := make([]float64, 0, len(s.accounts)), 0.0
	for _, a := range s.accounts {
		if a.demandSum > 0 {
			demands = append(demands, a.demandSum)
		}
		served += a.servedSum
	}
	capacity := s.capacity
	if capacity > 0 {
		// Cached prompt parts count as service, so that engines give more than is configured.
		capacity = max(capacity, served)
	}
	s.fairShare, s.fairShareTime, s.fairShareValid = maxMinShare(demands, capacity), now, true
	s.updateBounds()
	return s.fairShare
}

// updateBounds computes the bounds from the accounts that ask for more than the fair share. One
// that has done so throughout the window is held back by something else than the shares, such as
// the processor time of its hosts, and bounds the others within their share, too.
func (s *Shares) updateBounds() {
	s.spareBound, s.heldBackBound = newGapBound(), newGapBound()
	for _, a := range s.accounts {
		if a.demandSum <= s.fairShare {
			continue
		}
		s.spareBound.add(a, maxServiceRatio*max(a.servedSum, minBoundingShare*s.fairShare))
		if newer := s.recent(a.demand, bucketCount/2); min(newer, a.demandSum-newer) > s.fairShare/2 && a.servedSum >= minServedShare*s.fairShare {
			s.heldBackBound.add(a, maxServiceRatio*max(a.servedSum, minHeldBackShare*s.fairShare))
		}
	}
}

// recent returns the sum of the newest buckets.
func (s *Shares) recent(values [bucketCount]float64, buckets int64) float64 {
	total := 0.0
	for b := range buckets {
		total += values[(s.currentBucket-b+bucketCount)%bucketCount]
	}
	return total
}

// gapBound is the bound on the service of an account that the service of the others sets: the
// least one, and for the account that sets it the next one. +Inf means that there is none.
type gapBound struct {
	least, next float64
	setBy       *account
}

func newGapBound() gapBound { return gapBound{least: math.Inf(1), next: math.Inf(1)} }

// add adds the bound that an account sets for the others.
func (g *gapBound) add(a *account, bound float64) {
	if bound >= g.least {
		g.next = min(g.next, bound)
		return
	}
	g.least, g.next, g.setBy = bound, g.least, a
}

// of returns the bound for an account.
func (g *gapBound) of(a *account) float64 {
	if a == g.setBy {
		return g.next
	}
	return g.least
}

// WithinGap reports whether an account may have the service of a further request of the given
// cost: not if it has had so much more than another one that asks for more than its share, but
// does not get it, that the gap between them would grow out of bounds. Capacity then stays idle,
// since the gap is a promise and utilisation an aim.
func (s *Shares) WithinGap(now time.Duration, name string, cost float64) bool {
	fairShare := s.FairShare(now) // updates the bounds
	a := s.account(now, name)
	bound := s.heldBackBound.of(a)
	if a.servedSum+cost > fairShare {
		bound = min(bound, s.spareBound.of(a))
	}
	bound += gapSlack * a.meanCost
	if a.demandSum <= bound {
		a.paced = false
		return true
	}
	return a.servedSum <= bound && s.takesTurn(now, a, bound)
}

// takesTurn reports whether this daemon may give service to an account now whose service in the
// window is bounded. Each daemon gives the part that is asked for there, at a steady rate: what
// the others give is known too late to decide by it alone.
func (s *Shares) takesTurn(now time.Duration, a *account, bound float64) bool {
	own, all := s.recent(a.ownDemand, paceBuckets), s.recent(a.demand, paceBuckets)
	perSecond := bound / (s.bucketDuration * bucketCount).Seconds()
	if all > 0 {
		perSecond *= own / all
	}
	burst := max(perSecond*paceBurst.Seconds(), a.meanCost)
	if !a.paced {
		a.paced, a.allowance, a.pacedAt = true, burst, now
	}
	a.allowance = min(a.allowance+perSecond*(now-a.pacedAt).Seconds(), burst)
	a.pacedAt = now
	return a.allowance > 0
}

// maxMinShare returns the largest share at which the sum of min(demand, share) over
// all accounts is within the capacity. It is infinite if all demands fit or if the
// capacity is unknown. It sorts demands.
func maxMinShare(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return math.Inf(1)
	}
	slices.Sort(demands)
	for i, demand := range demands {
		if equalShare := capacity / float64(len(demands)-i); demand > equalShare {
			return equalShare
		}
		capacity -= demand
	}
	return math.Inf(1)
}

// account returns the counts of an account, which it creates if necessary.
func (s *Shares) account(now time.Duration, name string) *account {
	s.advanceWindow(now)
	a := s.accounts[name]
	if a == nil {
		a = &account{ownTotal: Total{Account: name}}
		s.accounts[name] = a
	}
	return a
}

// addToWindow adds service to the newest bucket.
func (s *Shares) addToWindow(a *account, demand, served float64) {
	i := s.currentBucket % bucketCount
	a.demand[i] += demand
	a.demandSum += demand
	a.served[i] += served
	a.servedSum += served
}

// advanceWindow clears the buckets that have left the window.
func (s *Shares) advanceWindow(now time.Duration) {
	bucket := int64(now / s.bucketDuration)
	if bucket <= s.currentBucket {
		return
	}
	for _, a := range s.accounts {
		if bucket-s.currentBucket >= bucketCount {
			a.demand, a.served = [bucketCount]float64{}, [bucketCount]float64{}
			a.ownDemand = [bucketCount]float64{}
			a.demandSum, a.servedSum = 0, 0
			continue
		}
		for b := s.currentBucket + 1; b <= bucket; b++ {
			a.demand[b%bucketCount], a.served[b%bucketCount], a.ownDemand[b%bucketCount] = 0, 0, 0
		}
		a.demandSum, a.servedSum = sum(a.demand), sum(a.served)
	}
	s.currentBucket = bucket
	s.fairShareValid = false
}

func sum(values [bucketCount]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
