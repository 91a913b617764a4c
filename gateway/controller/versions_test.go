package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/versioner"
	"monsoondeck.example/gateway/watcher"
)

// twoVersions is a state of the registry with targets of two software versions.
func twoVersions(revision uint64) registrar.Read {
	read := registrar.Read{Moment: registrar.Moment{Revision: revision}}
	for i, version := range []string{"v1", "v2"} {
		read.Entries = append(read.Entries, registrar.Entry{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint("127.0.0.1:", i+1), DataCentre: "d", Version: version, Slots: 2})
	}
	return read
}

// Load: a large fleet, with relays, and two software versions. Guards against ORDER and LOST:
// a stream of which only the daemon knows that has begun it, also if it began before the
// second version appeared.
func TestLargeFleetKnowsTheStreamsOfTwoVersions(t *testing.T) {
	const daemons = 40
	n := startFleet(t, daemons)
	old := versioner.Origin{Service: "s"} // the registry of the fleet has targets without a version
	n.nodes[daemonName(0)].BeganStream(1, old, time.Hour)
	for _, c := range n.nodes {
		c.SetRegistry(n.clock(), twoVersions(2))
	}
	n.nodes[daemonName(1)].BeganStream(2, versioner.Origin{Service: "s", Version: "v2"}, time.Hour)
	for i := range daemons {
		c := n.nodes[daemonName(i)]
		for s, want := range map[versioner.Stream]versioner.Origin{1: old, 2: {Service: "s", Version: "v2"}} {
			waitUntil(func() bool {
				o := c.FindStream(context.Background(), "s", s)
				return o.Known && o.Remembered && o.Origin == want
			})
		}
		if o := c.FindStream(context.Background(), "s", 3); o.Known {
			t.Fatalf("%s finds %+v for a stream that nobody has begun", daemonName(i), o)
		}
	}
}

// Guards against ORDER after a mass restart: a daemon that guesses because it does not know
// which versions were in service before its start, and against LOST: one that has read them
// and still refuses.
func TestStartedDaemonKnowsWhatIsStored(t *testing.T) {
	v1 := versioner.Origin{Service: "s"} // the version of the target that start registers
	history := func(sightings ...versioner.Sighting) watcher.StoredVersions {
		return watcher.StoredVersions{Stored: true, History: versioner.History{Age: versioner.MaxStreamAge, Sightings: append(sightings, versioner.Sighting{Origin: v1})}}
	}
	for name, tc := range map[string]struct {
		stored watcher.StoredVersions
		known  bool
	}{
		"nothing":             {watcher.StoredVersions{}, false},
		"one version":         {history(), true},
		"another one":         {history(versioner.Sighting{Origin: versioner.Origin{Service: "s", Version: "v2"}}), false},
		"one that left":       {history(versioner.Sighting{Origin: versioner.Origin{Service: "s", Version: "v2"}, Age: time.Second}), false},
		"another service":     {history(versioner.Sighting{Origin: versioner.Origin{Service: "desk", Version: "v2"}}), true},
		"a later era is lost": {watcher.StoredVersions{Stored: true, History: versioner.History{Sightings: []versioner.Sighting{{Origin: v1}}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t)
			c.LearnVersions(tc.stored)
			c.LearnVersions(watcher.StoredVersions{Streams: []versioner.Batch{{Origin: v1, Left: time.Minute, Streams: []versioner.Stream{7}}}})
			if o := c.FindStream(context.Background(), "s", 7); !o.Remembered || o.Origin != v1 {
				t.Errorf("found %+v for a stored stream, want %+v", o, v1)
			}
			if o := c.FindStream(context.Background(), "s", 8); o.Known != tc.known {
				t.Errorf("found %+v for a stream that is not stored, want known %v", o, tc.known)
			}
		})
	}
}

