package placer

import (
	"maps"
	"slices"
	"time"
)

// SetPeer takes the loads that another daemon reports. Targets that are not
// listed are unchanged.
func (f *Fleet) SetPeer(now time.Duration, peer string, loads []Load, all bool) {
	if all {
		for _, t := range f.targets {
			t.removePeer(peer)
		}
	}
	for _, l := range loads {
		if t := f.keys[l.Target]; t != nil {
			t.setPeer(now, peer, l)
		}
	}
}

// RemovePeer forgets the loads of another daemon.
func (f *Fleet) RemovePeer(peer string) {
	for _, t := range f.targets {
		t.removePeer(peer)
	}
}

// Loads returns the work of this daemon at the targets where it changed since
// the last call, or at all targets with work.
func (f *Fleet) Loads(now time.Duration, all bool) []Load {
	var loads []Load
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		t := f.targets[id]
		t.expire(now)
		l := t.current(now)
		if l.differs(t.reported) || all && !l.Empty() {
			t.reported = l
			loads = append(loads, l)
		}
	}
	return loads
}

// Spill tells that an engine now keeps the shared parts of a prompt although
// another one comes first for it.
type Spill struct {
	Target string
	Chain  uint64
}

// Spills returns the spills of this daemon since the last call.
func (f *Fleet) Spills() []Spill {
	spills := f.spills
	f.spills = nil
	return spills
}

// SetSpills takes the spills that another daemon reports.
func (f *Fleet) SetSpills(now time.Duration, spills []Spill) {
	for _, s := range spills {
		if t := f.targets[s.Target]; t != nil && t.engine != nil {
			t.engine.bring(now, s.Chain)
		}
	}
}

// FirstEvent notes that the answer to a request began.
func (f *Fleet) FirstEvent(now time.Duration, id uint64) {
	t := f.placed[id]
	if t == nil {
		return
	}
	if r := t.running[id]; r != nil && !r.answered {
		t.answer(r)
		t.stall(r, false)
		if t.engine != nil {
			t.engine.learn(now, now-r.started, r.ahead)
			t.estimateSpeed(now)
		}
	}
	t.health.succeed(now)
}
