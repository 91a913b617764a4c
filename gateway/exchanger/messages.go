package exchanger

import (
	"math"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/messenger"
)

func encodeReport(r controller.Report) messenger.WorkReport {
	state := encodeRegistryState(r.Registry)
	m := messenger.WorkReport{Whole: r.Whole, ConfigVersion: &r.Config.Version, Registry: &state, Evacuations: encodeEvacuations(r.Evacuations)}
	if r.Config.Confirmed {
		age, hops := uint64(max(r.Config.Age.Milliseconds(), 0)), uint64(max(r.Config.Hops, 0))
		m.ConfigAgeMs, m.ConfigHops, m.ConfigStoreMs = &age, &hops, encodeStoreTime(r.Config.StoreTime)
	}
	if len(r.Loads) > 0 {
		m.Work = encodeLoads(r.Loads)
	}
	m.Accounts, m.Recent = encodeTotals(r.Accounts), encodeTotals(r.Recent)
	m.Streams, m.Versions = encodeStreams(r.Streams), encodeHistory(r.Versions)
	if r.Group != "" {
		m.DataCentre = (*string)(&r.Group)
	}
	if r.Total {
		m.Total = &r.Total
	}
	for _, d := range r.Daemons {
		daemon := messenger.DaemonAddress{ID: d.ID, Address: d.Address}
		if d.DataCentre != "" {
			daemon.DataCentre = &d.DataCentre
		}
		m.Daemons = append(m.Daemons, daemon)
	}
	for _, i := range r.Evidence.Incidents {
		m.Incidents = append(m.Incidents, messenger.PartIncident{Part: uint64(i.Part), Crash: uint64(i.Crash), Request: i.Request, AgeMs: uint64(max(i.Age.Milliseconds(), 0))})
	}
	for _, p := range r.Evidence.Proofs {
		m.Proofs = append(m.Proofs, messenger.PartProof{Part: uint64(p.Part), Crash: uint64(p.Crash)})
	}
	for _, d := range r.Departures {
		m.Departures = append(m.Departures, messenger.Departure{ID: d.ID, Incarnation: uint64(d.Incarnation)})
	}
	for _, s := range r.Spills {
		m.Parts = append(m.Parts, messenger.PromptPart{Target: s.Target, Chain: s.PrefixHash})
	}
	return m
}

func decodeReport(m messenger.WorkReport) controller.Report {
	r := controller.Report{Whole: m.Whole, Evacuations: decodeEvacuations(m.Evacuations)}
	if m.ConfigVersion != nil {
		r.Config.Version = *m.ConfigVersion
	}
	if m.ConfigAgeMs != nil && m.ConfigHops != nil {
		r.Config.Confirmed, r.Config.Age, r.Config.Hops = true, decodeAge(*m.ConfigAgeMs), int(min(*m.ConfigHops, maxDecodedCount))
		r.Config.StoreTime = decodeStoreTime(m.ConfigStoreMs)
	}
	if m.Registry != nil {
		r.Registry = decodeRegistryState(*m.Registry)
	}
	if m.DataCentre != nil {
		r.Group = grouper.Group(*m.DataCentre)
	}
	r.Total = m.Total != nil && *m.Total
	for _, d := range m.Daemons {
		daemon := controller.Daemon{ID: d.ID, Address: d.Address}
		if d.DataCentre != nil {
			daemon.DataCentre = *d.DataCentre
		}
		r.Daemons = append(r.Daemons, daemon)
	}
	if m.Work != nil {
		r.Loads = decodeLoads(*m.Work)
	}
	r.Accounts, r.Recent = decodeTotals(m.Accounts), decodeTotals(m.Recent)
	r.Streams, r.Versions = decodeStreams(m.Streams), decodeHistory(m.Versions)
	for _, i := range m.Incidents {
		r.Evidence.Incidents = append(r.Evidence.Incidents, quarantiner.Incident{Part: quarantiner.Part(i.Part), Crash: quarantiner.Crash(i.Crash), Request: i.Request, Age: decodeLongAge(i.AgeMs)})
	}
	for _, d := range m.Departures {
		r.Departures = append(r.Departures, registrar.Departure{ID: d.ID, Incarnation: int64(d.Incarnation)})
	}
	for _, p := range m.Proofs {
		r.Evidence.Proofs = append(r.Evidence.Proofs, quarantiner.Proof{Part: quarantiner.Part(p.Part), Crash: quarantiner.Crash(p.Crash)})
	}
	for _, p := range m.Parts {
		r.Spills = append(r.Spills, placer.Spill{Target: p.Target, PrefixHash: p.Chain})
	}
	return r
}

