// Package shedder refuses requests before a host drowns in them. The balancer
// does not know the sizes of hosts, so that a small one may get more than it can
// serve.
package shedder

import (
	"math"
	"time"
)

const (
	// requestBytes is the memory of one request in progress: two connections with
	// buffers, goroutines, headers, a body of 12 KB, and garbage until a collection.
	requestBytes = 64 << 10
	// baseBytes is the memory of an idle daemon in a fleet of some hundred targets.
	baseBytes = 24 << 20
	// requestShare is the part of the memory left that requests may take.
	requestShare = 0.7
	// minRequests is enough for a host of any size to serve.
	minRequests = 32

	// lowLag and highLag are the delays of the daemon's own timers between which an
	// increasing part of the requests is refused. Timers of a host with time to spare
	// are late by a few milliseconds.
	lowLag, highLag = 25 * time.Millisecond, 120 * time.Millisecond
	// busyShare is the refused part of the requests from which the host asks the
	// balancer for fewer callers, if it lasts for busyAfter.
	busyShare = 0.1
	busyAfter = 600 * time.Millisecond
	// restTime is how long it does so at least: the balancer needs two seconds to
	// notice. The time doubles up to maxRestTime if the host is busy again within
	// calmTime, because the same callers have come back.
	restTime    = 5 * time.Second
	maxRestTime = 20 * time.Second
	calmTime    = 10 * time.Second
	// noticeTime is how long the balancer needs to take the host out; connections that
	// are closed earlier come back.
	noticeTime = 2 * time.Second
	// lagWeight is the weight of the newest delay in the mean.
	lagWeight = 0.3
)

// Shedder decides whether a host can take one more request. It is pure.
type Shedder struct {
	limit int64
	// lag is the mean delay of timers.
	lag float64
	// busySince is the time since which the host has been busy; 0 if it is not.
	busySince time.Duration
	// restSince and restUntil bound the time in which the host asks for fewer callers,
	// which lasts at least rest.
	restSince, restUntil, rest time.Duration
}

// New returns a Shedder for a process with the memory in bytes; 0 is unknown.
func New(memory int64) *Shedder {
	if memory <= 0 {
		return &Shedder{limit: math.MaxInt64}
	}
	limit := int64(requestShare * float64(memory-baseBytes) / requestBytes)
	return &Shedder{limit: max(limit, minRequests)}
}

// Limit returns the largest number of requests in progress.
func (s *Shedder) Limit() int64 { return s.limit }

// Lag takes the delay of a timer into account.
func (s *Shedder) Lag(now, delay time.Duration) {
	s.lag += lagWeight * (float64(max(delay, 0)) - s.lag)
	switch {
	case s.Share() < busyShare:
		s.busySince = 0
	case s.busySince == 0:
		s.busySince = now
	case now-s.busySince >= busyAfter:
		s.startRest(now)
	}
}

func (s *Shedder) startRest(now time.Duration) {
	if !s.Resting(now) {
		if s.rest > 0 && now-s.restUntil < calmTime {
			s.rest = min(2*s.rest, maxRestTime)
		} else {
			s.rest = restTime
		}
		s.restSince = now
	}
	s.restUntil = max(s.restUntil, now+s.rest)
}

// Moving reports whether connections of callers should be closed after their
// answers, so that the callers connect elsewhere.
func (s *Shedder) Moving(now time.Duration) bool {
	return s.Resting(now) && now-s.restSince >= noticeTime
}

// Resting reports whether the balancer should send new callers elsewhere.
func (s *Shedder) Resting(now time.Duration) bool { return now < s.restUntil }

// Share returns the part of the requests that is refused because the processor
// is busy, between 0 and 1.
func (s *Shedder) Share() float64 {
	return min(max((s.lag-float64(lowLag))/float64(highLag-lowLag), 0), 1)
}
