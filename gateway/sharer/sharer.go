// Package sharer divides the capacity of the fleet among client accounts. It
// counts what each account asked for and was served in a sliding window, over
// all daemons, and works out the max-min fair share. It is pure.
package sharer

import (
	"math"
	"slices"
	"time"
)

const (
	// buckets is the number of steps in which the window slides. More steps cost
	// memory and time, fewer let the window jump.
	buckets = 16
	// levelAge is how long a computed level is used: a tenth of the time in which
	// daemons exchange counts, so that it adds nothing noticeable to their delay.
	levelAge = 20 * time.Millisecond
	// margin lets accounts exceed their share somewhat, so that requests that fail or
	// end late do not leave it unused.
	margin = 1.25
	// minStanding and maxStanding bound how much accounts over their share are treated
	// differently.
	minStanding, maxStanding = 0.1, 3.0
)

// Shares counts service per client account. Service is measured in tokens: one
// read counts once, one generated twice.
type Shares struct {
	// step is the length of one bucket.
	step time.Duration
	// capacity is the service of all targets in one window; 0 is unknown.
	capacity float64
	// current is the number of the newest bucket.
	current  int64
	accounts map[string]*account
	peers    map[string]*peer
	// level is the share of an account that asks for more, as of levelTime.
	level     float64
	levelTime time.Duration
	levelSet  bool
}

type account struct {
	asked, served [buckets]float64
	// askedSum and servedSum are the sums of the buckets.
	askedSum, servedSum float64
	// own is cumulative since New, for the peers.
	own     Total
	changed bool
}

type peer struct {
	incarnation uint64
	totals      map[string]Total
}

// Total is the cumulative service of one account at one daemon since its start.
type Total struct {
	Account       string
	Asked, Served float64
}

// New returns Shares with a sliding window.
func New(window time.Duration) *Shares {
	return &Shares{step: max(window/buckets, time.Millisecond), accounts: map[string]*account{}, peers: map[string]*peer{}}
}

// SetCapacity sets the service per second of all targets together; 0 is unknown.
func (s *Shares) SetCapacity(perSecond float64) {
	s.capacity = margin * perSecond * (s.step * buckets).Seconds()
	s.levelSet = false
}

// Ask records a request of an account and its expected service.
func (s *Shares) Ask(now time.Duration, name string, cost float64) {
	a := s.account(now, name)
	a.own.Asked += cost
	a.changed = true
	s.add(a, cost, 0)
}

// Serve records that a request was sent to a target; a negative cost takes back
// what did not run.
func (s *Shares) Serve(now time.Duration, name string, cost float64) {
	a := s.account(now, name)
	a.own.Served += cost
	a.changed = true
	s.add(a, 0, cost)
}

// Totals returns the cumulative service of the accounts that changed since the
// last call, or of all accounts.
func (s *Shares) Totals(all bool) []Total {
	var totals []Total
	for _, a := range s.accounts {
		if a.changed || all && (a.own.Asked > 0 || a.own.Served > 0) {
			a.changed = false
			totals = append(totals, a.own)
		}
	}
	return totals
}

// SetPeer takes the totals of a peer into account. The first totals of an
// incarnation only set the base, since it is unknown when that service was given.
func (s *Shares) SetPeer(now time.Duration, name string, incarnation uint64, totals []Total) {
	p := s.peers[name]
	if p == nil || p.incarnation < incarnation {
		p = &peer{incarnation: incarnation, totals: map[string]Total{}}
		s.peers[name] = p
		for _, t := range totals {
			p.totals[t.Account] = t
		}
		return
	}
	if incarnation < p.incarnation {
		return
	}
	for _, t := range totals {
		old := p.totals[t.Account]
		p.totals[t.Account] = t
		s.add(s.account(now, t.Account), max(t.Asked-old.Asked, 0), t.Served-old.Served)
	}
}

// RemovePeer forgets a peer; its service stays counted until it leaves the window.
func (s *Shares) RemovePeer(name string) { delete(s.peers, name) }

// Served returns the service of an account in the window.
func (s *Shares) Served(now time.Duration, name string) float64 {
	s.advance(now)
	if a := s.accounts[name]; a != nil {
		return a.servedSum
	}
	return 0
}

// Over reports whether the account would get more than its max-min fair share
// with a further request of the given cost. Nobody is over its share while the
// accounts together ask for less than the capacity.
func (s *Shares) Over(now time.Duration, name string, cost float64) bool {
	level := s.Level(now)
	return !math.IsInf(level, 1) && s.Served(now, name)+cost > level
}

// Standing compares an account over its share with the others that are over
// theirs: the mean of their service over its own, squared for one that got more than
// the mean, so that none gets twice as much as another one. What capacity is left
// goes to those with the higher standing.
func (s *Shares) Standing(now time.Duration, name string) float64 {
	level := s.Level(now)
	total, accounts := 0.0, 0
	for _, a := range s.accounts {
		if a.askedSum > level {
			total += a.servedSum
			accounts++
		}
	}
	served := s.Served(now, name)
	if accounts == 0 || total == 0 {
		return 1
	}
	standing := total / float64(accounts) / max(served, 1)
	if standing < 1 {
		standing *= standing
	}
	return min(max(standing, minStanding), maxStanding)
}

// Level returns the service in the window up to which an account is within its
// share; infinite where all get what they ask.
func (s *Shares) Level(now time.Duration) float64 {
	s.advance(now)
	if s.levelSet && now < s.levelTime+levelAge {
		return s.level
	}
	asked := make([]float64, 0, len(s.accounts))
	for _, a := range s.accounts {
		if a.askedSum > 0 {
			asked = append(asked, a.askedSum)
		}
	}
	s.level, s.levelTime, s.levelSet = waterLevel(asked, s.capacity), now, true
	return s.level
}

// waterLevel returns the largest level at which the sum of min(asked, level) stays
// within the capacity; infinite if all that is asked fits.
func waterLevel(asked []float64, capacity float64) float64 {
	if capacity <= 0 {
		return math.Inf(1)
	}
	slices.Sort(asked)
	for i, a := range asked {
		if even := capacity / float64(len(asked)-i); a > even {
			return even
		}
		capacity -= a
	}
	return math.Inf(1)
}

func (s *Shares) account(now time.Duration, name string) *account {
	s.advance(now)
	a := s.accounts[name]
	if a == nil {
		a = &account{own: Total{Account: name}}
		s.accounts[name] = a
	}
	return a
}

func (s *Shares) add(a *account, asked, served float64) {
	i := s.current % buckets
	a.asked[i] += asked
	a.askedSum += asked
	a.served[i] += served
	a.servedSum += served
}

// advance empties the buckets that have left the window.
func (s *Shares) advance(now time.Duration) {
	bucket := int64(now / s.step)
	if bucket <= s.current {
		return
	}
	for _, a := range s.accounts {
		if bucket-s.current >= buckets {
			a.asked, a.served = [buckets]float64{}, [buckets]float64{}
			a.askedSum, a.servedSum = 0, 0
			continue
		}
		for b := s.current + 1; b <= bucket; b++ {
			a.asked[b%buckets], a.served[b%buckets] = 0, 0
		}
		a.askedSum, a.servedSum = sum(a.asked), sum(a.served)
	}
	s.current = bucket
	s.levelSet = false
}

func sum(values [buckets]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
