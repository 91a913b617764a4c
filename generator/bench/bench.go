package bench

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/commander"
	"monsoondeck.example/generator/deployment"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/logger"
)

// Run runs the bench command and returns the exit code.
func Run(args, _ []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonload bench", Streams: streams}
	var o Options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	if err := o.check(); err != nil {
		return c.Fail(commander.ExitUsage, err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	lines, err := Measure(ctx, o, streams.Err)
	if err != nil {
		return c.Fail(commander.ExitFailed, err)
	}
	return commander.Print(c, lines)
}

// Measure starts a fleet, runs the scenario under load and returns the measures.
// Progress messages go to log.
func Measure(ctx context.Context, o Options, log io.Writer) ([]Line, error) {
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
	fleet, stop, err := launcher.New(ctx, launcher.Options{Programs: programs, Deployment: d, Policy: o.Policy, Relayed: o.Scenario == "dataCentreCut", Log: processLog})
	if err != nil {
		return nil, err
	}
	defer stop()
	r := run{options: o, deployment: d, fleet: fleet, log: log}
	return r.measure(ctx)
}

// run is the state of one measurement.
type run struct {
	options    Options
	deployment deployment.Deployment
	fleet      *launcher.Fleet
	log        io.Writer

	latency *latency
	// start is the start of the load.
	start time.Time
	// from and to limit the measured window, which leaves out the warm-up.
	from, to time.Time
}

// drainTime is how long open requests may take beyond their deadline after the
// load has ended.
const drainTime = 20 * time.Second

func (r *run) measure(ctx context.Context) ([]Line, error) {
	load, cleanup, err := loader.New(loader.Settings{
		Accounts: r.deployment.Load(r.fleet.Callers(), r.flood()), Seed: r.options.Seed, Deadline: r.options.Deadline,
	})
	if err != nil {
		return nil, err
	}
	defer cleanup()
	if r.latency, err = r.measureLatency(ctx); err != nil {
		return nil, err
	}
	r.start = time.Now()
	r.from, r.to = r.start.Add(r.options.Warmup), r.start.Add(r.options.Duration)
	r.progress("loading for %v", r.options.Duration)
	loading, cancel := context.WithDeadline(ctx, r.to.Add(r.options.Deadline+drainTime))
	defer cancel()
	done := make(chan []loader.Result, 1)
	go func() { done <- load.Run(loading, r.options.Duration) }()
	scenario := make(chan error, 1)
	go func() { scenario <- r.injectFaults(ctx) }()
	costs := r.watchCost(ctx)
	results := <-done
	r.progress("%d requests have ended", len(results))
	if err := errors.CombineErrors(ctx.Err(), <-scenario); err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	record, err := r.fleet.ReadRecord(ctx)
	if err != nil {
		return nil, err
	}
	return r.lines(load, results, record, <-costs), nil
}

func (r *run) progress(format string, args ...any) {
	// A failed write is ignored, as the result does not depend on the progress.
	_, _ = fmt.Fprintf(r.log, "bench %s/%s: "+format+"\n", append([]any{r.options.Scenario, r.options.Policy}, args...)...)
}

func sleepUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
