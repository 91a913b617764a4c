package shedder_test

import (
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
		s.Lag(time.Second, 5*time.Millisecond)
	}
	if s.Share() != 0 {
		t.Errorf("an idle host refuses a share of %v", s.Share())
	}
	last := 0.0
	for _, lag := range []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, time.Second} {
		for range 50 {
			s.Lag(time.Second, lag)
		}
		if s.Share() <= last {
			t.Errorf("share %v at a lag of %v, not above %v at the lower lag", s.Share(), lag, last)
		}
		last = s.Share()
	}
	if last != 1 {
		t.Errorf("a host with a lag of one second refuses a share of %v, want 1", last)
	}
	for range 50 {
		s.Lag(time.Second, 0)
	}
	if s.Share() != 0 {
		t.Errorf("share %v after the load, want 0", s.Share())
	}
}

// Load: a flooding account whose callers all reach one host. The host must rest
// while it stays busy, but not because of a single late timer.
func TestBusyHostRests(t *testing.T) {
	s := shedder.New(0)
	now := time.Second
	step := func(delay time.Duration) {
		now += 50 * time.Millisecond
		s.Lag(now, delay)
	}
	step(time.Second)
	for range 10 {
		step(0)
	}
	if s.Resting(now) {
		t.Error("the host rests after one late timer")
	}
	for range 20 {
		step(200 * time.Millisecond)
	}
	if !s.Resting(now) {
		t.Error("a busy host does not rest")
	}
	for range 120 {
		step(0)
	}
	if s.Resting(now) {
		t.Error("an idle host still rests")
	}
}

// Load: a flooding account whose callers come back to the same small host after each
// rest, and keep their connections during it. Guards against rests that end before
// the callers have moved, and against closing connections while the balancer would
// send the callers back.
func TestHostRestsLongerWhenCallersComeBack(t *testing.T) {
	s := shedder.New(0)
	now, rests := time.Second, []time.Duration{}
	for range 5 {
		for !s.Resting(now) {
			now += 50 * time.Millisecond
			s.Lag(now, time.Second)
		}
		if s.Moving(now) {
			t.Error("connections are closed before the balancer has noticed the rest")
		}
		began := now
		moving := false
		for s.Resting(now) {
			now += 50 * time.Millisecond
			s.Lag(now, 0)
			moving = moving || s.Moving(now)
		}
		if !moving || s.Moving(now) {
			t.Errorf("connections closed: %t during the rest, %t after it", moving, s.Moving(now))
		}
		rests = append(rests, (now - began).Round(time.Second))
	}
	if rests[0] != 5*time.Second || rests[1] < 2*rests[0] || rests[4] > 21*time.Second {
		t.Errorf("durations of rests: %v", rests)
	}
	now += time.Minute
	for !s.Resting(now) {
		now += 50 * time.Millisecond
		s.Lag(now, time.Second)
	}
	now += 6 * time.Second
	if s.Resting(now) {
		t.Error("the rest is still long after a minute without load")
	}
}
