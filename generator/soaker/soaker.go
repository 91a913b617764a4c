// Package soaker runs the daemons of the users' platform as processes under a
// random schedule of faults and planned work, and checks the promises to callers
// and targets by what these see.
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
	// callersPerDaemon is the number of callers for each daemon.
	callersPerDaemon = 4
	// maxCallers keeps the load of large fleets within a machine.
	maxCallers = 160
	// settleTime is how long the fleet may take to come together after the faults: a
	// verdict must not depend on the speed of the machine.
	settleTime = 120 * time.Second
)

// run is one run. The mutex guards the fields below it.
type run struct {
	options Options
	fleet   *fleet
	log     io.Writer
	start   time.Time

	mutex sync.Mutex
	// held holds the names of the daemons and targets on which an event acts.
	held map[string]bool
	// drains holds the time of the drain of each instance of a target, disturbances the
	// trouble of daemons, targets and the store.
	drains       map[string]time.Time
	disturbances []span
	counts       map[Kind]int
}

// span is a span of time; to is zero while it lasts.
type span struct {
	subject  string
	from, to time.Time
}

// storeSubject is the subject of disturbances of the store.
const storeSubject = "store"

// disturb notes that unplanned trouble on a subject begins; the function that it
// returns notes the end.
func (r *run) disturb(subject string) func() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := len(r.disturbances)
	r.disturbances = append(r.disturbances, span{subject: subject, from: time.Now()})
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.disturbances[i].to = time.Now()
	}
}

// drain notes that an instance of a target begins to leave.
func (r *run) drain(instance string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.drains[instance] = time.Now()
}

// Check makes one run and returns its measures.
func Check(ctx context.Context, o Options, log io.Writer) ([]Line, error) {
	f, cleanup, err := newFleet(ctx, o, log)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	r := &run{options: o, fleet: f, log: log, held: map[string]bool{}, drains: map[string]time.Time{}, counts: map[Kind]int{}, start: time.Now()}
	c := &callers{fleet: f, seed: o.Seed}
	p := newProber(r)
	loading, stopLoad := context.WithTimeout(ctx, o.Duration)
	defer stopLoad()
	var group sync.WaitGroup
	group.Go(func() { c.run(loading, min(callersPerDaemon*o.Processes, maxCallers)) })
	group.Go(func() { p.follow(loading) })
	err = r.play(ctx)
	group.Wait()
	if err := errors.CombineErrors(err, ctx.Err()); err != nil {
		return nil, err
	}
	r.progress("the load and the faults have ended")
	r.heal()
	unsettled := r.settle(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.progress("settled")
	return r.lines(c.results, p, unsettled), nil
}

// play plays the schedule; events may overlap. It returns when all have ended.
func (r *run) play(ctx context.Context) error {
	events := Schedule(r.options.Seed, r.options.Duration, r.options.Gap)
	failed := make(chan error, len(events))
	for _, e := range events {
		go func() {
			if !sleeper.Sleep(ctx, time.Until(r.start.Add(e.At))) {
				failed <- nil
				return
			}
			if r.options.Verbose {
				r.progress("%s %d %d for %v", e.Kind, e.Subject, e.Choice, e.Length.Round(time.Millisecond))
			}
			r.mutex.Lock()
			r.counts[e.Kind]++
			r.mutex.Unlock()
			failed <- errors.Wrapf(r.act(ctx, e), "%s", e.Kind)
		}()
	}
	return first(failed, len(events))
}

// heal ends all faults and brings all processes back.
func (r *run) heal() {
	f := r.fleet
	f.store.SetFault(storer.Fault{})
	links := slices.Clone(f.targetLinks)
	for _, d := range f.daemons {
		links = append(links, d.storeLink, d.spareLink)
		if d.peerLink != nil {
			links = append(links, d.peerLink)
		}
	}
	for _, l := range links {
		if err := l.SetFault(injector.Fault{Kind: injector.KindNone}); err != nil {
			panic(err) // none is a valid fault
		}
	}
	for _, t := range f.targets {
		t.SetFault(server.Fault{})
		t.Register()
	}
}

// settle waits until every daemon serves every route in the newest version and
// no request is left anywhere. It returns what is wrong after settleTime.
func (r *run) settle(ctx context.Context) []string {
	client, closeClient := newClient()
	defer closeClient()
	end := time.Now().Add(settleTime)
	for n := 0; ; n++ {
		wrong := r.unsettled(ctx, client, n)
		if len(wrong) == 0 || time.Now().After(end) || ctx.Err() != nil {
			return wrong
		}
		sleeper.Sleep(ctx, 200*time.Millisecond)
	}
}

func (r *run) unsettled(ctx context.Context, client *http.Client, attempt int) []string {
	var wrong []string
	version := r.fleet.latest()
	all := append(routes(), route{name: versionRoute(version), service: deskService})
	for _, d := range r.fleet.daemons {
		for _, to := range all {
			id := fmt.Sprintf("settle-%d-%s-%s", attempt, d.name, to.name)
			status, _, body, err := post(ctx, client, d.callers, to, id, 0, 100, false)
			if x := (result{id: id, route: to}); status != 200 || err != nil || string(body) != x.want() {
				wrong = append(wrong, fmt.Sprintf("%s answers %d to %s: %v", d.name, status, to.name, err))
			}
		}
	}
	if len(wrong) > 0 {
		return wrong
	}
	for _, d := range r.fleet.daemons {
		if n, ok := d.busy(); n > 0 || !ok {
			wrong = append(wrong, fmt.Sprintf("%s has %d requests left, metrics %t", d.name, n, ok))
		}
	}
	for i, t := range r.fleet.targets {
		if n := t.Active(); n > 0 {
			wrong = append(wrong, fmt.Sprintf("target %d still runs %d requests", i, n))
		}
	}
	return wrong
}

func (r *run) progress(format string, args ...any) {
	// Progress is not needed for the result.
	_, _ = fmt.Fprintf(r.log, "soak %6.2f s: "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}
