package orderer

import (
	"slices"
	"time"
)

// engine is the state of one owned engine.
type engine struct {
	target Target
	state  State
	seen   bool // state was reported at the last read
	// pending is the call in flight, made at started; its Call is 0 if there is
	// none.
	pending Action
	started time.Duration
	// read is when the state is read next; retry is when the next step of the
	// order may be made.
	read, retry time.Duration
	// order is the current order; its Fence is 0 before the first try to record
	// it, and numbered tells that the row is known to have held it.
	order    Record
	numbered bool
	// row is the last one read; known is false after anything that may change it.
	row   Row
	known bool
	// held tells that this owner has had a number since it took over; open is when
	// it may send its first order to an engine that ignores numbers.
	held bool
	open time.Duration
	// confirmed is when the read began that last found order in the row, until an
	// order is sent.
	confirmed time.Duration
	fresh     bool
	reserved  bool // holds the token of the bucket
	sent      time.Duration
	// ordered is when an order for a model was sent last.
	ordered map[string]time.Duration
}

// missing returns the model that the engine neither has nor loads and that may be
// ordered first, and from when on.
func (e *engine) missing(repeat time.Duration) (model string, from time.Duration, ok bool) {
	for _, m := range e.target.Models {
		if slices.Contains(e.state.Models, m) || slices.Contains(e.state.Loading, m) {
			continue
		}
		var at time.Duration
		if last, sent := e.ordered[m]; sent {
			at = last + repeat
		}
		if !ok || at < from {
			model, from, ok = m, at, true
		}
	}
	return model, from, ok
}

func (e *engine) complete() bool {
	return !slices.ContainsFunc(e.target.Models, func(m string) bool { return !slices.Contains(e.state.Models, m) })
}

// freshness is how long a read of the row allows an order to be sent: less than
// a lease, which a new owner waits after raising the number, so that clocks may
// run at different speeds.
func (o *Orderer) freshness() time.Duration { return o.settings.Lease * 3 / 4 }

// step returns the next call for an engine, if one can be made now.
func (o *Orderer) step(now time.Duration, e *engine) (Action, bool) {
	if e.pending.Call != 0 {
		return Action{}, false
	}
	if now >= e.read {
		return Action{Kind: ActionReadState}, true
	}
	model, from, ok := e.missing(o.settings.Repeat)
	if !ok || !e.seen || now >= o.renewed+o.settings.Lease || now < max(e.retry, from) {
		o.release(e)
		if !ok {
			e.forgetOrder()
		}
		return Action{}, false
	}
	if !o.reserve(now, e) {
		return Action{}, false
	}
	if e.order.Model != model {
		e.forgetOrder()
		e.order = Record{Owner: o.settings.Owner, Order: OrderLoad, Model: model}
	}
	return o.orderStep(now, e)
}

// orderStep returns the next call on the way from a missing model to the order.
func (o *Orderer) orderStep(now time.Duration, e *engine) (Action, bool) {
	switch {
	case !e.numbered && e.known:
		e.order.Fence = max(e.row.Fence, e.state.Fence) + 1
		return Action{Kind: ActionRaise, Record: e.order, Revision: e.row.Revision}, true
	case !e.numbered:
		return Action{Kind: ActionReadRow}, true
	case e.state.RefusesOldFence:
		return o.send(now, e, o.renewed+o.settings.Lease)
	case now < e.open:
		o.release(e)
		return Action{}, false
	case e.fresh && now < e.confirmed+o.freshness():
		return o.send(now, e, min(o.renewed+o.settings.Lease, e.confirmed+o.freshness()))
	}
	return Action{Kind: ActionReadRow}, true
}

func (o *Orderer) send(now time.Duration, e *engine, until time.Duration) (Action, bool) {
	o.bucket.take(now)
	e.reserved, e.fresh = false, false
	e.sent, e.ordered[e.order.Model] = now, now
	return Action{Kind: ActionSend, Record: e.order, Until: until}, true
}

// nextStep returns when step may have an action, unless a reply comes first.
func (o *Orderer) nextStep(now time.Duration, e *engine) time.Duration {
	if e.pending.Call != 0 {
		return now + o.settings.ReadSettled
	}
	_, from, ok := e.missing(o.settings.Repeat)
	if !ok || !e.seen || o.bucket.reserved {
		return e.read
	}
	order := max(e.retry, from, o.bucket.ready(now))
	if e.numbered && !e.state.RefusesOldFence {
		order = max(order, e.open)
	}
	return min(e.read, max(order, now))
}

// Handle takes the reply to an action. A reply to a call from before the engine
// was lost and gained again has no effect.
func (o *Orderer) Handle(now time.Duration, r Reply) {
	e := o.engines[r.Target]
	if e == nil || r.Call == 0 || e.pending.Call != r.Call {
		return
	}
	kind := e.pending.Kind
	e.pending = Action{}
	switch kind {
	case ActionReadState:
		o.handleState(now, e, r)
	case ActionReadRow:
		o.handleRow(now, e, r)
	case ActionRaise:
		o.handleRaise(now, e, r)
	case ActionSend:
		e.read = now // the report tells whether the next model can be ordered
		if r.Result == ResultRefused {
			o.supersede(now, e)
		}
	}
}

func (o *Orderer) handleState(now time.Duration, e *engine, r Reply) {
	e.seen = r.Result == ResultDone
	e.state = r.State
	e.read = now + o.settings.ReadPending
	if !e.seen {
		o.release(e)
	} else if e.complete() {
		e.read = now + o.settings.ReadSettled
	}
}

func (o *Orderer) handleRow(now time.Duration, e *engine, r Reply) {
	switch {
	case r.Result != ResultDone:
		o.backOff(now, e)
	case e.order.Fence != 0 && r.Row.Record == e.order:
		e.confirmed, e.fresh = e.started, true
		if !e.numbered { // the answer to the transaction was lost
			o.numbered(now, e)
		}
	case e.numbered:
		o.supersede(now, e)
	default:
		e.row, e.known = r.Row, true
		// Another owner's number means that it may have orders on the way.
		e.held = e.held && r.Row.Owner == o.settings.Owner
	}
}

func (o *Orderer) handleRaise(now time.Duration, e *engine, r Reply) {
	e.known = false
	if r.Result != ResultDone {
		o.backOff(now, e)
		return
	}
	o.numbered(now, e)
}

// numbered notes that the row has held the current order.
func (o *Orderer) numbered(now time.Duration, e *engine) {
	e.numbered = true
	if !e.held {
		e.held, e.open = true, now+o.settings.Lease
	}
}

// supersede notes that another daemon has raised the number. The wait bounds how
// often two daemons that both take themselves for the owner override each other.
func (o *Orderer) supersede(now time.Duration, e *engine) {
	o.drop(e)
	e.retry = now + o.settings.Lease
}

func (o *Orderer) backOff(now time.Duration, e *engine) {
	o.release(e)
	e.retry = now + o.settings.Backoff
}

// drop forgets the number and any call in flight.
func (o *Orderer) drop(e *engine) {
	o.release(e)
	e.forgetOrder()
	e.pending, e.held = Action{}, false
}

func (e *engine) forgetOrder() {
	e.order, e.numbered, e.known, e.fresh = Record{}, false, false, false
}

func (o *Orderer) reserve(now time.Duration, e *engine) bool {
	e.reserved = e.reserved || o.bucket.reserve(now)
	return e.reserved
}

func (o *Orderer) release(e *engine) {
	if e.reserved {
		o.bucket.reserved = false
		e.reserved = false
	}
}
