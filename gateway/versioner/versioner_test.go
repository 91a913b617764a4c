package versioner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/versioner"
)

var (
	v1 = versioner.Origin{Service: "model", Version: "v1"}
	v2 = versioner.Origin{Service: "model", Version: "v2"}
)

// newCertain returns a Versioner that knows of one version, which has always been the only
// one.
func newCertain() *versioner.Versioner {
	v := versioner.New(0)
	v.LearnHistory(0, versioner.History{Age: versioner.MaxStreamAge})
	v.Observe(0, []versioner.Origin{v1})
	return v
}

// Guards against ORDER: a version that is guessed although a stream may have begun at another
// one, and against streams that are refused although there was only one version.
func TestVersionIsCertainOnlyWithoutAnother(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(v *versioner.Versioner)
		at      time.Duration
		certain bool
	}{
		"registry not read yet":     {func(v *versioner.Versioner) { v.LearnHistory(0, versioner.History{Age: time.Hour}) }, time.Second, false},
		"history not known":         {func(v *versioner.Versioner) { v.Observe(0, []versioner.Origin{v1}) }, time.Minute, false},
		"observed for long":         {func(v *versioner.Versioner) { v.Observe(0, []versioner.Origin{v1}) }, versioner.MaxStreamAge, true},
		"new fleet":                 {func(v *versioner.Versioner) { *v = *newCertain() }, 0, true},
		"two versions":              {func(v *versioner.Versioner) { *v = *newCertain(); v.Observe(time.Second, []versioner.Origin{v1, v2}) }, 2 * time.Second, false},
		"another one left just now": {func(v *versioner.Versioner) { *v = *newCertain(); v.Observe(time.Second, []versioner.Origin{v2}) }, time.Minute, false},
		"another one left long ago": {func(v *versioner.Versioner) { *v = *newCertain(); v.Observe(time.Second, []versioner.Origin{v2}) }, time.Second + versioner.MaxStreamAge, true},
		"another one in the store": {func(v *versioner.Versioner) {
			v.LearnHistory(0, versioner.History{Age: time.Hour, Sightings: []versioner.Sighting{{Origin: v2, Age: time.Second}}})
			v.Observe(0, []versioner.Origin{v1})
		}, 0, false},
		"another one in the store, old": {func(v *versioner.Versioner) {
			v.LearnHistory(0, versioner.History{Age: time.Hour, Sightings: []versioner.Sighting{{Origin: v2, Age: time.Hour}}})
			v.Observe(0, []versioner.Origin{v1})
		}, 0, true},
		"another version elsewhere": {func(v *versioner.Versioner) {
			*v = *newCertain()
			v.Observe(time.Second, []versioner.Origin{v1, {Service: "desk", Version: "v2"}})
		}, time.Minute, true},
		"no target, but one not long ago": {func(v *versioner.Versioner) { *v = *newCertain(); v.Observe(time.Second, nil) }, time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			v := versioner.New(0)
			tc.prepare(v)
			o, remembered, ok := v.Find(tc.at, "model", 1, tc.at)
			if ok != tc.certain || remembered || ok && o.Service != "model" {
				t.Errorf("found %+v, remembered %v, certain %v, want certain %v", o, remembered, ok, tc.certain)
			}
		})
	}
}

// Guards against ORDER and LOST: streams that began before the second version appeared are
// known to the daemon that began them only, which may be killed.
func TestStreamsAreReportedFromTheSecondVersionOn(t *testing.T) {
	v, peer := newCertain(), newCertain()
	v.Began(0, 1, v1, 10*time.Second)
	if news := v.TakeNews(0); len(news) != 0 {
		t.Errorf("reported %+v while there is one version", news)
	}
	for _, d := range []*versioner.Versioner{v, peer} {
		d.Observe(time.Second, []versioner.Origin{v1, v2})
	}
	v.Began(time.Second, 2, v2, 10*time.Second)
	peer.Learn(time.Second, v.TakeNews(time.Second))
	if again := v.TakeNews(time.Second); len(again) != 0 {
		t.Errorf("reported %+v twice", again)
	}
	for s, want := range map[versioner.Stream]versioner.Origin{1: v1, 2: v2} {
		if o, remembered, ok := peer.Find(2*time.Second, "model", s, 2*time.Second); !ok || !remembered || o != want {
			t.Errorf("peer finds %+v, %v for stream %d, want %+v", o, ok, s, want)
		}
	}
	if _, _, ok := peer.Find(2*time.Second, "model", 3, 2*time.Second); ok {
		t.Error("peer finds a stream that nobody has begun")
	}
	if news := peer.TakeNews(2 * time.Second); len(news) != 0 {
		t.Errorf("peer passes on %+v, which the relays do", news)
	}
	if _, _, ok := peer.Find(12*time.Second, "model", 1, 12*time.Second); ok {
		t.Error("peer still finds a stream whose caller has left")
	}
	peer.Expire(12 * time.Second)
	if n := peer.Len(); n != 0 {
		t.Errorf("%d streams are remembered, want none", n)
	}
}

