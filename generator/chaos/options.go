// Package chaos runs a fleet of real processes under a random schedule of faults
// and checks its invariants.
package chaos

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/commander"
	"monsoondeck.example/generator/deployment"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/logger"
)

// ErrUsage marks options that are unknown or out of range.
var ErrUsage = errors.New("invalid options")

// Options are the flags of the chaos command.
type Options struct {
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the schedule and of the load"`
	Duration   time.Duration `arg:"--duration" default:"60s"`
	Deployment string        `arg:"--deployment" default:"kitakaze" help:"kitakaze or smidsverbond"`
	Routers    int           `arg:"--routers" default:"8"`
	Accounts   int           `arg:"--accounts" default:"16"`
	Targets    int           `arg:"--targets" default:"10"`
	Daemon     string        `arg:"--monsoond" help:"path of monsoond [default: built]"`
	Emulator   string        `arg:"--monsoonemu" help:"path of monsoonemu [default: built]"`
	Verbose    bool          `arg:"--verbose" help:"show the logs of all processes on stderr"`
}

// Description is the first line of the usage text.
func (Options) Description() string {
	return "chaos runs a fleet under random faults and prints its measures with their bounds as JSON lines; it fails if a measure exceeds its bound."
}

// minDuration leaves time for events between the fault-free times at both ends.
const minDuration = 20 * time.Second

func (o Options) deployment() (deployment.Deployment, error) {
	if o.Duration < minDuration {
		return deployment.Deployment{}, errors.Wrapf(ErrUsage, "duration %v is below %v", o.Duration, minDuration)
	}
	d, err := deployment.New(o.Deployment, deployment.Size{Routers: o.Routers, Accounts: o.Accounts, Targets: o.Targets}, o.Seed)
	return d, errors.Mark(err, ErrUsage)
}

func (o Options) programs() launcher.Programs {
	return launcher.Programs{Daemon: o.Daemon, Emulator: o.Emulator}
}

// Run runs the chaos command and returns the exit code.
func Run(args, _ []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonload chaos", Streams: streams}
	var o Options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	if _, err := o.deployment(); err != nil {
		return c.Fail(commander.ExitUsage, err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	lines, err := Check(ctx, o, streams.Err)
	if err != nil {
		return c.Fail(commander.ExitFailed, err)
	}
	code := commander.Print(c, lines)
	for _, l := range lines {
		if !l.OK {
			code = commander.ExitFailed
		}
	}
	return code
}