func encodeRegistryState(s controller.RegistryState) messenger.RegistryMark {
	hops := uint64(max(s.Hops, 0))
	mark := messenger.RegistryMark{Revision: s.Revision, Digest: s.Digest, AgeMs: uint64(max(s.Age.Milliseconds(), 0)), Hops: &hops, StoreMs: encodeStoreTime(s.StoreTime)}
	if s.Era > 0 {
		mark.Era = &s.Era
	}
	return mark
}

// encodeStoreTime converts a time of the store's clock to milliseconds; nil stands for 0,
// an unknown time.
func encodeStoreTime(t time.Duration) *uint64 {
	ms := uint64(max(t.Milliseconds(), 0))
	if ms == 0 {
		return nil
	}
	return &ms
}

func decodeStoreTime(ms *uint64) time.Duration {
	if ms == nil {
		return 0
	}
	return time.Duration(min(*ms, uint64(math.MaxInt64/time.Millisecond))) * time.Millisecond
}

func decodeRegistryState(m messenger.RegistryMark) controller.RegistryState {
	state := controller.RegistryState{Moment: registrar.Moment{Revision: m.Revision}, Digest: m.Digest, Age: decodeAge(m.AgeMs), StoreTime: decodeStoreTime(m.StoreMs)}
	if m.Era != nil {
		state.Era = *m.Era
	}
	if m.Hops != nil {
		state.Hops = int(min(*m.Hops, maxDecodedCount))
	}
	return state
}

// decodeAge converts an age in milliseconds, bounded by maxDecodedDuration.
func decodeAge(milliseconds uint64) time.Duration {
	return time.Duration(min(milliseconds, uint64(maxDecodedDuration/time.Millisecond))) * time.Millisecond
}

// decodeLongAge converts the age of evidence in milliseconds, which matters for longer
// than that of a state of the store.
func decodeLongAge(milliseconds uint64) time.Duration {
	return time.Duration(min(milliseconds, uint64(maxEvidenceAge/time.Millisecond))) * time.Millisecond
}

// maxEvidenceAge is beyond any age at which evidence matters.
const maxEvidenceAge = 48 * time.Hour

// maxDecodedCount bounds decoded numbers of hops; it is beyond any that occurs.
const maxDecodedCount = 1 << 16

// maxDecodedDuration bounds decoded ages and gaps between events; it is beyond any age
// at which a state of the store is of use.
const maxDecodedDuration = time.Hour

func encodeRegistryChange(c controller.RegistryChange) messenger.RegistryChange {
	m := messenger.RegistryChange{Base: c.Base, Mark: encodeRegistryState(controller.RegistryState{Moment: c.Moment, Digest: c.Digest, Age: c.Age, StoreTime: c.StoreTime, Hops: c.Hops}), Gone: c.RemovedIDs}
	for _, e := range c.Entries {
		entry := messenger.RegistryEntry{
			ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
			Incarnation: uint64(e.Incarnation), Slots: uint64(max(e.Slots, 0)), Draining: e.Draining,
		}
		if e.Version != "" {
			entry.Version = &e.Version
		}
		if e.Cold {
			cold := uint64(max(e.WarmUp.Milliseconds(), 0))
			entry.ColdMs = &cold
		}
		m.Entries = append(m.Entries, entry)
	}
	return m
}

func decodeRegistryChange(m messenger.RegistryChange) controller.RegistryChange {
	state := decodeRegistryState(m.Mark)
	c := controller.RegistryChange{Age: state.Age, StoreTime: state.StoreTime, Hops: state.Hops, Change: registrar.Change{Base: m.Base, Digest: state.Digest, Moment: state.Moment, RemovedIDs: m.Gone}}
	for _, e := range m.Entries {
		entry := registrar.Entry{
			ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
			Incarnation: int64(e.Incarnation), Slots: int(min(e.Slots, math.MaxInt32)), Draining: e.Draining,
		}
		if e.Version != nil {
			entry.Version = *e.Version
		}
		if e.ColdMs != nil {
			entry.Cold, entry.WarmUp = true, decodeAge(*e.ColdMs)
		}
		c.Entries = append(c.Entries, entry)
	}
	return c
}

// roundToUint rounds to the nearest integer; negative values become 0.
func roundToUint(v float64) uint64 { return uint64(max(math.Round(v), 0)) }

func encodeTotals(totals []sharer.Total) []messenger.AccountService {
	var services []messenger.AccountService
	for _, t := range totals {
		services = append(services, messenger.AccountService{Account: t.Account, Asked: roundToUint(t.Demand), Served: roundToUint(t.Served)})
	}
	return services
}

func decodeTotals(services []messenger.AccountService) []sharer.Total {
	var totals []sharer.Total
	for _, a := range services {
		totals = append(totals, sharer.Total{Account: a.Account, Demand: float64(a.Asked), Served: float64(a.Served)})
	}
	return totals
}