// Guards against ORDER: a daemon that is cut off takes the versions that it knows for the only
// ones, and against LOST: streams that it began meanwhile and of which nobody else knows.
func TestVersionsOfAnOldRegistryAreUncertain(t *testing.T) {
	v := versioner.New(2 * time.Second)
	v.LearnHistory(0, versioner.History{Age: versioner.MaxStreamAge})
	v.Observe(0, []versioner.Origin{v1})
	v.Began(0, 1, v1, time.Minute)
	v.Confirm(2*time.Second, 0)
	if _, _, ok := v.Find(2*time.Second, "model", 2, 0); !ok || len(v.TakeNews(2*time.Second)) != 0 {
		t.Error("the version is uncertain although the registry is recent")
	}
	v.Confirm(3*time.Second, 0)
	if _, _, ok := v.Find(3*time.Second, "model", 2, 0); ok {
		t.Error("the version is certain although another one may be in service")
	}
	if news := v.TakeNews(3 * time.Second); len(news) != 1 || len(news[0].Streams) != 1 {
		t.Errorf("reported %+v, want the stream that nobody else knows", news)
	}
	v.Confirm(4*time.Second, 4*time.Second)
	if _, _, ok := v.Find(4*time.Second, "model", 2, 0); !ok {
		t.Error("the version is uncertain although the registry is recent again")
	}
}

// Guards against a version that has just left and that others take for one in service.
func TestVersionThatLeftHasAnAge(t *testing.T) {
	v := newCertain()
	v.Observe(time.Second, []versioner.Origin{v2})
	for _, s := range v.History(time.Second).Sightings {
		if inService := s.Age == 0; inService != (s.Origin == v2) {
			t.Errorf("history has %+v, want only v2 in service", s)
		}
	}
}

// Guards against one client account that changes what is known of the streams of another one.
func TestStreamsOfAccountsDiffer(t *testing.T) {
	if versioner.StreamOf("a", "bc") == versioner.StreamOf("ab", "c") {
		t.Error("streams of two accounts are equal")
	}
}

// Daemons start, are told the history, see versions come and go, and begin streams, in any
// order. Guards against ORDER: a version that a daemon finds for a stream and that is not the
// one that began it.
func TestFoundVersionBeganTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []versioner.Origin{v1, v2, {Service: "model", Version: "v3"}}
		now := time.Duration(0)
		inService := []versioner.Origin{v1}
		daemons := []*versioner.Versioner{newCertain(), newCertain(), newCertain()}
		stored := daemons[0].History(0)
		storedAt := now
		origins, began := map[versioner.Stream]versioner.Origin{}, map[versioner.Stream]time.Duration{}
		for step := range 60 {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // versions come and go; all daemons see it and a reader stores it
				inService = rapid.SliceOfNDistinct(rapid.SampledFrom(versions), 1, 3, func(o versioner.Origin) versioner.Origin { return o }).Draw(t, "versions")
				for _, d := range daemons {
					d.Observe(now, inService)
				}
				stored, storedAt = daemons[0].History(now), now
			case 1: // a daemon begins a stream
				d, s := rapid.SampledFrom(daemons).Draw(t, "daemon"), versioner.Stream(step)
				origins[s], began[s] = rapid.SampledFrom(inService).Draw(t, "origin"), now
				d.Began(now, s, origins[s], time.Minute)
			case 2: // reports arrive
				for _, from := range daemons {
					news := from.TakeNews(now)
					for _, to := range daemons {
						to.Learn(now, news)
					}
				}
			case 3: // a daemon restarts; only what was stored is known then
				i := rapid.IntRange(0, len(daemons)-1).Draw(t, "restarted")
				aged := versioner.History{Age: stored.Age + now - storedAt}
				for _, s := range stored.Sightings {
					if s.Age > 0 {
						s.Age += now - storedAt
					}
					aged.Sightings = append(aged.Sightings, s)
				}
				daemons[i] = versioner.New(0)
				daemons[i].LearnHistory(now, aged)
				daemons[i].Observe(now, inService)
			}
			for s, want := range origins {
				if now-began[s] > time.Minute {
					continue // its caller has left
				}
				for i, d := range daemons {
					if got, _, ok := d.Find(now, "model", s, now); ok && got != want {
						t.Fatalf("daemon %d finds %+v for a stream of %+v", i, got, want)
					}
				}
			}
		}
	})
}

// Load: a release. A daemon has known one version for more than two minutes and is cut off, or
// stands still, for less than a second while targets of another version join. Guards against
// ORDER: it takes the version that it knows for the one of a stream that began meanwhile.
func TestVersionIsCertainOnlyByAReadAfterTheTakeUp(t *testing.T) {
	const joined, arrived = 10*time.Minute + 200*time.Millisecond, 10*time.Minute + 500*time.Millisecond
	find := func(read time.Duration) bool {
		v := versioner.New(1700 * time.Millisecond)
		v.Observe(0, []versioner.Origin{v1})
		v.Confirm(read, read)
		v.ConfirmRead(read)
		_, _, ok := v.Find(arrived+300*time.Millisecond, "model", 1, arrived)
		return ok
	}
	if find(joined - 100*time.Millisecond) {
		t.Error("the version is certain by a read from before the other one joined")
	}
	if find(arrived - time.Millisecond) {
		t.Error("the version is certain by a read from before the take-up arrived")
	}
	if !find(arrived) {
		t.Error("the version is uncertain although no other one was there when the take-up arrived")
	}
}
