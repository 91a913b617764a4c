package placer_test

import (
	"fmt"
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// newVersionedFleet returns a fleet of engines, one in a number of which has version v2 and
// the others v1.
func newVersionedFleet(engines, oneIn int, copySpeed float64) *placer.Fleet {
	f := placer.New(placer.Settings{DataCentre: "d0", Policy: placer.ShortestExpectedTime})
	f.SetTargets(versionedEntries(engines, oneIn))
	f.SetConfig(resolver.New(resolver.Content{
		Services: []resolver.Service{{Name: "model", Engine: &resolver.Engine{Slots: 64, MemoryTokens: 400000, EventTokens: 6, CopySpeed: copySpeed}}},
		Limits:   resolver.Limits{TokensPerSecond: float64(engines) * speed * 1000},
	}))
	return f
}

func versionedEntries(engines, oneIn int) []registrar.Entry {
	var entries []registrar.Entry
	for i := range engines {
		version := "v1"
		if i%oneIn == 0 {
			version = "v2"
		}
		entries = append(entries, registrar.Entry{ID: fmt.Sprint("e", i), Service: "model", Address: fmt.Sprint("127.0.0.1:", 1000+i), DataCentre: "d0", Version: version, Slots: 64})
	}
	return entries
}

// Guards against ORDER: streams that go on at another software version, also in a service
// with so many targets that requests are assessed at a sample of them, and when those of the
// version are busy.
func TestOnlyTargetsOfTheVersionAreChosen(t *testing.T) {
	for _, engines := range []int{10, 400} {
		f := newVersionedFleet(engines, 10, 0)
		for i := range 60 {
			r := newPrompt("subject", 1000, 3000)
			r.Version = placer.OnlyVersion("v2")
			c, ok := f.Choose(0, r, placer.Constraints{FirstEventBudget: time.Second})
			if !ok || c.Target.Version != "v2" {
				t.Fatalf("%d engines: request %d goes to %+v, found %v, want an engine with v2", engines, i, c.Target, ok)
			}
			f.RecordStart(0, r, c)
		}
		r := newPrompt("subject", 1000, 3000)
		r.Version = placer.OnlyVersion("v3")
		if c, ok := f.Choose(0, r, placer.Constraints{FirstEventBudget: time.Second}); ok {
			t.Errorf("%d engines: a request for a version without targets goes to %+v", engines, c.Target)
		}
		if n := f.TargetsAllowed(r); n != 0 {
			t.Errorf("%d engines: %d are allowed for a version without targets", engines, n)
		}
	}
}

// Guards against copies of memory between engines of different software versions.
func TestMemoryIsCopiedWithinAVersion(t *testing.T) {
	f := newVersionedFleet(20, 2, 20*speed)
	now, copies := time.Duration(0), 0
	versions := map[string]string{}
	for _, e := range versionedEntries(20, 2) {
		versions[e.Address] = e.Version
	}
	for i := range 200 {
		now += 30 * time.Millisecond
		r := newPrompt(fmt.Sprint("subject", i%8), 3000, 6000)
		c, ok := f.Choose(now, r, placer.Constraints{FirstEventBudget: time.Second, Waited: time.Second})
		if !ok {
			continue
		}
		f.RecordStart(now, r, c)
		f.RecordFirstEvent(now, r.ID)
		if c.CopySource == "" {
			continue
		}
		copies++
		if versions[c.CopySource] != c.Target.Version {
			t.Fatalf("request %d copies from %s (%s) to %s (%s)", i, c.CopySource, versions[c.CopySource], c.Target.ID, c.Target.Version)
		}
	}
	if copies == 0 {
		t.Error("no memory was copied")
	}
}

// Guards against ORDER: a target that restarts under its ID with another version, whose
// permit is still used.
func TestChangedVersionIsAnotherStart(t *testing.T) {
	f := newVersionedFleet(10, 10, 0)
	before := f.Sendable()["e1"]
	entries := versionedEntries(10, 10)
	entries[1].Version = "v9"
	f.SetTargets(entries)
	if after := f.Sendable()["e1"]; after == before || after.Version != "v9" {
		t.Errorf("start %+v after the change, %+v before", after, before)
	}
}

// Guards against LOST: the engines of a small version are busy, and streams that began there
// are kept from them by the limits that spread new requests.
func TestStreamContinuesAtABusyEngine(t *testing.T) {
	f := newVersionedFleet(10, 10, 0)
	request := func() placer.Request {
		r := newPrompt("subject", 3000, 100)
		r.Version, r.MaxMeanEventGap = placer.OnlyVersion("v2"), 20*time.Millisecond
		return r
	}
	running := request()
	c, _ := f.Choose(0, running, placer.Constraints{FirstEventBudget: time.Second})
	f.RecordStart(0, running, c)
	f.RecordFirstEvent(100*time.Millisecond, running.ID)
	f.RecordEvents(400*time.Millisecond, running.ID, 5, 300*time.Millisecond) // 60 ms between events
	now := 410 * time.Millisecond
	if c, ok := f.Choose(now, request(), placer.Constraints{FirstEventBudget: time.Second}); !ok || c.Fits {
		t.Fatalf("a new request gets %+v, found %v, want an engine that it does not fit", c, ok)
	}
	if c, ok := f.Choose(now, request(), placer.Constraints{FirstEventBudget: time.Second, Continues: true}); !ok || !c.Fits || c.Target.Version != "v2" {
		t.Errorf("a stream that continues gets %+v, found %v, want the engine of its version", c, ok)
	}
}
