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
	// LoadsPerSecond is the weight store's limit for the whole fleet; 0 is
	// unlimited.
	LoadsPerSecond float64
	// Lease is how long an ownership may be used after its renewal, and how long a
	// new owner waits where the engine does not refuse old numbers.
	Lease time.Duration
	// Repeat is the time after which an order is sent again if the engine does not
	// report that it acts on it. It has to exceed the lag of the report.
	Repeat time.Duration
	// Backoff is the time before the next step after a failed call.
	Backoff time.Duration
	// ReadPending and ReadSettled are the periods of state reads while a model is
	// missing and otherwise.
	ReadPending, ReadSettled time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Lease = cmp.Or(s.Lease, 3*time.Second)
	s.Repeat = cmp.Or(s.Repeat, 2*time.Second)
	s.Backoff = cmp.Or(s.Backoff, 500*time.Millisecond)
	s.ReadPending = cmp.Or(s.ReadPending, 500*time.Millisecond)
	// Ten engines per daemon at this period cost 5 reads/s, about 3 KB/s.
	s.ReadSettled = cmp.Or(s.ReadSettled, 2*time.Second)
	return s
}

// Orderer keeps the engines of the owned shards loaded. It is not safe for
// concurrent use.
type Orderer struct {
	settings Settings
	engines  map[string]*engine
	bucket   bucket
	owners   int
	renewed  time.Duration
	calls    uint64
}

// New returns an Orderer that owns nothing.
func New(s Settings) *Orderer {
	return &Orderer{settings: s.withDefaults(), engines: map[string]*engine{}}
}

// SetOwned takes the owned engines with the models they should have. It must be
// called again well within a lease. After a gap of more than a lease, in which
// others may have taken over, the daemon counts as a new owner.
func (o *Orderer) SetOwned(now time.Duration, w Ownership) {
	lapsed := w.Renewed > o.renewed+o.settings.Lease
	o.renewed = max(o.renewed, w.Renewed)
	owned := map[string]bool{}
	for _, t := range w.Targets {
		owned[t.ID] = true
		e := o.engines[t.ID]
		switch {
		case e == nil:
			e = &engine{ordered: map[string]time.Duration{}}
			o.engines[t.ID] = e
		case lapsed:
			o.drop(e)
			e.retry = now + o.settings.Lease // membership may be out of date as well
		}
		e.target = t
	}
	for id, e := range o.engines {
		if !owned[id] {
			o.release(e)
			delete(o.engines, id)
		}
	}
	o.share(now, max(w.Owners, 1), w.Rank)
}

// share sets this owner's part of the weight store's rate.
func (o *Orderer) share(now time.Duration, owners, rank int) {
	if owners == o.owners {
		return
	}
	if o.owners == 0 { // the store allows few loads at once after a restart of all daemons
		o.bucket = bucket{tokens: float64(rank) / float64(owners), last: now}
	}
	o.owners = owners
	o.bucket.setRate(now, o.settings.LoadsPerSecond/float64(owners))
}

// Actions returns the calls to make now, and how long to wait for the next ones
// if nothing else happens.
func (o *Orderer) Actions(now time.Duration) (actions []Action, wait time.Duration) {
	next := now + o.settings.ReadSettled
	for _, e := range o.inTurn() {
		if a, ok := o.step(now, e); ok {
			o.calls++
			a.Call, a.Target = o.calls, e.target
			e.pending, e.started = a, now
			actions = append(actions, a)
		}
		next = min(next, o.nextStep(now, e))
	}
	return actions, max(next-now, time.Millisecond)
}

// inTurn returns the engines by the time of their last order, so that an engine
// whose loads fail does not use up the rate.
func (o *Orderer) inTurn() []*engine {
	return slices.SortedFunc(maps.Values(o.engines), func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.target.ID, b.target.ID))
	})
}

// View returns what the owned engines reported last.
func (o *Orderer) View() View {
	v := View{states: make(map[string]State, len(o.engines))}
	for id, e := range o.engines {
		if e.seen {
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
		if !e.seen || !e.complete() {
			n++
		}
	}
	return n
}
