package receiver

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/resolver"
)

// errStalled is the cause with which a stalled attempt is cancelled because another target
// has room for the request.
var errStalled = errors.New("target sent no data in time")

const (
	// stallSlack is added to twice the expected time to the first event; after the sum, a
	// target without a response counts as stalled.
	stallSlack = 400 * time.Millisecond
	// minStallGap is the shortest pause between events that counts as a stall; shorter
	// ones occur whenever an engine processes a long prompt.
	minStallGap = 700 * time.Millisecond
	// progressInterval is the shortest time between two progress reports of a stream.
	progressInterval = 150 * time.Millisecond
	// A caller is assumed to abandon a stalled stream after the longest of
	// callerMinSilence, callerObjectiveFactor times the objective of the route, and
	// callerGapFactor times the longest pause between events that is on time.
	callerMinSilence      = 2 * time.Second
	callerObjectiveFactor = 4
	callerGapFactor       = 8
	// resumeFraction is the part of that time after which another target is sought for a
	// resumable stream. It is not shorter because a busy engine may send nothing for a
	// second, and the other target would have to process the prompt again.
	resumeFraction = 0.6
	// maxResumeFraction is the part of the time left for a request after which another
	// target is sought at the latest for a stream that has not begun, so that this target
	// can still respond.
	maxResumeFraction = 0.5
	// maxTimerDelay is how late a timer of a watch may fire. A host that fires it later has
	// no processor time, and may not have read yet what the target has sent.
	maxTimerDelay = 100 * time.Millisecond
	// minReadTime is the least time that such a host gets to read it.
	minReadTime = 250 * time.Millisecond
)

// callerPatience returns the time after which the caller of a stream is assumed to abandon
// it if no event arrives.
func callerPatience(r resolver.Route) time.Duration {
	return max(callerMinSilence, callerObjectiveFactor*r.Objective, callerGapFactor*r.MaxEventGap)
}

// resumeAfter returns after which silence of its target another one is sought for a
// resumable stream that has not begun.
func resumeAfter(r resolver.Route, timeLeft time.Duration) time.Duration {
	return min(resumeBegunAfter(r), time.Duration(maxResumeFraction*float64(timeLeft)))
}

// resumeBegunAfter returns the same for a stream that has begun.
func resumeBegunAfter(r resolver.Route) time.Duration {
	return time.Duration(resumeFraction * float64(callerPatience(r)))
}

// stallWatch detects a target that has stalled: it sent no data for longer than
// expected. It reports that to the permit, and seeks another target if the request may be
// sent to one. The attempt is cancelled only once another target has room: a busy target
// that goes on after a pause is better for the caller than a broken response.
type stallWatch struct {
	permit Permit
	cancel context.CancelCauseFunc
	// takeRetry takes a retry from the budget. While there is none, the attempt is not
	// cancelled.
	takeRetry func() bool
	// startSearch starts to seek another target and returns a function that ends the
	// search; nil if the request cannot be sent to another one.
	startSearch func() context.CancelFunc

	mutex sync.Mutex
	// stopSearch ends the search for another target; nil unless there is one.
	stopSearch context.CancelFunc
	// silentSince is the time of the last event that reached the caller, or of the arrival of
	// the request.
	silentSince time.Time
	// replacement is the permit for another target that the search has found.
	replacement Permit
	timer       *time.Timer
	// due is the time for which the timer is set. deferred is set if it was set anew because
	// it fired too late, until it fires again or the target sends an event.
	due      time.Time
	deferred bool
	// stalled is the state that was last reported to the permit.
	stalled bool
	stopped bool
	// stallAfter is the pause after which the target counts as stalled. cancelAfter is the
	// time from then until the attempt may be cancelled; 0 means never. It becomes
	// cancelBegunAfter with the first event.
	stallAfter, cancelAfter, cancelBegunAfter time.Duration
	// events is the number of events since lastReport, which is zero before the first
	// event.
	events     int
	lastReport time.Time
}

