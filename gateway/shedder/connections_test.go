package shedder_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoondeck.example/gateway/shedder"
)

// simulatedHost is a host behind a balancer that probes it once a second, removes it after
// two misses and adds it again after one success.
type simulatedHost struct {
	limit *shedder.ConnectionLimit
	// active holds the ends of the requests in progress, idle the starts of the idle times,
	// both in order.
	active, idle []time.Duration
	// idleTime is the time for which connections stay idle.
	idleTime time.Duration
	// ready is the answer to the last probe, misses the number of misses in a row.
	ready  bool
	misses int
	// kept, refused and closed count connections; changes counts the changes of ready.
	kept, refused, closed, changes int
	// refusedSince is the time since which every new connection was refused; 0 for none.
	// longestRefusal is the longest such time during which the host said it was ready.
	refusedSince, longestRefusal time.Duration
	// shortestIdle is the shortest idle time of a connection that was closed.
	shortestIdle time.Duration
}

func newSimulatedHost(limit int, idleTime time.Duration) *simulatedHost {
	return &simulatedHost{limit: shedder.NewConnectionLimit(limit), idleTime: idleTime, ready: true, shortestIdle: time.Hour}
}

func (h *simulatedHost) occupancy(now time.Duration) shedder.Occupancy {
	for len(h.active) > 0 && h.active[0] <= now {
		h.idle, h.active = append(h.idle, h.active[0]), h.active[1:]
	}
	for len(h.idle) > 0 && now-h.idle[0] > h.idleTime {
		h.idle = h.idle[1:]
	}
	o := shedder.Occupancy{Open: len(h.active) + len(h.idle), Idle: len(h.idle)}
	if len(h.idle) > 0 {
		o.LongestIdle = now - h.idle[0]
	}
	return o
}

// connect opens a connection whose only request takes the given time.
func (h *simulatedHost) connect(now, duration time.Duration) {
	o := h.occupancy(now)
	switch h.limit.Admit(now, o) {
	case shedder.Refuse:
		h.refused++
		if h.refusedSince == 0 {
			h.refusedSince = now
		}
		return
	case shedder.Replace:
		h.shortestIdle = min(h.shortestIdle, o.LongestIdle)
		h.idle = h.idle[1:]
		h.closed++
	case shedder.Keep:
	}
	h.kept++
	h.refusedSince = 0
	i, _ := slices.BinarySearch(h.active, now+duration)
	h.active = slices.Insert(h.active, i, now+duration)
}

func (h *simulatedHost) probe(now time.Duration) {
	ready := h.limit.Ready(now, h.occupancy(now))
	if ready != h.ready {
		h.ready = ready
		h.changes++
	}
	if ready {
		h.misses = 0
	} else {
		h.misses++
	}
}

// run connects perSecond times a second until the end, except while the balancer has
// removed the host.
func (h *simulatedHost) run(from, end time.Duration, perSecond int, phase, duration time.Duration) {
	step := time.Second / time.Duration(perSecond)
	nextProbe := from + phase
	for now := from; now < end; now += step {
		if now >= nextProbe {
			h.probe(now)
			nextProbe += time.Second
		}
		if h.misses < 2 {
			h.connect(now, duration)
		}
		if h.ready && h.refusedSince > 0 {
			h.longestRefusal = max(h.longestRefusal, now-h.refusedSince)
		}
	}
}

const siteDescriptors = 4100

// Load: 250 callers a second that each send one request and then keep their connection
// idle for 12 s. Guards against RECOVER: a host that refuses all new connections while it
// has idle ones, or that asks the balancer for no callers although it can serve them.
func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	h := newSimulatedHost(shedder.Divide(siteDescriptors).Callers, 15*time.Second)
	h.run(time.Second, 40*time.Second, 250, 0, 50*time.Millisecond)
	if h.refused > 0 || h.changes > 0 {
		t.Errorf("%d connections were refused, %d changes of readiness, want none", h.refused, h.changes)
	}
	if h.closed == 0 || h.shortestIdle < 5*time.Second {
		t.Errorf("%d connections were closed after at least %v of idle time, want some after 5 s", h.closed, h.shortestIdle)
	}
}

// Load: callers whose requests outlast the test fill a host. Guards against a host that
// says it is ready while it refuses everything, and one that is out of room before the
// balancer has removed it.
func TestFullHostIsUnreadyInTime(t *testing.T) {
	for _, perSecond := range []int{40, 60, 150, 400, 1500} {
		for phase := time.Duration(0); phase < time.Second; phase += 90 * time.Millisecond {
			h := newSimulatedHost(shedder.Divide(siteDescriptors).Callers, 15*time.Second)
			h.run(time.Second, 60*time.Second, perSecond, phase, time.Hour)
			if h.longestRefusal > time.Second {
				t.Errorf("%d a second, phase %v: all connections were refused for %v while the host said it was ready", perSecond, phase, h.longestRefusal)
			}
			if perSecond <= 150 && h.refused > 0 {
				t.Errorf("%d a second, phase %v: %d connections were refused before the balancer removed the host", perSecond, phase, h.refused)
			}
			if h.ready || h.changes != 1 {
				t.Errorf("%d a second, phase %v: ready %t after %d changes, want one change", perSecond, phase, h.ready, h.changes)
			}
		}
	}
}

