package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/registrar"
)

const grace = 2 * time.Second

func newEntry(id string, incarnation int64, draining bool) registrar.Entry {
	return registrar.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Incarnation: incarnation, Draining: draining}
}

func newRead(revision uint64, entries []registrar.Entry) registrar.Read {
	return registrar.Read{Moment: registrar.Moment{Era: 1, Revision: revision}, Entries: entries}
}

// usable lists the usable targets as ID/INCARNATION.
func usable(r *registrar.Registry) string {
	text := ""
	for _, e := range r.Usable() {
		text += fmt.Sprintf("%s/%d ", e.ID, e.Incarnation)
	}
	return text
}

// Guards against a daemon that still assumes an outage of the store after others
// have read it: it would use targets of old entries.
func TestConfirmationByPeerEndsOutage(t *testing.T) {
	r := registrar.New(registrar.Settings{Grace: time.Second})
	r.ConfirmByPeer(0)
	r.RecordFailedRead()
	if !r.Outage() {
		t.Error("no outage after a failed read")
	}
	r.ConfirmByPeer(time.Second)
	if r.Outage() {
		t.Error("still an outage although a peer has read the registry")
	}
}

// Guards against requests to a target that has ended, and against losing targets
// whose entries expired only because the store was unavailable.
func TestUsableTargetsFollowRegistryReads(t *testing.T) {
	r := registrar.New(registrar.Settings{Grace: grace})
	steps := []struct {
		name     string
		now      time.Duration
		fail     bool
		revision uint64
		entries  []registrar.Entry
		want     string
	}{
		{"first read", 0, false, 1, []registrar.Entry{newEntry("a", 1, false), newEntry("b", 1, false)}, "a/1 b/1 "},
		{"draining", time.Second, false, 2, []registrar.Entry{newEntry("a", 1, true), newEntry("b", 1, false)}, "b/1 "},
		{"an older read", time.Second, false, 1, []registrar.Entry{newEntry("a", 1, false), newEntry("b", 1, false)}, "b/1 "},
		{"ready again without a restart", 2 * time.Second, false, 3, []registrar.Entry{newEntry("a", 1, false), newEntry("b", 1, false)}, "b/1 "},
		{"restarted under its id", 3 * time.Second, false, 4, []registrar.Entry{newEntry("a", 2, false), newEntry("b", 1, false)}, "a/2 b/1 "},
		{"outage", 4 * time.Second, true, 0, nil, "a/2 b/1 "},
		{"expired during the outage", 9 * time.Second, false, 5, []registrar.Entry{newEntry("a", 2, false)}, "a/2 b/1 "},
		{"still missing after the grace", 11 * time.Second, false, 6, []registrar.Entry{newEntry("a", 2, false)}, "a/2 "},
		{"gone without an outage", 12 * time.Second, false, 7, nil, ""},
	}
	for _, s := range steps {
		if s.fail {
			r.RecordFailedRead()
		} else {
			r.ApplyRead(s.now, newRead(s.revision, s.entries))
		}
		if got := usable(r); got != s.want {
			t.Fatalf("%s: usable %q, want %q", s.name, got, s.want)
		}
	}
}

// Guards against a daemon that has lost its connection to the store and keeps using
// targets that the other daemons have seen leave.
func TestEntriesReadByPeersNeedNoGrace(t *testing.T) {
	r := registrar.New(registrar.Settings{Grace: grace})
	r.ApplyRead(0, newRead(1, []registrar.Entry{newEntry("a", 1, false), newEntry("b", 1, false)}))
	r.RecordFailedRead()
	if !r.ApplyPeerRead(time.Second, newRead(2, []registrar.Entry{newEntry("a", 1, false)})) || usable(r) != "a/1 " || r.Outage() {
		t.Errorf("usable %q, outage %t, want a/1 and no outage", usable(r), r.Outage())
	}
	if r.ApplyPeerRead(time.Second, newRead(1, nil)) || usable(r) != "a/1 " {
		t.Error("entries of an older revision were accepted")
	}
}

// Guards against sending requests to an incarnation after it was seen draining,
// whatever later reads say, and even if its entry was gone in between.
func TestDrainingIsPermanentPerIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registrar.New(registrar.Settings{Grace: grace})
		drained := map[string]bool{}
		now := time.Duration(0)
		for revision := range uint64(30) {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 4).Draw(t, "outage") == 0 {
				r.RecordFailedRead()
				continue
			}
			var list []registrar.Entry
			for _, id := range []string{"a", "b"} {
				if rapid.Bool().Draw(t, "present") {
					list = append(list, newEntry(id, int64(rapid.IntRange(1, 3).Draw(t, "incarnation")), rapid.Bool().Draw(t, "draining")))
				}
			}
			r.ApplyRead(now, newRead(revision, list))
			current := map[string]int64{}
			for _, e := range list {
				current[e.ID] = e.Incarnation
				if e.Draining {
					drained[fmt.Sprint(e.ID, e.Incarnation)] = true
				}
			}
			for _, e := range r.Usable() {
				if i, ok := current[e.ID]; ok && i != e.Incarnation {
					t.Fatalf("%s: incarnation %d is usable, %d was read", e.ID, e.Incarnation, i)
				}
				if drained[fmt.Sprint(e.ID, e.Incarnation)] {
					t.Fatalf("%s is usable although its incarnation %d was seen draining", e.ID, e.Incarnation)
				}
			}
		}
	})
}

