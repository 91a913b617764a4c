package placer

import (
	"maps"
	"slices"
	"time"
)

// SetPeerLoads replaces the loads of a peer by the reported ones. Unless all is set,
// targets that are not listed keep the last load of the peer.
func (f *Fleet) SetPeerLoads(now time.Duration, peer string, loads []Load, all bool) {
	if all {
		for _, t := range f.targets {
			t.removePeerLoad(peer)
		}
	}
	for _, l := range loads {
		if t := f.targetsByKey[l.Target]; t != nil {
			t.setPeerLoad(now, peer, l)
			if l.LimitKnown {
				f.applyLimit(now, t, observedLimit{RequestLimit: l.Limit, known: true, at: now - l.LimitAge})
			}
		}
	}
}

// RemovePeerLoads drops the loads of a peer.
func (f *Fleet) RemovePeerLoads(peer string) {
	for _, t := range f.targets {
		t.removePeerLoad(peer)
	}
}

// TakeLoads returns the loads of this daemon that changed since they were last
// returned, and with all also every other load that is not empty.
func (f *Fleet) TakeLoads(now time.Duration, all bool) []Load {
	if all {
		f.expireFacts(now)
	}
	var loads []Load
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		t := f.targets[id]
		t.expirePeerLoads(now)
		l := t.ownLoadAt(now).Add(f.limitLoad(now, t))
		if l.changedFrom(t.lastReported) || all && !l.Empty() {
			t.lastReported = l
			loads = append(loads, l)
		}
	}
	return loads
}

// Spill says that an engine now caches the shared parts of a prompt although it is
// not the first one in the rendezvous order of the prompt.
type Spill struct {
	Target     string
	PrefixHash uint64
}

// TakeSpills returns the spills of this daemon since the last call.
func (f *Fleet) TakeSpills() []Spill {
	spills := f.unreportedSpills
	f.unreportedSpills = nil
	return spills
}

// AddPeerSpills records the spills that a peer reports.
func (f *Fleet) AddPeerSpills(now time.Duration, spills []Spill) {
	for _, s := range spills {
		if t := f.targets[s.Target]; t != nil && t.engine != nil {
			t.engine.recordPart(now, s.PrefixHash)
		}
	}
}

// RecordFirstEvent records the first event of the answer to a request.
func (f *Fleet) RecordFirstEvent(now time.Duration, id uint64) {
	t := f.targetOfRequest[id]
	if t == nil {
		return
	}
	if r := t.running[id]; r != nil && !r.answered {
		t.markAnswered(r)
		t.setStalled(r, false)
		if t.engine != nil {
			t.engine.recordFirstEvent(now, now-r.started, r.prefillBacklog)
			t.updatePrefillSpeed(now)
		}
	}
	t.health.recordSuccess(now)
}
