package chaos

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/generator/deployment"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/sleeper"
)

const (
	requestDeadline = 15 * time.Second
	// drainTime is how long open requests may take beyond their deadline after the
	// load has ended.
	drainTime = 20 * time.Second
	// convergeTime is how long the daemons may take at the end to reach the same
	// configuration and membership.
	convergeTime = 15 * time.Second
)

// Check starts a fleet, runs the schedule under load and returns the measures.
// Progress messages go to log.
func Check(ctx context.Context, o Options, log io.Writer) ([]Line, error) {
	d, err := o.deployment()
	if err != nil {
		return nil, err
	}
	programs, remove, err := launcher.Build(ctx, o.programs(), log)
	if err != nil {
		return nil, err
	}
	defer remove()
	processLog := io.Discard
	if o.Verbose {
		processLog = log
	}
	fleet, stop, err := launcher.New(ctx, launcher.Options{Programs: programs, Deployment: d, Policy: "fleet", Relayed: true, Log: processLog})
	if err != nil {
		return nil, err
	}
	defer stop()
	r := &run{options: o, deployment: d, fleet: fleet, log: log}
	return r.check(ctx)
}

// run is the state of one run. The slices are filled while the schedule runs.
type run struct {
	options    Options
	deployment deployment.Deployment
	fleet      *launcher.Fleet
	log        io.Writer
	start      time.Time

	mu           sync.Mutex
	disturbances []span
	commits      []commit
	drains       []drain
	stops        []stop
	// doubleCommits counts races in which the changes of both operators were
	// accepted.
	doubleCommits int
}

// span is a span of time in which a change may be late because of a fault.
type span struct{ from, to time.Time }

// commit is an accepted change of the configuration.
type commit struct {
	version uint64
	at      time.Time
}

// drain is a span of time in which a target must get no new work.
type drain struct {
	target   string
	from, to time.Time
}

// stop is a graceful stop of a daemon from the signal to its exit.
type stop struct {
	router   string // caller address
	from, to time.Time
}

func (r *run) check(ctx context.Context) ([]Line, error) {
	load, cleanup, err := loader.New(loader.Settings{
		Accounts: r.deployment.Load(r.fleet.Callers(), deployment.Flood{}), Seed: r.options.Seed, Deadline: requestDeadline,
	})
	if err != nil {
		return nil, err
	}
	defer cleanup()
	r.start = time.Now()
	end := r.start.Add(r.options.Duration)
	watch := newMonitor(r.fleet)
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var monitoring sync.WaitGroup
	monitoring.Go(func() { watch.run(watching) })
	loading, cancel := context.WithDeadline(ctx, end.Add(requestDeadline+drainTime))
	defer cancel()
	done := make(chan []loader.Result, 1)
	go func() { done <- load.Run(loading, r.options.Duration) }()
	if err := r.runSchedule(ctx); err != nil {
		return nil, err
	}
	results := <-done
	converged := r.waitConverged(ctx)
	stopWatching()
	monitoring.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	record, err := r.fleet.ReadRecord(ctx)
	if err != nil {
		return nil, err
	}
	return r.lines(results, record, watch, converged), nil
}

// runSchedule runs the events of the schedule, which may overlap, and returns when
// all have ended.
func (r *run) runSchedule(ctx context.Context) error {
	events := Schedule(r.options.Seed, r.options.Duration, len(r.fleet.Daemons), len(r.deployment.Engines))
	var group sync.WaitGroup
	var mu sync.Mutex
	var all error
	for _, e := range events {
		group.Go(func() {
			if sleep(ctx, time.Until(r.start.Add(e.At))) != nil {
				return
			}
			r.progress("%s %d for %v", e.Kind, e.Subject, e.Length.Round(time.Millisecond))
			if err := r.runEvent(ctx, e); err != nil && ctx.Err() == nil {
				mu.Lock()
				all = errors.CombineErrors(all, errors.Wrapf(err, "%s %d", e.Kind, e.Subject))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return all
}

// waitConverged waits until every daemon has the committed configuration and knows
// all others, and reports whether they did within convergeTime.
func (r *run) waitConverged(ctx context.Context) bool {
	end := time.Now().Add(convergeTime)
	for {
		behind := r.unconverged(ctx)
		if len(behind) == 0 {
			return true
		}
		if time.Now().After(end) || sleep(ctx, pollInterval) != nil {
			for _, b := range behind {
				r.progress("not converged: %s", b)
			}
			return false
		}
	}
}

// unconverged describes the daemons that do not have the committed configuration or
// do not know all others.
func (r *run) unconverged(ctx context.Context) []string {
	// A change whose answer was lost may have been committed, so the version is read
	// from the platform.
	if err := r.fleet.Reload(ctx); err != nil {
		return []string{"cannot read the configuration from the platform: " + err.Error()}
	}
	var behind []string
	version := r.fleet.Config().Version()
	for _, d := range r.fleet.Daemons {
		s, err := d.Status(ctx)
		if err != nil || !s.Ready || s.ConfigVersion != version || len(s.Members) < len(r.fleet.Daemons) {
			behind = append(behind, fmt.Sprintf("%s has version %d of %d, ready %t, %d members, error %v", d.ID, s.ConfigVersion, version, s.Ready, len(s.Members), err))
		}
	}
	return behind
}

func (r *run) progress(format string, args ...any) {
	// A failed write is ignored, as the result does not depend on the progress.
	_, _ = fmt.Fprintf(r.log, "chaos %5.1f s: "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func sleep(ctx context.Context, d time.Duration) error {
	if !sleeper.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
