package receiver

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/resolver"
)

// errStalled is the cause with which a stalled attempt is cancelled so that the request
// can be sent to another target.
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
	// resumeFraction is the part of that time after which a resumable stream continues at
	// another target. It is not shorter because a busy engine may send nothing for a
	// second, and the other target would have to process the prompt again.
	resumeFraction = 0.6
	// maxResumeFraction is the part of the time left for a request after which a stream that
	// has not begun continues at another target at the latest, so that this target can still
	// respond. It does not hold for a stream that has begun: its caller would lose the rest
	// if no other target has room.
	maxResumeFraction = 0.5
	// retryCheckInterval is how often a stalled attempt tries to take a retry from an
	// exhausted budget, whose window is several seconds long.
	retryCheckInterval = 250 * time.Millisecond
)

// resumeAfter returns after which silence of its target a resumable stream that has not
// begun continues at another one.
func resumeAfter(r resolver.Route, timeLeft time.Duration) time.Duration {
	return min(resumeBegunAfter(r), time.Duration(maxResumeFraction*float64(timeLeft)))
}

// resumeBegunAfter returns the same for a stream that has begun.
func resumeBegunAfter(r resolver.Route) time.Duration {
	abandonAfter := max(callerMinSilence, callerObjectiveFactor*r.Objective, callerGapFactor*r.MaxEventGap)
	return time.Duration(resumeFraction * float64(abandonAfter))
}

// stallWatch detects a target that has stalled: it sent no data for longer than
// expected. It reports that to the permit, and cancels the attempt if the request may be
// sent to another target.
type stallWatch struct {
	permit Permit
	cancel context.CancelCauseFunc
	// takeRetry takes a retry from the budget. While there is none, the attempt is not
	// cancelled.
	takeRetry func() bool

	mutex sync.Mutex
	timer *time.Timer
	// stalled is the state that was last reported to the permit.
	stalled bool
	stopped bool
	// stallAfter is the pause after which the target counts as stalled. cancelAfter is the
	// time from then until the attempt is cancelled; 0 means never. It becomes
	// cancelBegunAfter with the first event.
	stallAfter, cancelAfter, cancelBegunAfter time.Duration
	// events is the number of events since lastReport, which is zero before the first
	// event.
	events     int
	lastReport time.Time
}

// newStallWatch starts to watch an attempt of the request. cancel ends the attempt.
func newStallWatch(p *proxyRequest, permit Permit, timeLeft time.Duration, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{permit: permit, cancel: cancel, takeRetry: p.takeRetry, stallAfter: max(p.route.MaxEventGap, minStallGap)}
	firstEventTimeout := 2*permit.Decision().Choice.Expected + stallSlack
	mayRetry := p.attempts+1 < p.route.MaxAttempts && p.route.Repeatable()
	switch {
	case mayRetry && p.route.Kind == resolver.Streaming:
		w.cancelAfter = max(resumeAfter(p.route, timeLeft)-w.stallAfter, time.Millisecond)
		w.cancelBegunAfter = max(resumeBegunAfter(p.route)-w.stallAfter, time.Millisecond)
	case mayRetry:
		firstEventTimeout = p.objective()
		w.cancelAfter = time.Millisecond
	}
	w.timer = time.AfterFunc(firstEventTimeout, w.onTimer)
	return w
}

// recordEvents restarts the timer because the target has sent n events.
func (w *stallWatch) recordEvents(n int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	w.cancelAfter = w.cancelBegunAfter
	w.timer.Reset(w.stallAfter)
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

// onTimer runs when the target has sent no data for too long. The first time it reports
// the stall; later it cancels the attempt as soon as a retry is available.
func (w *stallWatch) onTimer() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	switch {
	case !w.stalled:
		w.stalled = true
		w.permit.SetStalled(true)
		if w.cancelAfter > 0 {
			w.timer.Reset(w.cancelAfter)
		}
	case w.takeRetry():
		w.cancel(errStalled)
	default:
		w.timer.Reset(retryCheckInterval)
	}
}

// stop ends the watch; later events and timers have no effect.
func (w *stallWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