// Load: a host that is filled again as soon as it is ready. Guards against a host that
// flaps, which the balancer never removes, and against one that is never ready again.
func TestReadinessDoesNotFlap(t *testing.T) {
	h := newSimulatedHost(1000, 15*time.Second)
	h.run(time.Second, 300*time.Second, 100, 0, 20*time.Second)
	if h.changes < 4 || h.changes > 60 {
		t.Errorf("%d changes of readiness in 300 s, want at most one in 5 s, and some", h.changes)
	}
	if h.refused > 0 {
		t.Errorf("%d connections were refused", h.refused)
	}
	for at := 300 * time.Second; at < 340*time.Second; at += time.Second {
		h.probe(at)
	}
	if !h.ready {
		t.Error("an idle host is not ready")
	}
}

// Load: rates, durations and probe phases at random. Guards against a host that says it is
// ready and takes no new connection for 3 s.
func TestReadyHostTakesConnections(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for i := range 60 {
		limit := 20 + random.IntN(5000)
		h := newSimulatedHost(limit, time.Duration(random.IntN(20_000))*time.Millisecond)
		phase, now := time.Duration(random.IntN(1000))*time.Millisecond, time.Second
		var trace []string
		for range 6 {
			perSecond, duration := 1+random.IntN(800), time.Duration(random.IntN(30_000))*time.Millisecond
			trace = append(trace, fmt.Sprintf("%d/s of %v", perSecond, duration))
			h.run(now, now+10*time.Second, perSecond, phase, duration)
			now += 10 * time.Second
		}
		if h.longestRefusal >= 1500*time.Millisecond {
			t.Errorf("run %d, limit %d, %v: ready while all connections were refused for %v", i, limit, trace, h.longestRefusal)
		}
	}
}

// Guards against a connection that is closed between two requests that follow each other,
// and against more closing connections than there are descriptors for.
func TestAdmissionAtTheLimit(t *testing.T) {
	const limit = 160
	for name, c := range map[string]struct {
		occupancy shedder.Occupancy
		want      shedder.Admission
	}{
		"below the limit":            {shedder.Occupancy{Open: limit - 1, Idle: limit - 1, LongestIdle: time.Hour}, shedder.Keep},
		"at the limit with an idle":  {shedder.Occupancy{Open: limit, Idle: 1, LongestIdle: time.Second}, shedder.Replace},
		"idle for a moment":          {shedder.Occupancy{Open: limit, Idle: 9, LongestIdle: time.Millisecond}, shedder.Refuse},
		"no idle connection":         {shedder.Occupancy{Open: limit}, shedder.Refuse},
		"one is about to close":      {shedder.Occupancy{Open: limit, Idle: 1, Closing: 1, LongestIdle: time.Second}, shedder.Keep},
		"closing ones were replaced": {shedder.Occupancy{Open: limit + 3, Idle: 1, Closing: 3, LongestIdle: time.Second}, shedder.Replace},
		"too many are about to":      {shedder.Occupancy{Open: limit + 10, Idle: 1, Closing: 10, LongestIdle: time.Second}, shedder.Refuse},
	} {
		if got := shedder.NewConnectionLimit(limit).Admit(time.Second, c.occupancy); got != c.want {
			t.Errorf("%s: admission %v, want %v", name, got, c.want)
		}
	}
	if unlimited := shedder.NewConnectionLimit(0); unlimited.Admit(0, shedder.Occupancy{Open: 1 << 20}) != shedder.Keep || !unlimited.Ready(0, shedder.Occupancy{Open: 1 << 20}) {
		t.Error("a host that does not know its descriptors refuses connections")
	}
}

// Guards against EMFILE: connections of callers, refused connections and connections to
// targets that together need more descriptors than the process has.
func TestDescriptorsAreDividedOnce(t *testing.T) {
	for _, descriptors := range []int{3075, 4100, 10_250} {
		b := shedder.Divide(descriptors)
		const files, closing = 200, 1.0 / 16
		if sum := b.Callers + int(closing*float64(b.Callers)) + b.Refused + b.Targets + files; sum > descriptors {
			t.Errorf("%d descriptors are divided into %+v, which needs %d", descriptors, b, sum)
		}
		if b.Callers < int(0.45*float64(descriptors)) || b.Targets < b.Callers/2 {
			t.Errorf("%d descriptors are divided into %+v", descriptors, b)
		}
	}
	if b := shedder.Divide(0); b.Callers != 0 || b.Targets != 0 || b.Refused <= 0 {
		t.Errorf("unknown descriptors are divided into %+v", b)
	}
}
