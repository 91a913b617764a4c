package receiver

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/resolver"
)

// errImpatient is the cause of an attempt that is ended because its target is
// silent and another one may be tried.
var errImpatient = errors.New("the target is silent")

const (
	// stallSlack is added to twice the expected time to the first event before a
	// target counts as silent.
	stallSlack = 400 * time.Millisecond
	// minStallGap is the shortest pause between events that counts as a stall; shorter
	// ones occur whenever an engine reads a long prompt.
	minStallGap = 700 * time.Millisecond
	// progressInterval is the time between two reports of the events of a stream.
	progressInterval = 150 * time.Millisecond
	// callerSilence, callerObjectives and callerGaps tell when a caller abandons a
	// silent stream: after the longest of a time, of some objectives, and of some of the
	// longest pauses between events that are on time.
	callerSilence    = 2 * time.Second
	callerObjectives = 4
	callerGaps       = 8
	// resumeShare is the part of that time after which a resumable stream goes on at
	// another target. A busy engine may be silent for a second before an event, and
	// what it has read would be read again.
	resumeShare = 0.6
	// resumeLeft is the part of the time of a request after which it goes on elsewhere at
	// the latest, so that the other target can still answer.
	resumeLeft = 0.5
	// budgetCheck is how often a stalled attempt asks again for a retry: the budget is
	// counted over seconds.
	budgetCheck = 250 * time.Millisecond
)

// resumeAfter returns how long a resumable stream waits for a silent target.
func resumeAfter(r resolver.Route, left time.Duration) time.Duration {
	caller := max(callerSilence, callerObjectives*r.Objective, callerGaps*r.EventGap)
	return min(time.Duration(resumeShare*float64(caller)), time.Duration(resumeLeft*float64(left)))
}

// watch notices a target that is silent.
type watch struct {
	permit Permit
	cancel context.CancelCauseFunc
	// again takes a retry from the budget; without one, a silent target is waited for.
	again func() bool

	mutex sync.Mutex
	timer *time.Timer
	// stalled is what the permit was last told.
	stalled bool
	stopped bool
	// gap is the pause after which the target counts as silent, limit the further
	// time after which the attempt is ended; 0 never ends it.
	gap, limit time.Duration
	// events is the number of events since reported; 0 reported is none yet.
	events   int
	reported time.Time
}

// newWatch watches an attempt of the job, which has some time left.
func newWatch(j *job, p Permit, left time.Duration, cancel context.CancelCauseFunc) *watch {
	w := &watch{permit: p, cancel: cancel, again: j.takeRetry, gap: max(j.route.EventGap, minStallGap)}
	first := 2*p.Decision().Choice.Expected + stallSlack
	more := j.attempts+1 < j.route.MaxAttempts && j.route.Repeatable()
	switch {
	case more && j.route.Kind == resolver.Streaming:
		w.limit = max(resumeAfter(j.route, left)-w.gap, time.Millisecond)
	case more:
		objective := j.route.Objective
		if objective <= 0 {
			objective = defaultObjective
		}
		first = objective
		w.limit = time.Millisecond
	}
	w.timer = time.AfterFunc(first, w.fire)
	return w
}

// event notes that the target has sent events.
func (w *watch) event(n int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	w.timer.Reset(w.gap)
	w.progress(n)
	if w.stalled {
		w.stalled = false
		w.permit.Stall(false)
	}
}

// progress reports the events that arrived since the last report.
func (w *watch) progress(n int) {
	now := time.Now()
	if w.reported.IsZero() {
		w.reported = now
		return
	}
	w.events += n
	if elapsed := now.Sub(w.reported); elapsed >= progressInterval {
		w.permit.Progress(w.events, elapsed)
		w.events, w.reported = 0, now
	}
}

func (w *watch) fire() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	switch {
	case !w.stalled:
		w.stalled = true
		w.permit.Stall(true)
		if w.limit > 0 {
			w.timer.Reset(w.limit)
		}
	case w.again():
		w.cancel(errImpatient)
	default:
		w.timer.Reset(budgetCheck)
	}
}

func (w *watch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
