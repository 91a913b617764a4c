// Package bench measures a fleet of real processes under a scenario and prints
// one JSON line per measure.
package bench

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/generator/deployment"
	"monsoondeck.example/generator/launcher"
)

// ErrUsage marks options that are unknown, out of range or cannot be combined.
var ErrUsage = errors.New("invalid options")

// Options are the flags of the bench command.
type Options struct {
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the load and of the placement of accounts"`
	Duration   time.Duration `arg:"--duration" default:"60s" help:"duration of the load"`
	Warmup     time.Duration `arg:"--warmup" default:"10s" help:"time at the start that is not measured"`
	Scenario   string        `arg:"--scenario" default:"steady" help:"steady, flood, schedulerKilled, dataCentreCut, routerRestart, engineSlowed or platformOut"`
	Policy     string        `arg:"--policy" default:"fleet" help:"fleet, central, alone or static"`
	Deployment string        `arg:"--deployment" default:"kitakaze" help:"kitakaze or smidsverbond"`
	Routers    int           `arg:"--routers" default:"8"`
	Accounts   int           `arg:"--accounts" default:"16"`
	Targets    int           `arg:"--targets" default:"10"`
	Deadline   time.Duration `arg:"--deadline" default:"20s" help:"deadline of each request"`
	Daemon     string        `arg:"--monsoond" help:"path of monsoond [default: built]"`
	Emulator   string        `arg:"--monsoonemu" help:"path of monsoonemu [default: built]"`
	Verbose    bool          `arg:"--verbose" help:"show the logs of all processes on stderr"`
}

// Description is the first line of the usage text.
func (Options) Description() string {
	return "bench starts a fleet of processes with an emulated platform and emulated targets, loads it and prints its measures as JSON lines."
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	return []string{"steady", "flood", "schedulerKilled", "dataCentreCut", "routerRestart", "engineSlowed", "platformOut"}
}

// Policies returns the names of the policies.
func Policies() []string { return []string{"fleet", "central", "alone", "static"} }

func (o Options) check() error {
	switch {
	case !slices.Contains(Scenarios(), o.Scenario):
		return errors.Wrapf(ErrUsage, "unknown scenario %q", o.Scenario)
	case !slices.Contains(Policies(), o.Policy):
		return errors.Wrapf(ErrUsage, "unknown policy %q", o.Policy)
	case o.Duration < 4*time.Second || o.Warmup < 0 || o.Warmup > o.Duration/2:
		return errors.Wrapf(ErrUsage, "duration %v with warm-up %v: the duration must be at least 4 s, and the warm-up at most half of it", o.Duration, o.Warmup)
	}
	_, err := o.deployment()
	return err
}

func (o Options) deployment() (deployment.Deployment, error) {
	d, err := deployment.New(o.Deployment, deployment.Size{Routers: o.Routers, Accounts: o.Accounts, Targets: o.Targets}, o.Seed)
	return d, errors.Mark(err, ErrUsage)
}

func (o Options) programs() launcher.Programs {
	return launcher.Programs{Daemon: o.Daemon, Emulator: o.Emulator}
}
