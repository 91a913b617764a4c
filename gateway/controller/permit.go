package controller

import (
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
)

// permit implements receiver.Permit for one request that waits or is at a target.
type permit struct {
	controller *Controller
	demand     receiver.Demand
	// decisionCh receives the decision of the queue; Wait stores it in decision.
	decisionCh chan queuer.Decision
	decision   queuer.Decision
	// decidedAt is the time of the decision; it is set before the decision is sent.
	decidedAt time.Duration

	// The fields below are only accessed by the goroutine of Controller.Run.

	// target is the chosen target; empty if there is none.
	target registrar.Entry
	// began is set once the answer has begun, at beganAt; proven is set once the answer
	// has proved that the prompt does not crash its target.
	began, proven bool
	beganAt       time.Duration
	// trial is set if the request is let through although a part of its prompt is in
	// quarantine.
	trial bool
}

// decide passes a decision to the waiting request.
func (p *permit) decide(now time.Duration, d queuer.Decision) {
	p.decidedAt, p.target = now, d.Choice.Target
	p.decisionCh <- d
}

// Decision implements receiver.Permit.
func (p *permit) Decision() queuer.Decision { return p.decision }

// Age implements receiver.Permit.
func (p *permit) Age() time.Duration { return p.controller.options.Clock() - p.decidedAt }

// TargetUsable implements receiver.Permit.
func (p *permit) TargetUsable() bool {
	c, t, sendBy := p.controller, p.decision.Choice.Target, p.decision.Choice.SendBy
	start, ok := (*c.usableTargets.Load())[t.ID]
	f := c.freshness.Load()
	now := c.options.Clock()
	return ok && (sendBy == 0 || now <= sendBy) && start == placer.StartOf(t) && (f.RegistryOutage || c.recentEnough(now, f.RegistryConfirmedAt)) &&
		c.evacuationsFresh(now, f.EvacuationsConfirmedAt, f.EvacuationOutage)
}

// FirstEvent implements receiver.Permit.
func (p *permit) FirstEvent() { p.controller.events <- answerStartEvent{p} }

// Progress implements receiver.Permit.
func (p *permit) Progress(events int, elapsed time.Duration) {
	p.controller.events <- progressEvent{p, events, elapsed}
}

// ObserveLimit implements receiver.Permit. That there is no limit is only news of a
// target that had one.
func (p *permit) ObserveLimit(l placer.RequestLimit) {
	if l.Limited || p.decision.Choice.Limited {
		p.controller.events <- limitEvent{p.decision.Choice.Target.ID, l}
	}
}

// ObserveClosure implements receiver.Permit.
func (p *permit) ObserveClosure(closedFor time.Duration) {
	c, t := p.controller, p.decision.Choice.Target
	until := c.options.Clock() + closedFor
	c.events <- closureEvent{t, until}
}

// ObserveLeave implements receiver.Permit.
func (p *permit) ObserveLeave() {
	t := p.decision.Choice.Target
	p.controller.events <- leaveEvent{registrar.Departure{ID: t.ID, Incarnation: t.Incarnation}}
}

// SetStalled implements receiver.Permit.
func (p *permit) SetStalled(stalled bool) { p.controller.events <- stallEvent{p, stalled} }

// End implements receiver.Permit.
func (p *permit) End(r placer.Result) { p.controller.events <- endEvent{p, r} }
