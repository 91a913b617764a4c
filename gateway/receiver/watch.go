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
	// resumeAfter is how long a resumable stream waits for a silent target before it
	// goes on elsewhere; callers leave after two seconds at the earliest.
	resumeAfter = 1400 * time.Millisecond
)

// watch notices a target that is silent.
type watch struct {
	permit Permit
	cancel context.CancelCauseFunc

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

// newWatch watches an attempt of the job.
func newWatch(j *job, p Permit, cancel context.CancelCauseFunc) *watch {
	w := &watch{permit: p, cancel: cancel, gap: max(j.route.EventGap, minStallGap)}
	first := 2*p.Decision().Choice.Expected + stallSlack
	more := j.attempts+1 < j.route.MaxAttempts && j.route.Repeatable()
	switch {
	case more && j.route.Kind == resolver.Streaming:
		w.limit = max(resumeAfter-w.gap, 0)
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
	if w.stalled {
		w.cancel(errImpatient)
		return
	}
	w.stalled = true
	w.permit.Stall(true)
	if w.limit > 0 {
		w.timer.Reset(w.limit)
	}
}

func (w *watch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
