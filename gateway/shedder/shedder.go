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
	TimerInterval = 25 * time.Millisecond
	// targetLag is the delay of timers that the admitted share is adjusted to: a request
	// passes the run queue some five times before its response begins, so that it must be
	// far below the objectives of requests. On a host with idle processor time, timers are
	// late by a few milliseconds.
	targetLag = 10 * time.Millisecond
	// cutPerTarget is the part of the admitted share that is taken back in one TimerInterval
	// for each targetLag beyond the first, maxCut the largest part after one timer.
	cutPerTarget, maxCut = 0.005, 0.4
	// relativeRise and absoluteRise are by how much the admitted share grows after a timer
	// that was not late. It grows fastRise times as much once none has been late for
	// fastRiseDelay, since the load has gone.
	relativeRise, absoluteRise = 0.003, 0.0003
	fastRise                   = 10
	fastRiseDelay              = 600 * time.Millisecond
	// minAdmittedShare is the smallest admitted share, with which a host notices that it can
	// serve more.
	minAdmittedShare = 0.01
	// dampingRange is the delay of the last timer beyond targetLag at which nothing is
	// admitted, so that the share does not swing around its mean.
	dampingRange = 40 * time.Millisecond
	// maxRefusedShare is the mean refused share above which a host is flooded, meanWeight the
	// weight of the newest value in the mean. It becomes unready after being flooded for
	// minFloodTime. Refused callers come back once, mostly to the same host, so that it serves
	// less than half of its callers from there on; above, another host would hardly do better.
	maxRefusedShare = 0.75
	meanWeight      = 0.12
	minFloodTime    = 200 * time.Millisecond
	// busyRefusalShare is the refused share from which the host refuses requests at all, so
	// that a single late timer refuses none. The host is busy while it refuses requests and
	// a timer was late within lateMemory.
	busyRefusalShare = 0.1
	lateMemory       = 300 * time.Millisecond
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
)

// Shedder decides which part of its load a host refuses or sends elsewhere. It is
// not safe for concurrent use.
type Shedder struct {
	// limit is the largest number of requests in progress.
	limit int64
	// admittedShare is the share of the requests that is admitted, between minAdmittedShare
	// and 1; lastDelay is the delay of the last timer, lastLate the time of the last one that
	// was later than targetLag.
	admittedShare       float64
	lastDelay, lastLate time.Duration
	// meanRefused is the moving mean of the refused share. floodedSince is the time since which
	// the host has been flooded; 0 means that it is not.
	meanRefused  float64
	floodedSince time.Duration
	// unreadySince and unreadyUntil are the start and the end of the current or last
	// time for which the host is unready; unreadyTime is its shortest duration.
	unreadySince, unreadyUntil, unreadyTime time.Duration
}

// New returns a Shedder for a process with the given memory in bytes; 0 means
// unknown and sets no limit.
func New(memory int64) *Shedder {
	if memory <= 0 {
		return &Shedder{limit: math.MaxInt64, admittedShare: 1}
	}
	limit := int64(requestMemoryShare * float64(memory-idleBytes) / requestBytes)
	return &Shedder{limit: max(limit, minLimit), admittedShare: 1}
}

// Limit returns the largest number of requests in progress.
func (s *Shedder) Limit() int64 { return s.limit }

// RecordTimerDelay records the delay of a timer. It adds up what is above and below targetLag
// in the admitted share, which so settles where timers are about as late as that, however
// much is offered. A share in proportion to the delay alone would need a long delay for as
// long as much has to be refused.
func (s *Shedder) RecordTimerDelay(now, delay time.Duration) {
	s.lastDelay = delay
	switch excess := float64(delay-targetLag) / float64(targetLag); {
	case excess > 0:
		// A late timer stands for those that were due since the last one.
		timers := max(float64(delay+TimerInterval)/float64(TimerInterval), 1)
		s.admittedShare *= 1 - min(cutPerTarget*excess*timers, maxCut)
		s.lastLate = now
	case now-s.lastLate > fastRiseDelay:
		s.admittedShare += fastRise * (relativeRise*s.admittedShare + absoluteRise)
	default:
		s.admittedShare += relativeRise*s.admittedShare + absoluteRise
	}
	s.admittedShare = min(max(s.admittedShare, minAdmittedShare), 1)
	s.meanRefused += meanWeight * (s.RefusedShare() - s.meanRefused)
	switch {
	case !s.busy(now) || s.meanRefused <= maxRefusedShare:
		s.floodedSince = 0
	case s.floodedSince == 0:
		s.floodedSince = now
	case now-s.floodedSince >= minFloodTime:
		s.setUnready(now)
	}
}

// busy reports whether the host refuses requests and needs to.
func (s *Shedder) busy(now time.Duration) bool {
	return s.RefusedShare() > 0 && now-s.lastLate <= lateMemory
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
// after their answers, so that the callers connect to other hosts. Those that the host can
// serve stay, so that an account whose callers move on is served by more and more hosts.
func (s *Shedder) ShouldCloseConnections(now time.Duration) bool {
	return s.Unready(now) && now-s.unreadySince >= balancerNoticeTime && s.busy(now)
}

// Unready reports whether the balancer should send new callers elsewhere.
func (s *Shedder) Unready(now time.Duration) bool { return now < s.unreadyUntil }

// RefusedShare returns the share of the requests to refuse because the processor is
// busy, between 0 and 1.
func (s *Shedder) RefusedShare() float64 {
	if 1-s.admittedShare < busyRefusalShare {
		return 0
	}
	damping := 1 - float64(s.lastDelay-targetLag)/float64(dampingRange)
	return 1 - s.admittedShare*min(max(damping, 0), 1)
}
