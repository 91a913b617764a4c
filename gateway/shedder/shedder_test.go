package shedder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoondeck.example/gateway/shedder"
)

// Load: hosts of different sizes behind a balancer that does not know the sizes.
// Small hosts must take fewer requests at once, within their memory.
func TestLimitFollowsTheMemory(t *testing.T) {
	small, large := shedder.New(120<<20), shedder.New(536<<20)
	if small.Limit() < 500 || small.Limit()*(64<<10) > 96<<20 {
		t.Errorf("limit of the small host is %d requests", small.Limit())
	}
	if large.Limit() < 4*small.Limit() {
		t.Errorf("limit of the large host is %d requests, that of the small host %d", large.Limit(), small.Limit())
	}
	if tiny := shedder.New(1 << 20); tiny.Limit() < 1 {
		t.Error("limit of a tiny host is not positive")
	}
}

// Load: more requests than the processor can serve. The refused share must grow with
// the delay of timers and fall when they are on time again.
func TestRefusedShareFollowsTheLag(t *testing.T) {
	s := shedder.New(0)
	for range 50 {
		s.RecordTimerDelay(time.Second, 5*time.Millisecond)
	}
	if s.RefusedShare() != 0 {
		t.Errorf("an idle host refuses a share of %v", s.RefusedShare())
	}
	last := 0.0
	for _, lag := range []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, time.Second} {
		for range 50 {
			s.RecordTimerDelay(time.Second, lag)
		}
		if s.RefusedShare() <= last {
			t.Errorf("share %v at a lag of %v, not above %v at the lower lag", s.RefusedShare(), lag, last)
		}
		last = s.RefusedShare()
	}
	if last != 1 {
		t.Errorf("a host with a lag of one second refuses a share of %v, want 1", last)
	}
	for range 50 {
		s.RecordTimerDelay(time.Second, 0)
	}
	if s.RefusedShare() != 0 {
		t.Errorf("share %v after the load, want 0", s.RefusedShare())
	}
}

// Load: a flooding account whose callers all reach one host. The host must be
// unready while it stays busy, but not because of a single late timer.
func TestBusyHostBecomesUnready(t *testing.T) {
	s := shedder.New(0)
	now := time.Second
	step := func(delay time.Duration) {
		now += 50 * time.Millisecond
		s.RecordTimerDelay(now, delay)
	}
	step(time.Second)
	for range 10 {
		step(0)
	}
	if s.Unready(now) {
		t.Error("the host is unready after one late timer")
	}
	for range 20 {
		step(200 * time.Millisecond)
	}
	if !s.Unready(now) {
		t.Error("a busy host is not unready")
	}
	for range 120 {
		step(0)
	}
	if s.Unready(now) {
		t.Error("an idle host is still unready")
	}
}

// Load: a flooding account whose callers come back to the same small host each time
// it is ready again, and keep their connections while it is unready. Guards against
// a host that is ready again before the callers have moved, and against closing
// connections while the balancer would send the callers back.
func TestHostStaysUnreadyLongerWhenCallersComeBack(t *testing.T) {
	s := shedder.New(0)
	now, unreadyTimes := time.Second, []time.Duration{}
	for range 5 {
		for !s.Unready(now) {
			now += 50 * time.Millisecond
			s.RecordTimerDelay(now, time.Second)
		}
		if s.ShouldCloseConnections(now) {
			t.Error("connections are closed before the balancer has noticed that the host is unready")
		}
		began := now
		moving := false
		for s.Unready(now) {
			now += 50 * time.Millisecond
			s.RecordTimerDelay(now, 0)
			moving = moving || s.ShouldCloseConnections(now)
		}
		if !moving || s.ShouldCloseConnections(now) {
			t.Errorf("connections closed: %t while the host is unready, %t after it", moving, s.ShouldCloseConnections(now))
		}
		unreadyTimes = append(unreadyTimes, (now - began).Round(time.Second))
	}
	if unreadyTimes[0] != 5*time.Second || unreadyTimes[1] < 2*unreadyTimes[0] || unreadyTimes[4] > 21*time.Second {
		t.Errorf("times for which the host was unready: %v", unreadyTimes)
	}
	now += time.Minute
	for !s.Unready(now) {
		now += 50 * time.Millisecond
		s.RecordTimerDelay(now, time.Second)
	}
	now += 6 * time.Second
	if s.Unready(now) {
		t.Error("the host is still unready for long after a minute without load")
	}
}

// Load: an account floods one host of 0.144 cores with eight times the requests that it
// can serve, for seven seconds, most of them on new connections. Every caller must get
// an answer, within a time in which it still can go to another host, and the host must
// use most of its processor time for requests that it serves.
func TestFloodedHostAnswersEveryCaller(t *testing.T) {
	const (
		// serveCost and refuseCost are in real time on a host of 0.144 cores. The HTTP
		// server would need 1.2 ms for a refusal.
		serveCost  = 8 * time.Millisecond
		refuseCost = 350 * time.Microsecond
		arrival    = time.Second / 1000
		timer      = 50 * time.Millisecond
		flood      = 7 * time.Second
		patience   = 400 * time.Millisecond
		// settled is the time until the refused share has adapted.
		settled    = 1500 * time.Millisecond
		wantServed = int(flood / serveCost / 4)
	)
	s := shedder.New(0)
	random := rand.New(rand.NewPCG(1, 1))
	busyUntil, served, answered, late := time.Duration(0), 0, 0, 0
	nextTimer := timer
	for now := time.Duration(0); now < flood; now += arrival {
		for ; nextTimer <= now; nextTimer += timer {
			s.RecordTimerDelay(nextTimer, max(busyUntil-nextTimer, 0))
		}
		cost := serveCost
		if share := s.RefusedShare(); share >= shedder.MinConnectionShare && random.Float64() < share {
			cost = refuseCost
		} else {
			served++
		}
		busyUntil = max(busyUntil, now) + cost
		answered++
		if now > settled && busyUntil-now > patience {
			late++
		}
	}
	if share := float64(late) / float64(answered); share > 0.05 {
		t.Errorf("%.2f of the callers wait longer than %v for an answer, want at most 0.05", share, patience)
	}
	if served < wantServed {
		t.Errorf("the host served %d requests, want at least %d", served, wantServed)
	}
}
