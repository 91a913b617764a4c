// Package demo runs a small fleet under load in one process and shows how the
// service is shared.
package demo

import (
	"context"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/commander"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/generator/verifier"
	"monsoondeck.example/logger"
)

// Options are the flags of the demo command.
type Options struct {
	Duration time.Duration `arg:"--duration" default:"20s" help:"duration of the load"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the load"`
	Verbose  bool          `arg:"--verbose" help:"show the log of the daemons on stderr"`
}

// Description is the first line of the usage text.
func (Options) Description() string {
	return "demo runs three routers and four unequal engines in one process, applies a sheet, loads them from three accounts and shows how much service each account gets."
}

// Run runs the demo command and returns the exit code. It fails if an answer was
// wrong.
func Run(args, _ []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonload demo", Streams: streams}
	var o Options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := run(ctx, o, streams); err != nil {
		return c.Fail(commander.ExitFailed, err)
	}
	return commander.ExitDone
}

func run(ctx context.Context, o Options, streams logger.Streams) error {
	log := slog.New(slog.DiscardHandler)
	if o.Verbose {
		log = slog.New(slog.NewTextHandler(streams.Err, nil))
	}
	f, stop, err := newFleet(ctx, log)
	if err != nil {
		return err
	}
	defer stop()
	l, cleanup, err := loader.New(loader.Settings{Accounts: f.accounts(), Seed: o.Seed, Deadline: 20 * time.Second})
	if err != nil {
		return err
	}
	defer cleanup()
	v := newView(f, l, streams.Out)
	v.introduce(o.Duration)
	done := make(chan []loader.Result, 1)
	go func() { done <- l.Run(ctx, o.Duration) }()
	v.watch(ctx, o.Duration)
	var results []loader.Result
	select {
	case results = <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	counts := verifier.Compare(results, f.targets.Oracle.Executions())
	v.summarise(ctx, counts)
	if n := counts.Wrong + counts.Duplicated + counts.FalseNotRun; n > 0 {
		return errors.Newf("%d requests had wrong answers: %v", n, counts.Findings)
	}
	return nil
}
