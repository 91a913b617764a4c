// Package shedder limits the load of one host: it bounds the requests in progress,
// refuses part of the requests while the processor is busy, and tells when the load
// balancer should send callers elsewhere. The balancer does not know the sizes of
// hosts, so that a small one may get more requests than it can serve.
//
// A host that asks the balancer for fewer callers is said to be unready. The package
// does no I/O; callers pass the time.
package shedder

import (
	"math"
	"time"
)

const (
	// requestBytes is the memory of one request in progress: two connections with
	// buffers, goroutines, headers, a body of 12 KB, and garbage until the next
	// collection.
	requestBytes = 64 << 10
	// idleBytes is the memory of an idle daemon in a fleet of some hundred targets.
	idleBytes = 24 << 20
	// requestMemoryShare is the share of the remaining memory that requests may take.
	requestMemoryShare = 0.7
	// minLimit is the lower bound of Limit, which a host of any size can serve.
	minLimit = 32

	// TimerInterval is the time between two timers whose delays are recorded.
	TimerInterval = 50 * time.Millisecond
	// lowLag and highLag bound the range of timer delays in which the refused share
	// rises from 0 to 1. On a host with idle processor time, timers are late by a few
	// milliseconds.
	lowLag, highLag = 25 * time.Millisecond, 120 * time.Millisecond
	// busyRefusalShare is the refused share of the requests from which the host is
	// busy. It becomes unready after being busy for minBusyTime.
	busyRefusalShare = 0.1
	minBusyTime      = 600 * time.Millisecond
	// minUnreadyTime is the shortest time for which a host is unready: the balancer
	// needs two seconds to notice it. The duration doubles up to maxUnreadyTime if
	// the host is busy again within repeatedUnreadyWindow after it was last unready,
	// because the same callers have come back.
	minUnreadyTime        = 5 * time.Second
	maxUnreadyTime        = 20 * time.Second
	repeatedUnreadyWindow = 10 * time.Second
	// balancerNoticeTime is how long the balancer needs to take the host out. Callers
	// whose connections are closed earlier connect to the same host again.
	balancerNoticeTime = 2 * time.Second
	// MinConnectionShare is the refused share of requests from which new connections are
	// refused without reading their requests. Below it, the host has enough processor time
	// to read them, and callers of unknown routes or keys get their proper answers.
	MinConnectionShare = 0.1
	// lagWeight is the weight of the newest delay in the mean.
	lagWeight = 0.3
)

// Shedder decides which part of its load a host refuses or sends elsewhere. It is
// not safe for concurrent use.
type Shedder struct {
	// limit is the largest number of requests in progress.
	limit int64
	// meanLag is the moving mean delay of timers in nanoseconds.
	meanLag float64
	// budgeted is set once RecordRefused was called; refused is the share that it told.
	budgeted bool
	refused  float64
	// busySince is the time since which the host has been busy; 0 means that it is not.
	busySince time.Duration
	// unreadySince and unreadyUntil are the start and the end of the current or last
	// time for which the host is unready; unreadyTime is its shortest duration.
	unreadySince, unreadyUntil, unreadyTime time.Duration
}

// New returns a Shedder for a process with the given memory in bytes; 0 means
// unknown and sets no limit.
func New(memory int64) *Shedder {
	if memory <= 0 {
		return &Shedder{limit: math.MaxInt64}
	}
	limit := int64(requestMemoryShare * float64(memory-idleBytes) / requestBytes)
	return &Shedder{limit: max(limit, minLimit)}
}

// Limit returns the largest number of requests in progress.
func (s *Shedder) Limit() int64 { return s.limit }

// RecordTimerDelay records the delay of a timer.
func (s *Shedder) RecordTimerDelay(now, delay time.Duration) {
	s.meanLag += lagWeight * (float64(max(delay, 0)) - s.meanLag)
	switch {
	case s.RefusedShare() < busyRefusalShare:
		s.busySince = 0
	case s.busySince == 0:
		s.busySince = now
	case now-s.busySince >= minBusyTime:
		s.setUnready(now)
	}
}

// setUnready makes the host unready, or prolongs the time for which it is.
func (s *Shedder) setUnready(now time.Duration) {
	if !s.Unready(now) {
		if s.unreadyTime > 0 && now-s.unreadyUntil < repeatedUnreadyWindow {
			s.unreadyTime = min(2*s.unreadyTime, maxUnreadyTime)
		} else {
			s.unreadyTime = minUnreadyTime
		}
		s.unreadySince = now
	}
	s.unreadyUntil = max(s.unreadyUntil, now+s.unreadyTime)
}

// ShouldCloseConnections reports whether the connections of callers should be closed
// after their answers, so that the callers connect to other hosts.
func (s *Shedder) ShouldCloseConnections(now time.Duration) bool {
	return s.Unready(now) && now-s.unreadySince >= balancerNoticeTime
}

// Unready reports whether the balancer should send new callers elsewhere.
func (s *Shedder) Unready(now time.Duration) bool { return now < s.unreadyUntil }

// RecordRefused records the share of the requests that a ProcessorBudget has refused, which
// decides from then on instead of the delay of the timers.
func (s *Shedder) RecordRefused(share float64) { s.budgeted, s.refused = true, share }

// RefusedShare returns the share of the requests that is refused because the processor is
// busy, between 0 and 1.
func (s *Shedder) RefusedShare() float64 {
	if s.budgeted {
		return s.refused
	}
	return s.DelayShare()
}

// DelayShare returns the share of the requests to refuse in view of the delay of the timers.
func (s *Shedder) DelayShare() float64 {
	return min(max((s.meanLag-float64(lowLag))/float64(highLag-lowLag), 0), 1)
}
