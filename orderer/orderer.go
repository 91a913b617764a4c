package orderer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings of an Orderer. New fills the durations that are 0.
type Settings struct {
	// Owner is unique to one run of one daemon.
	Owner string
	// LoadsPerSecond is the weight store's limit on model loads of the whole fleet;
	// 0 is unlimited.
	LoadsPerSecond float64
	// Lease is how long an ownership may be used after its renewal, and how long a
	// new owner waits before it orders an engine that accepts old fencing numbers.
	Lease time.Duration
	// ResendAfter is the time after which an order is sent again if the engine reports
	// the model neither as loading nor as ready. It must exceed the delay of the report.
	ResendAfter time.Duration
	// Backoff is the time between a failed call for an order and the next one.
	Backoff time.Duration
	// PendingReadInterval is the time between state reads of an engine that lacks a
	// model, SettledReadInterval that of an engine that has all.
	PendingReadInterval, SettledReadInterval time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Lease = cmp.Or(s.Lease, 3*time.Second)
	s.ResendAfter = cmp.Or(s.ResendAfter, 2*time.Second)
	s.Backoff = cmp.Or(s.Backoff, 500*time.Millisecond)
	s.PendingReadInterval = cmp.Or(s.PendingReadInterval, 500*time.Millisecond)
	// Ten engines per daemon at this period cost 5 reads/s, about 3 KB/s.
	s.SettledReadInterval = cmp.Or(s.SettledReadInterval, 2*time.Second)
	return s
}

// Orderer keeps the engines of the owned shards loaded. It is not safe for
// concurrent use.
type Orderer struct {
	settings Settings
	engines  map[string]*engine
	bucket   bucket
	// owners is the number of daemons that share the rate; 0 before SetOwned.
	owners int
	// renewedAt is the newest renewal of the ownership.
	renewedAt time.Duration
	// calls is the CallID of the last action.
	calls uint64
}

// New returns an Orderer that owns nothing.
func New(s Settings) *Orderer {
	return &Orderer{settings: s.withDefaults(), engines: map[string]*engine{}}
}

// SetOwned sets the owned engines with the models they should have. It must be
// called again well within a lease. After more than a lease without a renewal the
// daemon starts over as a new owner, because others may have taken over meanwhile.
func (o *Orderer) SetOwned(now time.Duration, w Ownership) {
	lapsed := w.RenewedAt > o.renewedAt+o.settings.Lease
	o.renewedAt = max(o.renewedAt, w.RenewedAt)
	owned := map[string]bool{}
	for _, t := range w.Targets {
		owned[t.ID] = true
		e := o.engines[t.ID]
		switch {
		case e == nil:
			e = &engine{lastOrdered: map[string]time.Duration{}}
			o.engines[t.ID] = e
		case lapsed:
			o.reset(e)
			e.retryAt = now + o.settings.Lease // membership may be out of date as well
		}
		e.target = t
	}
	for id, e := range o.engines {
		if !owned[id] {
			o.release(e)
			delete(o.engines, id)
		}
	}
	o.setOwners(now, max(w.Owners, 1), w.Rank)
}

// setOwners limits this owner to its share of the weight store's rate.
func (o *Orderer) setOwners(now time.Duration, owners, rank int) {
	if owners == o.owners {
		return
	}
	if o.owners == 0 { // first loads all at once after a restart of all daemons would exceed the rate
		o.bucket = bucket{tokens: float64(rank) / float64(owners), last: now}
	}
	o.owners = owners
	o.bucket.setRate(now, o.settings.LoadsPerSecond/float64(owners))
}

// Actions returns the calls to make now, and how long to wait for the next ones
// if nothing else happens.
func (o *Orderer) Actions(now time.Duration) (actions []Action, wait time.Duration) {
	next := now + o.settings.SettledReadInterval
	for _, e := range o.enginesByLastOrder() {
		if a, ok := o.step(now, e); ok {
			o.calls++
			a.CallID, a.Target = o.calls, e.target
			e.pending, e.started = a, now
			actions = append(actions, a)
		}
		next = min(next, o.nextStep(now, e))
	}
	return actions, max(next-now, time.Millisecond)
}

// enginesByLastOrder returns the engines sorted by the time of their last order,
// oldest first, so that an engine whose loads fail does not use up the rate.
func (o *Orderer) enginesByLastOrder() []*engine {
	return slices.SortedFunc(maps.Values(o.engines), func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.lastSent, b.lastSent), cmp.Compare(a.target.ID, b.target.ID))
	})
}

// View returns what the owned engines reported last.
func (o *Orderer) View() View {
	v := View{states: make(map[string]State, len(o.engines))}
	for id, e := range o.engines {
		if e.stateKnown {
			v.states[id] = e.state
		}
	}
	return v
}

// Missing returns the number of owned engines that lack a model or have not
// reported.
func (o *Orderer) Missing() int {
	n := 0
	for _, e := range o.engines {
		if !e.stateKnown || !e.hasAllModels() {
			n++
		}
	}
	return n
}
