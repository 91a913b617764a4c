package orderer

import (
	"slices"
	"time"
)

// engine is what the Orderer knows of one owned engine. All times are readings
// of the caller's monotonic clock.
type engine struct {
	target Target
	state  State
	// stateKnown is set if the last read of the state succeeded.
	stateKnown bool
	// pending is the call in flight, made at started; its CallID is 0 if there is
	// none.
	pending Action
	started time.Duration
	// nextRead is when the state is read next; retryAt is the earliest time of the
	// next call for the current order.
	nextRead, retryAt time.Duration
	// order is the current order; its Fence is 0 until the first attempt to write it
	// to the row. recorded is set once the row is known to have held it.
	order    Record
	recorded bool
	// row is the last row read; rowKnown is false after any call that may have
	// changed the row.
	row      Row
	rowKnown bool
	// fenceOwned is set once the row has held a fencing number of this owner since
	// it took over the engine. sendFrom is the earliest time of its first order to
	// an engine that ignores fencing numbers.
	fenceOwned bool
	sendFrom   time.Duration
	// confirmedAt is the start of the last read that found order in the row.
	// confirmed is cleared when an order is sent.
	confirmedAt time.Duration
	confirmed   bool
	reserved    bool // holds the bucket's reservation
	lastSent    time.Duration
	// lastOrdered holds, by model, when it was last ordered.
	lastOrdered map[string]time.Duration
}

// nextMissing returns the model that the engine neither has nor loads and that
// may be ordered first, and the time from which it may be ordered.
func (e *engine) nextMissing(resendAfter time.Duration) (model string, from time.Duration, ok bool) {
	for _, m := range e.target.Models {
		if slices.Contains(e.state.Models, m) || slices.Contains(e.state.Loading, m) {
			continue
		}
		var at time.Duration
		if last, sent := e.lastOrdered[m]; sent {
			at = last + resendAfter
		}
		if !ok || at < from {
			model, from, ok = m, at, true
		}
	}
	return model, from, ok
}

func (e *engine) hasAllModels() bool {
	return !slices.ContainsFunc(e.target.Models, func(m string) bool { return !slices.Contains(e.state.Models, m) })
}

// confirmationLifetime is how long after a read of the row an order may be sent.
// A new owner waits a lease after raising the fencing number; this time is
// shorter because the clocks of two daemons may run at different speeds.
func (o *Orderer) confirmationLifetime() time.Duration { return o.settings.Lease * 3 / 4 }

// step returns the next call for an engine, if one can be made now.
func (o *Orderer) step(now time.Duration, e *engine) (Action, bool) {
	if e.pending.CallID != 0 {
		return Action{}, false
	}
	if now >= e.nextRead {
		return Action{Kind: ActionReadState}, true
	}
	model, from, ok := e.nextMissing(o.settings.ResendAfter)
	if !ok || !e.stateKnown || now >= o.renewedAt+o.settings.Lease || now < max(e.retryAt, from) {
		o.release(e)
		if !ok {
			e.discardOrder()
		}
		return Action{}, false
	}
	if !o.reserve(now, e) {
		return Action{}, false
	}
	if e.order.Model != model {
		e.discardOrder()
		e.order = Record{Owner: o.settings.Owner, Order: OrderLoad, Model: model}
	}
	return o.orderStep(now, e)
}

// orderStep returns the next call towards sending the current order: a read of
// the row, a raise of the fencing number, or the order itself.
func (o *Orderer) orderStep(now time.Duration, e *engine) (Action, bool) {
	switch {
	case !e.recorded && e.rowKnown:
		e.order.Fence = max(e.row.Fence, e.state.Fence) + 1
		return Action{Kind: ActionRaiseFence, Record: e.order, Revision: e.row.Revision}, true
	case !e.recorded:
		return Action{Kind: ActionReadRow}, true
	case e.state.RefusesOldFence:
		return o.send(now, e, o.renewedAt+o.settings.Lease)
	case now < e.sendFrom:
		o.release(e)
		return Action{}, false
	case e.confirmed && now < e.confirmedAt+o.confirmationLifetime():
		return o.send(now, e, min(o.renewedAt+o.settings.Lease, e.confirmedAt+o.confirmationLifetime()))
	}
	return Action{Kind: ActionReadRow}, true
}