// Guards against DRAIN of 2026-12-05: a target that announced its leave otherwise than in
// the registry stays usable, or one that starts again under its ID does not.
func TestDeparturesAreNotUsable(t *testing.T) {
	r := registrar.New(registrar.Settings{Grace: grace})
	leave := registrar.Departure{ID: "a", Incarnation: 1}
	r.ApplyRead(0, newRead(1, []registrar.Entry{newEntry("a", 1, false), newEntry("b", 1, false)}))
	if !r.RecordDeparture(time.Second, leave) || r.RecordDeparture(2*time.Second, leave) {
		t.Error("a departure is news once")
	}
	if got := usable(r); got != "b/1 " {
		t.Errorf("usable %q after the departure of a", got)
	}
	if got := r.RecentDepartures(time.Second); len(got) != 1 || got[0] != leave || len(r.RecentDepartures(time.Second+1)) != 0 {
		t.Errorf("recent departures %v", got)
	}
	r.ApplyRead(3*time.Second, newRead(2, []registrar.Entry{newEntry("a", 1, false), newEntry("b", 1, false)}))
	if got := usable(r); got != "b/1 " {
		t.Errorf("usable %q after a read in which a is ready", got)
	}
	r.ApplyRead(4*time.Second, newRead(3, []registrar.Entry{newEntry("a", 2, false), newEntry("b", 1, false)}))
	if got := usable(r); got != "a/2 b/1 " {
		t.Errorf("usable %q after a has started again", got)
	}
}

// Guards against CONFIG of 2026-12-05: a store that comes back with an older state is
// ignored, or revives targets that have left.
func TestReadsFollowARestoredStore(t *testing.T) {
	r := registrar.New(registrar.Settings{Grace: grace})
	read := func(now time.Duration, era, revision uint64, entries ...registrar.Entry) bool {
		return r.ApplyRead(now, registrar.Read{Moment: registrar.Moment{Era: era, Revision: revision}, Entries: entries})
	}
	a, b, c := newEntry("a", 1, false), newEntry("b", 1, false), newEntry("c", 1, false)
	read(0, 1, 10, a, b)
	read(time.Second, 1, 20, a, c) // b has left, c is new
	for _, s := range []struct {
		name     string
		now      time.Duration
		era      uint64
		revision uint64
		entries  []registrar.Entry
		applied  bool
		want     string
	}{
		{"restored", 2 * time.Second, 2, 11, []registrar.Entry{a, b}, true, "a/1 c/1 "},
		{"late read of the era before", 2 * time.Second, 1, 21, []registrar.Entry{b}, false, "a/1 c/1 "},
		{"written again", 3 * time.Second, 2, 12, []registrar.Entry{a, b, c}, true, "a/1 c/1 "},
		{"settled", 4 * time.Second, 2, 12, []registrar.Entry{a, b, c}, true, "a/1 b/1 c/1 "},
		{"c has left", 5 * time.Second, 2, 13, []registrar.Entry{a, b}, true, "a/1 b/1 "},
		{"c is back, as after an outage of its own", 6 * time.Second, 2, 14, []registrar.Entry{a, b, c}, true, "a/1 b/1 c/1 "},
	} {
		if applied := read(s.now, s.era, s.revision, s.entries...); applied != s.applied || usable(r) != s.want {
			t.Errorf("%s: applied %t, usable %q; want %t, %q", s.name, applied, usable(r), s.applied, s.want)
		}
	}
}

// Guards against an entry that came back with an older state and is never used again,
// because no later read differs from the one before.
func TestRestoredEntriesSettle(t *testing.T) {
	r := registrar.New(registrar.Settings{Grace: grace})
	read := func(era uint64, entries ...registrar.Entry) {
		r.ApplyPeerRead(0, registrar.Read{Moment: registrar.Moment{Era: era, Revision: 1}, Entries: entries})
	}
	a := newEntry("a", 1, false)
	read(1, a)
	read(1)
	read(2, a)
	if r.Settle(grace-1) || usable(r) != "" {
		t.Errorf("usable %q before the store has settled", usable(r))
	}
	if !r.Settle(grace) || usable(r) != "a/1 " || r.Settle(grace) {
		t.Errorf("usable %q after the store has settled", usable(r))
	}
}
