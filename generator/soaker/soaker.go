// Package soaker runs monsoongate processes under a random schedule of faults and
// planned work, and checks the guarantees to callers and targets by what callers
// receive and what targets run.
package soaker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/emulator/storer"
	"monsoondeck.example/injector"
	"monsoondeck.example/sleeper"
)

const (
	callersPerDaemon = 4
	// maxCallers limits the load of large fleets to what one machine can carry.
	maxCallers = 160
	// settleTimeout is how long the fleet may take to recover after the faults. It is
	// generous, so that the result does not depend on the speed of the machine.
	settleTimeout = 120 * time.Second
	// releaseTimeout is how long a daemon may count a request after its response before it
	// is asked for another one, releaseCheckInterval the time between two looks.
	releaseTimeout       = time.Second
	releaseCheckInterval = 20 * time.Millisecond
)

// run is one soak run with one seed. The mutex guards the fields below it.
type run struct {
	options Options
	fleet   *fleet
	callers *callers
	log     io.Writer
	start   time.Time
	// restarts counts the targets that are started again after a deadly request.
	restarts sync.WaitGroup

	mutex sync.Mutex
	// lockedSubjects holds the names of the daemons and targets on which an event
	// acts at the moment.
	lockedSubjects map[string]bool
	// drainStarts holds, by target instance, when its drain began; faults holds the
	// unplanned faults of daemons, targets and the store.
	drainStarts map[string]time.Time
	faults      []interval
	eventCounts map[Kind]int
	// stops holds the planned stops in calm, fullShares the shares of time for which all
	// engines were full in the events of KindSilence.
	stops      []plannedStop
	fullShares []float64
	// restartError is why targets could not be started after deadly requests.
	restartError error
}

// interval is the time during which a subject has a fault; to is zero until the
// fault ends.
type interval struct {
	subject  string
	from, to time.Time
}

// storeSubject is the subject of faults of the store.
const storeSubject = "store"

// beginFault records that an unplanned fault of a subject begins; the function
// that it returns records the end.
func (r *run) beginFault(subject string) func() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := len(r.faults)
	r.faults = append(r.faults, interval{subject: subject, from: time.Now()})
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.faults[i].to = time.Now()
	}
}

// recordDrain records that an instance of a target begins to drain.
func (r *run) recordDrain(instance string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.drainStarts[instance] = time.Now()
}

