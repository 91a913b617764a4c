package controller

import (
	"log/slog"
	"slices"
	"time"

	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/logger"
)

// maxFailedCallAge is the time since the start of a failed call up to which the failure
// shows that the store is unavailable now. A host that was stopped for a while sees the
// failures of calls from before.
const maxFailedCallAge = 2 * time.Second

// EvacuationReport is the state of the evacuated data centres that a daemon knows, as it
// reports it.
type EvacuationReport struct {
	registrar.EvacuationState
	// Known is set if the daemon knows a state.
	Known bool
	// Age is the time since the state is known to have been the newest, at the time of
	// sending.
	Age time.Duration
	// StoreTime is the time of the store's clock at which it was; 0 means unknown.
	StoreTime time.Duration
	// Hops is the number of daemons that forwarded the age.
	Hops int
}

// evacuationKnowledge is what this daemon knows about evacuated data centres. Only the
// goroutine of Run uses it.
type evacuationKnowledge struct {
	// states holds the states of the store, inForce the data centres whose targets get no
	// requests.
	states  *registrar.Evacuations
	inForce []string
	// confirmed is the last confirmation that the state is the newest.
	confirmed confirmation
	// outage is set while the store does not answer and no peer confirms the state, which
	// is then used whatever its age.
	outage bool
	// news is set if inForce has changed since the last report.
	news bool
}

// followsEvacuations reports whether this deployment evacuates data centres.
func (c *Controller) followsEvacuations() bool { return c.options.MaxEvacuationAge > 0 }

// SetEvacuated applies the evacuated data centres that this daemon has read from the store
// with a call that was sent at the given time, by Options.Clock. storeTime is the time of
// the store's clock at the response; 0 means unknown.
func (c *Controller) SetEvacuated(sent, storeTime time.Duration, s registrar.EvacuationState) {
	if c.followsEvacuations() {
		c.events <- evacuationEvent{sent: sent, storeTime: storeTime, state: s}
	}
}

// OperationsFailed records that a call for the operator's table, which was sent at the
// given time, failed.
func (c *Controller) OperationsFailed(sent time.Duration) {
	if c.followsEvacuations() {
		c.events <- operationsFailedEvent{sent}
	}
}

// evacuationEvent delivers a state that this daemon has read from the store.
type evacuationEvent struct {
	sent, storeTime time.Duration
	state           registrar.EvacuationState
}

func (e evacuationEvent) apply(c *Controller, now time.Duration) {
	c.learnEvacuations(now, "store", e.state)
	if !slices.Equal(e.state.DataCentres, c.evacuations.states.State().DataCentres) {
		return // a peer knows a newer state
	}
	confirmed := c.confirmedByStore(e.sent)
	if e.storeTime > 0 {
		// A long poll is answered long after it was sent.
		c.storeClock.RecordReceipt(now, e.storeTime)
		if at, ok := c.storeClock.Local(e.storeTime); ok && at > e.sent {
			confirmed = confirmation{at: min(at, now), storeTime: e.storeTime}
		}
	}
	c.confirmEvacuations(confirmed)
	c.publishFreshness()
}

// operationsFailedEvent records a failed call for the operator's table.
type operationsFailedEvent struct{ sent time.Duration }

func (e operationsFailedEvent) apply(c *Controller, now time.Duration) {
	if now-e.sent <= maxFailedCallAge {
		c.recordEvacuationOutage(now)
		c.publishFreshness()
	}
}

// recordEvacuationOutage records that the store does not answer, unless the state was
// confirmed just now.
func (c *Controller) recordEvacuationOutage(now time.Duration) {
	if now-c.evacuations.confirmed.at >= minOutageAge {
		c.evacuations.outage = true
	}
}

// confirmEvacuations records a confirmation that the known state is the newest.
func (c *Controller) confirmEvacuations(n confirmation) {
	if n.newerThan(c.evacuations.confirmed) {
		c.evacuations.confirmed, c.evacuations.outage = n, false
	}
}

// confirmEvacuationsWhileWatching uses that a pending long poll is answered as soon as the
// operator's table changes: a read of the registry that began after the poll confirms the
// state.
func (c *Controller) confirmEvacuationsWhileWatching() {
	if c.evacuations.confirmed.at > 0 && c.watching.Load() && c.watchingEra.Load() == c.registry.Moment().Era &&
		c.registryConfirmed.hops == 0 && c.registryConfirmed.at >= time.Duration(c.watchingSince.Load()) {
		c.confirmEvacuations(c.registryConfirmed)
	}
}

// learnEvacuations applies a state of the store. source says in the log from where it came.
func (c *Controller) learnEvacuations(now time.Duration, source string, s registrar.EvacuationState) {
	if c.evacuations.states.Apply(now, s) {
		c.updateEvacuations(now, source)
	}
}

// updateEvacuations puts the evacuations in force that are due.
func (c *Controller) updateEvacuations(now time.Duration, source string) {
	e := &c.evacuations
	inForce := e.states.InForce(now)
	if slices.Equal(inForce, e.inForce) {
		return
	}
	log := c.options.Logger.With(slog.String("source", source), slog.Uint64("era", e.states.State().Era), slog.Uint64("revision", e.states.State().Revision))
	for _, name := range inForce {
		if !slices.Contains(e.inForce, name) {
			logger.Emit(log, logger.DataCentreEvacuated, slog.String("dataCentre", name))
		}
	}
	for _, name := range e.inForce {
		if !slices.Contains(inForce, name) {
			logger.Emit(log, logger.DataCentreReopened, slog.String("dataCentre", name))
		}
	}
	e.inForce, e.news = inForce, true
	c.fleet.SetEvacuated(inForce)
	c.setTargets(c.registry.Usable())
}

// comparePeerEvacuations applies the state that a peer knows if it is newer than the own
// one. An equal one may confirm that the own state is the newest.
func (c *Controller) comparePeerEvacuations(now time.Duration, peer string, r EvacuationReport) {
	if !r.Known || !c.followsEvacuations() {
		return
	}
	state := registrar.NewEvacuationState(r.Moment, r.DataCentres)
	c.learnEvacuations(now, peer, state)
	if slices.Equal(state.DataCentres, c.evacuations.states.State().DataCentres) {
		c.confirmEvacuations(c.confirmedByPeer(now, r.Age, r.StoreTime, r.Hops))
	}
}

// evacuationReport returns the state that is reported to the peers.
func (c *Controller) evacuationReport(now time.Duration) EvacuationReport {
	if !c.followsEvacuations() || c.evacuations.confirmed.at == 0 {
		return EvacuationReport{}
	}
	n := c.evacuations.confirmed
	return EvacuationReport{EvacuationState: c.evacuations.states.State(), Known: true, Age: now - n.at, StoreTime: n.storeTime, Hops: n.hops}
}

// evacuationsFresh reports whether the known evacuations are recent enough to send
// requests. A daemon that was cut off or stopped for a while must not use targets that were
// evacuated meanwhile. Without any known state, none may be used.
func (c *Controller) evacuationsFresh(now, confirmedAt time.Duration, outage bool) bool {
	return !c.followsEvacuations() || confirmedAt > 0 && (outage || now-confirmedAt <= c.options.MaxEvacuationAge)
}