// Load: a release. A daemon that has known one version for more than two minutes does not hear
// of the registry while targets of another version join. A stream that began at one of these
// through another daemon breaks and is taken up at this one. Guards against ORDER: the stream
// goes on at the version that the daemon knows.
func TestDaemonOutOfStepDoesNotGuessTheVersion(t *testing.T) {
	old := versioner.Origin{Service: "s"}
	for name, tc := range map[string]struct {
		// read is the state of the registry that the daemon reads once it is back in step.
		read  registrar.Read
		known bool
	}{
		"another version has joined": {twoVersions(2), false},
		"none has joined":            {registrar.Read{Moment: registrar.Moment{Revision: 2}, Entries: []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			clock := func() time.Duration { return 10*time.Minute + time.Since(began) }
			c := start(t, func(o *controller.Options) { o.Clock, o.MaxRegistryAge = clock, time.Minute })
			c.LearnVersions(watcher.StoredVersions{Stored: true, History: versioner.History{Age: versioner.MaxStreamAge, Sightings: []versioner.Sighting{{Origin: old}}}})
			one := registrar.Read{Moment: registrar.Moment{Revision: 1}, Entries: []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}}}
			c.SetRegistry(clock(), one)
			// A read that is sent before the take-up arrives and answered after it.
			sent := clock()
			found := make(chan receiver.StreamOrigin, 1)
			go func() { found <- c.FindStream(context.Background(), "s", 1) }()
			waitUntil(func() bool { return c.Freshness().RegistryWantedAt > 0 || len(found) > 0 })
			c.SetRegistry(sent, one)
			time.Sleep(50 * time.Millisecond)
			if len(found) > 0 {
				t.Fatalf("found %+v by a read that was sent before the take-up arrived", <-found)
			}
			c.SetRegistry(clock(), tc.read)
			if o := <-found; o.Known != tc.known || o.Known && o.Origin != old {
				t.Errorf("found %+v after a read, want known %v", o, tc.known)
			}
			if f := c.Freshness(); f.RegistryReadAt < f.RegistryWantedAt {
				t.Errorf("a read is still wanted: %+v", f)
			}
		})
	}
}

// Guards against ORDER: a peer that passes on an age without the time of the store's clock, or
// whose message waited while this daemon stood still, confirms the version of a stream.
func TestVersionIsNotConfirmedByAnAgeAlone(t *testing.T) {
	began := time.Now()
	clock := func() time.Duration { return 10*time.Minute + time.Since(began) }
	c := start(t, func(o *controller.Options) { o.Clock, o.MaxRegistryAge = clock, time.Minute })
	c.LearnVersions(watcher.StoredVersions{Stored: true, History: versioner.History{Age: versioner.MaxStreamAge, Sightings: []versioner.Sighting{{Origin: versioner.Origin{Service: "s"}}}}})
	entries := []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}}
	c.SetRegistry(clock(), registrar.Read{Moment: registrar.Moment{Revision: 2}, StoreTime: time.Hour, Entries: entries})
	state := controller.RegistryState{Moment: registrar.Moment{Revision: 2}, Digest: registrar.Digest(entries)}
	report := func() {
		c.Received(controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{Whole: true, Registry: state}})
	}
	found := make(chan receiver.StreamOrigin, 1)
	go func() { found <- c.FindStream(context.Background(), "s", 1) }()
	waitUntil(func() bool { return c.Freshness().RegistryWantedAt > 0 || len(found) > 0 })
	report() // just now, by its age
	time.Sleep(50 * time.Millisecond)
	if len(found) > 0 {
		t.Fatalf("found %+v by an age without a time of the store's clock", <-found)
	}
	state.StoreTime = time.Hour + time.Minute // of a call long after the take-up
	report()
	time.Sleep(50 * time.Millisecond)
	if len(found) > 0 {
		t.Fatalf("found %+v although the clock of this daemon stood still", <-found)
	}
	c.SetRegistry(clock(), registrar.Read{Moment: registrar.Moment{Revision: 2}, StoreTime: time.Hour + 2*time.Minute, Entries: entries})
	if o := <-found; !o.Known {
		t.Errorf("found %+v after an own read", o)
	}
}
