package soaker

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/commander"
	"monsoondeck.example/logger"
)

// ErrUsage marks options that cannot be used.
var ErrUsage = errors.New("options are not usable")

// Options are the command line options of a soak.
type Options struct {
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of the schedule and of the load"`
	Seeds     uint64        `arg:"--seeds" default:"1" help:"number of runs, with consecutive seeds"`
	Duration  time.Duration `arg:"--duration" default:"30s" help:"length of the load"`
	Processes int           `arg:"--processes" default:"9" help:"number of daemons"`
	Targets   int           `arg:"--targets" default:"8" help:"number of targets, which this process emulates"`
	Gap       time.Duration `arg:"--gap" default:"700ms" help:"mean time between two events of the schedule"`
	Restores  int           `arg:"--restores" default:"0" help:"number of times that the store is restored from an older copy"`
	TornHeads int           `arg:"--torn-heads" default:"0" help:"number of times that a target closes connections in the middle of the heads of its responses"`
	Deadly    int           `arg:"--deadly" default:"0" help:"number of requests that crash each target that runs them, and that come again"`
	LateStops int           `arg:"--late-stops" default:"0" help:"number of planned stops without other faults, after the load, with requests until the end"`
	Silences  int           `arg:"--silences" default:"0" help:"number of times that all engines are full, after the load, while streams are silent"`
	Versions  int           `arg:"--versions" default:"0" help:"number of times that engines change to a new software version; callers take up broken streams"`
	Timed     bool          `arg:"--timed" help:"also check time limits; needs an otherwise idle machine"`
	Logs      string        `arg:"--logs" placeholder:"DIR" help:"directory for the logs of the daemons [default: none]"`
	Program   string        `arg:"--monsoongate" placeholder:"PATH" help:"path of monsoongate [default: built]"`
	Verbose   bool          `arg:"--verbose" help:"show the events of the schedule on stderr"`
}

// Description is the first line of the usage text.
func (Options) Description() string {
	return "soak runs monsoongate processes under random faults, prints the number of violations of each guarantee as JSON lines, and fails if there was one."
}

// minDuration leaves time for events between quietStart and quietEnd.
const minDuration = 5 * time.Second

func (o Options) validate() error {
	switch {
	case o.Duration < minDuration:
		return errors.Wrapf(ErrUsage, "duration %v is below %v", o.Duration, minDuration)
	case o.Gap <= 0:
		return errors.Wrapf(ErrUsage, "gap %v is not above 0", o.Gap)
	case o.Processes < 2:
		return errors.Wrapf(ErrUsage, "%d processes are fewer than 2", o.Processes)
	case o.Targets < 4:
		return errors.Wrapf(ErrUsage, "%d targets are fewer than 4", o.Targets)
	}
	return nil
}

// Run makes one run for each seed and returns the exit code.
func Run(args, _ []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonload soak", Streams: streams}
	var o Options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	if err := o.validate(); err != nil {
		return c.Fail(commander.ExitUsage, err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	code := commander.ExitDone
	for range o.Seeds {
		measurements, err := Check(ctx, o, streams.Err)
		if err != nil {
			return c.Fail(commander.ExitFailed, err)
		}
		if printed := commander.Print(c, measurements); printed != commander.ExitDone {
			return printed
		}
		for _, m := range measurements {
			if !m.OK {
				code = commander.ExitFailed
			}
		}
		o.Seed++
	}
	return code
}
