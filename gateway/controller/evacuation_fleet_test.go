package controller_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/registrar"
)

// evacuatingFleet is a fleet whose readers read the store and whose other daemons read it
// once at their start.
type evacuatingFleet struct {
	*network
	// state is what the store holds.
	state atomic.Pointer[registrar.EvacuationState]
	// down is set while all calls to the store fail.
	down atomic.Bool
}

// newEvacuatingFleet starts a fleet in which each message waits on its way for a time.
func newEvacuatingFleet(t *testing.T, daemons int, delay time.Duration) *evacuatingFleet {
	t.Helper()
	f := &evacuatingFleet{network: newNetwork()}
	f.maxEvacuationAge, f.delay = maxEvacuationAge, delay
	f.set(evacuations(1, 10))
	f.fill(t, daemons)
	for _, c := range f.nodes {
		f.read(c)
	}
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); f.readUntil(stopped) }()
	t.Cleanup(func() { close(stopped); <-ended })
	for _, c := range f.nodes {
		waitUntil(func() bool { return sends(c) })
	}
	return f
}

func (f *evacuatingFleet) set(s registrar.EvacuationState) { f.state.Store(&s) }

// read lets a daemon read the store.
func (f *evacuatingFleet) read(c *testController) {
	now, state := f.clock(), *f.state.Load()
	c.SetRegistry(now, registrar.Read{Moment: state.Moment, StoreTime: now + time.Hour, Entries: []registrar.Entry{evacuationEntry}})
	c.SetEvacuated(now, now+time.Hour, state)
}

// readUntil lets the readers read the store until the channel is closed.
func (f *evacuatingFleet) readUntil(stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(f.realTime(200 * time.Millisecond)):
		}
		f.mutex.Lock()
		nodes := slices.Collect(maps.Values(f.nodes))
		f.mutex.Unlock()
		for _, c := range nodes {
			switch {
			case f.down.Load():
				c.RegistryFailed(f.clock())
				c.OperationsFailed(f.clock())
			case c.Freshness().Reader:
				f.read(c)
			}
		}
	}
}

// wait waits for a time by the daemons' clocks.
func (f *evacuatingFleet) wait(d time.Duration) { time.Sleep(f.realTime(d)) }

// wantEvacuated checks that no daemon sends requests to the target, and waits until all know
// why.
func (f *evacuatingFleet) wantEvacuated(t *testing.T, when string) {
	t.Helper()
	var wrong atomic.Int64
	var all sync.WaitGroup
	for _, c := range f.nodes {
		all.Go(func() {
			if sends(c) {
				wrong.Add(1)
			}
			waitUntil(func() bool { return c.Stats().Evacuated == 1 })
		})
	}
	all.Wait()
	if wrong.Load() > 0 {
		t.Errorf("%s: %d of %d daemons send requests to the target", when, wrong.Load(), len(f.nodes))
	}
}

// waitReopened waits until all daemons send requests to the target.
func (f *evacuatingFleet) waitReopened() {
	for _, c := range f.nodes {
		waitUntil(func() bool { return sends(c) })
	}
}

// Load: an operator evacuates a data centre and takes it back, while a daemon starts anew
// and the store comes back from an older copy. Guards against daemons of any fleet size that
// learn of it late or never, and against state of the old era that stays in force.
func TestFleetFollowsEvacuations(t *testing.T) {
	for _, daemons := range []int{6, 40, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			f := newEvacuatingFleet(t, daemons, 0)
			f.set(evacuations(1, 20, "d"))
			f.wait(evacuationBound)
			f.wantEvacuated(t, "after the evacuation")
			started := f.network.start(t, daemons-1, daemons, f.began)
			f.read(started)
			f.wait(time.Second)
			f.wantEvacuated(t, "after a daemon has started")
			f.set(evacuations(1, 30))
			f.waitReopened()
			f.set(evacuations(2, 15, "d")) // the copy has the evacuation again
			f.wait(evacuationBound)
			f.wantEvacuated(t, "in a new era")
			f.set(evacuations(2, 16))
			f.waitReopened()
		})
	}
}

// Load: a store that is down for longer than a state may be used. Guards against daemons that
// stop to send requests, forget an evacuation, or use what was evacuated meanwhile once the
// store is back.
func TestFleetKeepsEvacuationsWhileTheStoreIsDown(t *testing.T) {
	for _, daemons := range []int{6, 40, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			f := newEvacuatingFleet(t, daemons, 0)
			f.down.Store(true)
			f.wait(maxEvacuationAge + time.Second)
			f.waitReopened()
			f.set(evacuations(1, 20, "d"))
			f.down.Store(false)
			f.wait(evacuationBound)
			f.wantEvacuated(t, "after the store was down")
			f.down.Store(true)
			f.set(evacuations(1, 30))
			f.wait(maxEvacuationAge + time.Second)
			f.wantEvacuated(t, "while the store is down")
			f.down.Store(false)
			f.waitReopened()
		})
	}
}

// Load: a fleet whose messages all wait for 1.5 s. Guards against daemons that learn of an
// evacuation over so many hops that they send requests after the bound.
func TestFleetWithLateNewsFollowsEvacuations(t *testing.T) {
	for _, daemons := range []int{6, 40, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			f := newEvacuatingFleet(t, daemons, lateNews)
			f.set(evacuations(1, 20, "d"))
			f.wait(evacuationBound)
			f.wantEvacuated(t, "after the evacuation")
		})
	}
}
