package registrar_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/registrar"
)

func coldEntry(incarnation int64, warmUp time.Duration) registrar.Entry {
	e := newEntry("a", incarnation, false)
	e.WarmUp = warmUp
	return e
}

// Guards against a cold target that is taken for warm before its entry says so or its time
// has passed, against a warm one that stays cold for ever because its entry is never
// written again, and against a second cold time of the same start that is missed.
func TestColdTimeFollowsTheEntry(t *testing.T) {
	r := registrar.New(registrar.Settings{Cold: true})
	for i, step := range []struct {
		now, warmUp time.Duration
		incarnation int64
		cold        bool
	}{
		{0, 0, 1, false},
		{1 * time.Second, 20 * time.Second, 2, true},
		{2 * time.Second, 20 * time.Second, 2, true},
		{20 * time.Second, 20 * time.Second, 2, true},
		{21 * time.Second, 20 * time.Second, 2, false}, // not written again since 1 s
		{22 * time.Second, 0, 2, false},
		{23 * time.Second, 9 * time.Second, 2, true},
		{30 * time.Second, 4 * time.Second, 2, true},
		{33 * time.Second, 1 * time.Second, 2, true},
		{34*time.Second - 1, 1 * time.Second, 2, true},
		{34 * time.Second, 0, 2, false},
	} {
		r.ApplyRead(step.now, newRead(uint64(i+1), []registrar.Entry{coldEntry(step.incarnation, step.warmUp)}))
		if cold := r.Entries()[0].Cold; cold != step.cold || len(r.ColdUntil()) > 0 != cold {
			t.Errorf("at %v: cold is %t, want %t; %v", step.now, cold, step.cold, r.ColdUntil())
		}
	}
}

// Guards against daemons without a limit for cold targets whose states of the registry
// differ from those of others, or change more often than before.
func TestColdTargetsAreIgnoredWithoutALimit(t *testing.T) {
	r := registrar.New(registrar.Settings{})
	r.ApplyRead(0, newRead(1, []registrar.Entry{coldEntry(1, time.Minute)}))
	if r.Entries()[0].Cold || len(r.ColdUntil()) > 0 || registrar.Digest(r.Entries()) != registrar.Digest([]registrar.Entry{newEntry("a", 1, false)}) {
		t.Errorf("%+v is cold", r.Entries()[0])
	}
}

// Guards against a daemon that learns of a cold target from a peer and takes it for warm
// too early, or for cold after a peer has read that it is warm.
func TestPeersTellOfColdTargets(t *testing.T) {
	reader, other := registrar.New(registrar.Settings{Cold: true}), registrar.New(registrar.Settings{Cold: true})
	forward := func(now time.Duration, read registrar.Read) {
		before := reader.Entries()
		reader.ApplyRead(now, read)
		change := registrar.Difference(before, reader.Entries(), read.Moment).WithWarmUp(now, reader.ColdUntil())
		if entries, ok := change.Apply(other.Entries()); !ok {
			t.Fatalf("the change at %v does not apply", now)
		} else {
			other.ApplyPeerRead(now+time.Second, registrar.Read{Moment: read.Moment, Entries: entries})
		}
		if registrar.Digest(reader.Entries()) != registrar.Digest(other.Entries()) {
			t.Errorf("the states differ at %v", now)
		}
	}
	forward(0, newRead(1, []registrar.Entry{coldEntry(1, 0)}))
	forward(time.Second, newRead(2, []registrar.Entry{coldEntry(1, 8*time.Second)}))
	d := registrar.Departure{ID: "a", Incarnation: 1}
	if until := other.ColdUntil()[d]; until < 9*time.Second || until > 11*time.Second {
		t.Errorf("cold until %v", until)
	}
	forward(4*time.Second, newRead(3, []registrar.Entry{coldEntry(1, 5*time.Second), newEntry("b", 1, false)}))
	if until := other.ColdUntil()[d]; until < 9*time.Second {
		t.Errorf("cold until %v after a change of another target", until)
	}
	forward(7*time.Second, newRead(4, []registrar.Entry{coldEntry(1, 0), newEntry("b", 1, false)}))
	if len(other.ColdUntil()) > 0 {
		t.Error("still cold although a peer has read that it is warm")
	}
}

// Guards against a target that two readers take for cold again and again, because its
// entry is not written any more and each learns from the other that the target is warm.
func TestUnchangedEntriesDoNotBecomeColdAgain(t *testing.T) {
	readers := []*registrar.Registry{registrar.New(registrar.Settings{Cold: true}), registrar.New(registrar.Settings{Cold: true})}
	for i := range 100 {
		now := time.Duration(i) * 500 * time.Millisecond
		self, other := readers[i%2], readers[(i+1)%2]
		read := newRead(uint64(i+1), []registrar.Entry{coldEntry(1, 20*time.Second)})
		before := self.Entries()
		self.ApplyRead(now, read)
		if change := registrar.Difference(before, self.Entries(), read.Moment).WithWarmUp(now, self.ColdUntil()); len(change.Entries) > 0 {
			if entries, ok := change.Apply(other.Entries()); ok {
				other.ApplyPeerRead(now, registrar.Read{Moment: read.Moment, Entries: entries})
			}
		}
		// The readers have read the entry for the first time within a second of each other.
		switch cold := self.Entries()[0].Cold; {
		case now < 20*time.Second && !cold, now > 21*time.Second && cold:
			t.Fatalf("at %v: cold is %t", now, cold)
		}
	}
}
