package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

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