func (o *Orderer) send(now time.Duration, e *engine, until time.Duration) (Action, bool) {
	o.bucket.take(now)
	e.reserved, e.confirmed = false, false
	e.lastSent, e.lastOrdered[e.order.Model] = now, now
	return Action{Kind: ActionSendOrder, Record: e.order, Deadline: until}, true
}

// nextStep returns the next time at which step may return an action if no reply
// arrives before.
func (o *Orderer) nextStep(now time.Duration, e *engine) time.Duration {
	if e.pending.CallID != 0 {
		return now + o.settings.SettledReadInterval
	}
	_, from, ok := e.nextMissing(o.settings.ResendAfter)
	if !ok || !e.stateKnown || o.bucket.reserved {
		return e.nextRead
	}
	order := max(e.retryAt, from, o.bucket.readyAt(now))
	if e.recorded && !e.state.RefusesOldFence {
		order = max(order, e.sendFrom)
	}
	return min(e.nextRead, max(order, now))
}

// Handle processes the reply to an action. It ignores replies to calls that are
// no longer pending, such as those made before the engine was lost and owned
// again.
func (o *Orderer) Handle(now time.Duration, r Reply) {
	e := o.engines[r.Target]
	if e == nil || r.CallID == 0 || e.pending.CallID != r.CallID {
		return
	}
	kind := e.pending.Kind
	e.pending = Action{}
	switch kind {
	case ActionReadState:
		o.handleState(now, e, r)
	case ActionReadRow:
		o.handleRow(now, e, r)
	case ActionRaiseFence:
		o.handleRaise(now, e, r)
	case ActionSendOrder:
		e.nextRead = now // the engine's state shows whether the next model can be ordered
		if r.Result == ResultRefused {
			o.handleSuperseded(now, e)
		}
	}
}

func (o *Orderer) handleState(now time.Duration, e *engine, r Reply) {
	e.stateKnown = r.Result == ResultDone
	e.state = r.State
	e.nextRead = now + o.settings.PendingReadInterval
	if !e.stateKnown {
		o.release(e)
	} else if e.hasAllModels() {
		e.nextRead = now + o.settings.SettledReadInterval
	}
}

func (o *Orderer) handleRow(now time.Duration, e *engine, r Reply) {
	switch {
	case r.Result != ResultDone:
		o.backOff(now, e)
	case e.order.Fence != 0 && r.Row.Record == e.order:
		e.confirmedAt, e.confirmed = e.started, true
		if !e.recorded { // the response to the transaction was lost
			o.recordOrder(now, e)
		}
	case e.recorded:
		o.handleSuperseded(now, e)
	default:
		e.row, e.rowKnown = r.Row, true
		// Another owner raised the fencing number, so it may have orders in flight.
		e.fenceOwned = e.fenceOwned && r.Row.Owner == o.settings.Owner
	}
}

func (o *Orderer) handleRaise(now time.Duration, e *engine, r Reply) {
	e.rowKnown = false
	if r.Result != ResultDone {
		o.backOff(now, e)
		return
	}
	o.recordOrder(now, e)
}

// recordOrder records that the row has held the current order.
func (o *Orderer) recordOrder(now time.Duration, e *engine) {
	e.recorded = true
	if !e.fenceOwned {
		e.fenceOwned, e.sendFrom = true, now+o.settings.Lease
	}
}

// handleSuperseded abandons the order because another daemon has raised the
// fencing number. The wait limits how often two daemons that both take themselves to be
// the owner supersede each other.
func (o *Orderer) handleSuperseded(now time.Duration, e *engine) {
	o.reset(e)
	e.retryAt = now + o.settings.Lease
}

func (o *Orderer) backOff(now time.Duration, e *engine) {
	o.release(e)
	e.retryAt = now + o.settings.Backoff
}

// reset discards the order, the ownership of the fencing number and any call in
// flight.
func (o *Orderer) reset(e *engine) {
	o.release(e)
	e.discardOrder()
	e.pending, e.fenceOwned = Action{}, false
}

func (e *engine) discardOrder() {
	e.order, e.recorded, e.rowKnown, e.confirmed = Record{}, false, false, false
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