// Check makes one run and returns its measurements.
func Check(ctx context.Context, o Options, log io.Writer) ([]Measurement, error) {
	f, cleanup, err := newFleet(ctx, o, log)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	r := &run{options: o, fleet: f, log: log, lockedSubjects: map[string]bool{}, drainStarts: map[string]time.Time{}, eventCounts: map[Kind]int{}, start: time.Now()}
	c := &callers{fleet: f, seed: o.Seed, takeUps: o.Versions > 0}
	r.callers, f.onCrash = c, r.restartCrashed
	p := newProber(r)
	loadCtx, stopLoad := context.WithTimeout(ctx, o.Duration)
	defer stopLoad()
	var group sync.WaitGroup
	group.Go(func() { c.run(loadCtx, 0, r.callerCount()) })
	group.Go(func() { p.probeAll(loadCtx) })
	err = r.runSchedule(ctx)
	group.Wait()
	r.restarts.Wait()
	if err := errors.CombineErrors(errors.CombineErrors(err, r.restartError), ctx.Err()); err != nil {
		return nil, err
	}
	r.progress("the load and the faults have ended")
	r.clearFaults()
	unsettled := r.awaitSettled(ctx)
	if len(unsettled) == 0 {
		if unsettled, err = r.runCalmEvents(ctx); err != nil {
			return nil, err
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.progress("settled")
	return r.measurements(c.results, p, unsettled), nil
}

// runSchedule runs the events of the schedule, which may overlap, and returns when
// all have ended.
func (r *run) runSchedule(ctx context.Context) error {
	o := r.options
	events := slices.Concat(Schedule(o.Seed, o.Duration, o.Gap), restoreSchedule(o.Seed, o.Duration, o.Restores), tornHeadSchedule(o.Seed, o.Duration, o.TornHeads), deadlySchedule(o.Seed, o.Duration, o.Deadly), versionSchedule(o.Seed, o.Duration, o.Versions))
	failed := make(chan error, len(events))
	for _, e := range events {
		go func() {
			if !sleeper.Sleep(ctx, time.Until(r.start.Add(e.At))) {
				failed <- nil
				return
			}
			r.countEvent(e)
			failed <- errors.Wrapf(r.runEvent(ctx, e), "%s", e.Kind)
		}()
	}
	return firstError(failed, len(events))
}

// callerCount returns the number of callers that send at the same time.
func (r *run) callerCount() int { return min(callersPerDaemon*r.options.Processes, maxCallers) }

// countEvent counts an event that begins.
func (r *run) countEvent(e Event) {
	if r.options.Verbose {
		r.progress("%s %d %d for %v", e.Kind, e.Subject, e.Choice, e.Length.Round(time.Millisecond))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.eventCounts[e.Kind]++
}

// clearFaults ends the faults of the store, the links and the targets, and
// registers all targets again.
func (r *run) clearFaults() {
	f := r.fleet
	f.store.SetFault(storer.Fault{})
	links := slices.Clone(f.targetLinks)
	for _, d := range f.daemons {
		links = append(links, d.storeLink, d.spareStoreLink)
		if d.peerLink != nil {
			links = append(links, d.peerLink)
		}
	}
	for _, l := range links {
		if err := l.SetFault(injector.Fault{Kind: injector.KindNone}); err != nil {
			panic(err) // KindNone is always valid
		}
	}
	for _, t := range f.targets {
		t.SetFault(server.Fault{})
		t.Register()
	}
}

// awaitSettled waits until every daemon serves every route of the newest
// configuration version and no request is in progress anywhere. It returns what
// is still wrong after settleTimeout.
func (r *run) awaitSettled(ctx context.Context) []string {
	client, closeClient := newClient()
	defer closeClient()
	end := time.Now().Add(settleTimeout)
	for n := 0; ; n++ {
		wrong := r.findUnsettled(ctx, client, n)
		if len(wrong) == 0 || time.Now().After(end) || ctx.Err() != nil {
			return wrong
		}
		sleeper.Sleep(ctx, 200*time.Millisecond)
	}
}

// findUnsettled describes the daemons and targets that are not settled yet.
func (r *run) findUnsettled(ctx context.Context, client *http.Client, attempt int) []string {
	var wrong []string
	version := r.fleet.latestVersion()
	all := append(routes(), route{name: versionRoute(version), service: plainService})
	for _, d := range r.fleet.daemons {
		for _, to := range all {
			id := fmt.Sprintf("settle-%d-%s-%s", attempt, d.name, to.name)
			q := request{route: to, id: id, name: id, size: 100}
			status, _, body, err := post(ctx, client, d.callerAddress, q)
			if x := (result{request: q}); status != 200 || err != nil || string(body) != x.wantBody() {
				wrong = append(wrong, fmt.Sprintf("%s responded with status %d to %s: %v", d.name, status, to.name, err))
			}
		}
	}
	if len(wrong) > 0 {
		return wrong
	}
	for _, d := range r.fleet.daemons {
		n, ok := d.requestsInProgress()
		// A daemon may count a request until shortly after its response.
		for end := time.Now().Add(releaseTimeout); n > 0 && time.Now().Before(end) && sleeper.Sleep(ctx, releaseCheckInterval); {
			n, ok = d.requestsInProgress()
		}
		if n > 0 || !ok {
			wrong = append(wrong, fmt.Sprintf("%s has %d requests in progress, metrics readable: %t", d.name, n, ok))
		}
	}
	for i, t := range r.fleet.targets {
		if n := t.ActiveRequests(); n > 0 {
			wrong = append(wrong, fmt.Sprintf("target %d still runs %d requests", i, n))
		}
	}
	return wrong
}

func (r *run) progress(format string, args ...any) {
	// A failed write of a progress line does not affect the result.
	_, _ = fmt.Fprintf(r.log, "soak %6.2f s: "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}
