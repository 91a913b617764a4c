package shedder_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/shedder"
)

// Load: hosts of different size behind a balancer that does not know. Small ones
// take fewer requests at once, and the memory of all stays within the limit.
func TestLimitFollowsTheMemory(t *testing.T) {
	small, large := shedder.New(120<<20), shedder.New(536<<20)
	if small.Limit() < 500 || small.Limit()*(64<<10) > 96<<20 {
		t.Errorf("small host: %d requests", small.Limit())
	}
	if large.Limit() < 4*small.Limit() {
		t.Errorf("large host: %d requests, small host %d", large.Limit(), small.Limit())
	}
	if tiny := shedder.New(1 << 20); tiny.Limit() < 1 {
		t.Error("a tiny host serves nothing")
	}
}

// Load: more requests than the processor can serve. The part that is refused
// grows with the delay of timers and falls when they are in time again.
func TestRefusalsFollowTheLag(t *testing.T) {
	s := shedder.New(0)
	for range 50 {
		s.Lag(time.Second, 5*time.Millisecond)
	}
	if s.Share() != 0 {
		t.Errorf("a host with time to spare refuses %v", s.Share())
	}
	last := 0.0
	for _, lag := range []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, time.Second} {
		for range 50 {
			s.Lag(time.Second, lag)
		}
		if s.Share() <= last {
			t.Errorf("share %v at a lag of %v, %v before", s.Share(), lag, last)
		}
		last = s.Share()
	}
	if last != 1 {
		t.Errorf("a host that stands still refuses %v", last)
	}
	for range 50 {
		s.Lag(time.Second, 0)
	}
	if s.Share() != 0 {
		t.Errorf("share %v after the load", s.Share())
	}
}

// Load: callers of a flooding account that all reach one host. The host asks for
// fewer callers while it stays busy, and not for a single moment of delay.
func TestBusyHostAsksForFewerCallers(t *testing.T) {
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
		t.Error("one late timer sends callers away")
	}
	for range 20 {
		step(200 * time.Millisecond)
	}
	if !s.Resting(now) {
		t.Error("a busy host asks for all callers")
	}
	for range 120 {
		step(0)
	}
	if s.Resting(now) {
		t.Error("a host with time to spare still sends callers away")
	}
}

// Load: a flooding account whose callers come back to the same small host after
// each rest, and keep their connections during it. Guards against rests that end
// before the callers have moved, and against connections that are closed while the
// balancer would send them back.
func TestHostRestsLongerWhenCallersComeBack(t *testing.T) {
	s := shedder.New(0)
	now, rests := time.Second, []time.Duration{}
	for range 5 {
		for !s.Resting(now) {
			now += 50 * time.Millisecond
			s.Lag(now, time.Second)
		}
		if s.Moving(now) {
			t.Error("connections are closed before the balancer has noticed")
		}
		began := now
		moving := false
		for s.Resting(now) {
			now += 50 * time.Millisecond
			s.Lag(now, 0)
			moving = moving || s.Moving(now)
		}
		if !moving || s.Moving(now) {
			t.Errorf("connections are closed during the rest %t, after it %t", moving, s.Moving(now))
		}
		rests = append(rests, (now - began).Round(time.Second))
	}
	if rests[0] != 5*time.Second || rests[1] < 2*rests[0] || rests[4] > 21*time.Second {
		t.Errorf("rests of %v", rests)
	}
	now += time.Minute
	for !s.Resting(now) {
		now += 50 * time.Millisecond
		s.Lag(now, time.Second)
	}
	now += 6 * time.Second
	if s.Resting(now) {
		t.Error("the host rests long after a calm minute")
	}
}