// newStallWatch starts to watch an attempt of the request with the context. cancel ends the
// attempt.
func newStallWatch(ctx context.Context, p *proxyRequest, permit Permit, timeLeft time.Duration, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{permit: permit, cancel: cancel, takeRetry: p.takeRetry, silentSince: p.silentSince(), stallAfter: max(p.route.MaxEventGap, minStallGap)}
	search := p.newSearch(permit)
	w.startSearch = func() context.CancelFunc {
		if p.unresumable.Load() {
			return nil
		}
		ctx, cancel := context.WithCancel(ctx)
		go search.run(ctx, w.silentSince, w.adopt)
		return cancel
	}
	firstEventTimeout := 2*permit.Decision().Choice.Expected + stallSlack
	mayRetry := p.attempts+1 < p.route.MaxAttempts && p.waits < maxWaits && p.route.Repeatable()
	switch {
	case mayRetry && p.route.Kind == resolver.Streaming:
		w.cancelAfter = max(resumeAfter(p.route, timeLeft)-w.stallAfter, time.Millisecond)
		w.cancelBegunAfter = max(resumeBegunAfter(p.route)-w.stallAfter, time.Millisecond)
	case mayRetry:
		firstEventTimeout = p.objective()
		w.cancelAfter = time.Millisecond
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.due = time.Now().Add(firstEventTimeout)
	w.timer = time.AfterFunc(firstEventTimeout, func() { w.timerFired(time.Now()) })
	return w
}

// recordEvents restarts the timer because the target has sent n events.
func (w *stallWatch) recordEvents(n int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	w.endSearch()
	w.silentSince = time.Now()
	w.cancelAfter = w.cancelBegunAfter
	w.deferred = false
	w.setTimer(w.stallAfter)
	w.reportProgress(n)
	if w.stalled {
		w.stalled = false
		w.permit.SetStalled(false)
	}
}

// reportProgress counts n events and reports those since the last report once
// progressInterval has passed.
func (w *stallWatch) reportProgress(n int) {
	now := time.Now()
	if w.lastReport.IsZero() {
		w.lastReport = now
		return
	}
	w.events += n
	if elapsed := now.Sub(w.lastReport); elapsed >= progressInterval {
		w.permit.Progress(w.events, elapsed)
		w.events, w.lastReport = 0, now
	}
}

// isStalled reports whether the target has sent no event for longer than expected.
func (w *stallWatch) isStalled() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stalled
}

// isReplaced reports whether another target has taken the place of this one. That does not
// change between recordEvents and the next stall.
func (w *stallWatch) isReplaced() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.replacement != nil
}

// setTimer sets the timer anew. The caller holds the mutex.
func (w *stallWatch) setTimer(d time.Duration) {
	w.due = time.Now().Add(d)
	w.timer.Reset(d)
}

// timerFired handles a timer that fired. It ignores one that was set anew before this call
// got the mutex, and defers one that fired too late.
func (w *stallWatch) timerFired(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	late := now.Sub(w.due)
	switch {
	case w.stopped, late < 0:
	case late > maxTimerDelay && !w.deferred:
		w.deferred = true
		w.setTimer(max(late, minReadTime))
	default:
		w.deferred = false
		w.onSilence()
	}
}

// onSilence runs when the target has sent no data for too long. The first time it reports
// the stall; the second time it begins to seek another target. The caller holds the mutex.
func (w *stallWatch) onSilence() {
	if w.stopped {
		return
	}
	switch {
	case !w.stalled:
		w.stalled = true
		w.permit.SetStalled(true)
		if w.cancelAfter > 0 {
			w.setTimer(w.cancelAfter)
		}
	case w.cancelAfter > 0 && w.stopSearch == nil:
		w.stopSearch = w.startSearch()
	}
}

// adopt takes the permit for another target in place of the one of the attempt, which it
// cancels. It reports false if the target sends again, the attempt has ended, the permit is
// too old, or there is no retry in the budget.
func (w *stallWatch) adopt(ctx context.Context, permit Permit) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped || ctx.Err() != nil || permit.Age() > maxPermitAge || !w.takeRetry() {
		return false
	}
	w.replacement = permit
	w.cancel(errStalled)
	return true
}

// endSearch ends the search for another target. The caller holds the mutex.
func (w *stallWatch) endSearch() {
	if w.stopSearch != nil {
		w.stopSearch()
		w.stopSearch = nil
	}
}

// stop ends the watch; later events and timers have no effect. It returns the permit for
// another target, if one was found.
func (w *stallWatch) stop() Permit {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.endSearch()
	return w.replacement
}
