// Package restarter measures how long the daemons of a data centre take to get the
// configuration after all of them have restarted at once, and how often they read
// the table service for it.
package restarter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/commander"
	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/table"
	"monsoondeck.example/generator/deployment"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/logger"
)

// options are the flags of the restart command.
type options struct {
	Daemons   int           `arg:"--daemons" default:"80" help:"number of daemons in the data centre that restarts"`
	Peers     int           `arg:"--peers" default:"8" help:"number of daemons in another data centre that keep running"`
	Accounts  int           `arg:"--accounts" default:"19000"`
	Bootstrap string        `arg:"--bootstrap" default:"peers" help:"peers: ask peers first, the platform last; platform: every daemon reads the platform"`
	Limit     time.Duration `arg:"--limit" default:"2m" help:"longest wait for all daemons"`
	Daemon    string        `arg:"--monsoond" help:"path of monsoond [default: built]"`
	Emulator  string        `arg:"--monsoonemu" help:"path of monsoonemu [default: built]"`
}

// Description is the first line of the usage text.
func (options) Description() string {
	return "restart kills all daemons of a data centre, starts them again and prints how long they take to get the configuration, as JSON lines."
}

// line is one measure of one restart, printed as a JSON line.
type line struct {
	Measure   string  `json:"measure"`
	Bootstrap string  `json:"bootstrap"`
	Daemons   int     `json:"daemons"`
	Accounts  int     `json:"accounts"`
	Value     float64 `json:"value"`
	Unit      string  `json:"unit"`
}

// Run runs the restart command and returns the exit code.
func Run(args, _ []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonload restart", Streams: streams}
	var o options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	lines, err := measure(ctx, o, streams.Err)
	if err != nil {
		return c.Fail(commander.ExitFailed, err)
	}
	return commander.Print(c, lines)
}

// measure starts a fleet whose first o.Daemons daemons are in the first data centre
// and the others in the second one, and measures a restart of the first ones.
func measure(ctx context.Context, o options, log io.Writer) ([]line, error) {
	d, err := deployment.New(deployment.Kitakaze, deployment.Size{Routers: 1, Accounts: o.Accounts, Targets: 1}, 1)
	if err != nil {
		return nil, err
	}
	d.Routers = nil
	for i := range o.Daemons + o.Peers {
		d.Routers = append(d.Routers, d.DataCentres[min(i/o.Daemons, 1)])
	}
	programs, remove, err := launcher.Build(ctx, launcher.Programs{Daemon: o.Daemon, Emulator: o.Emulator}, log)
	if err != nil {
		return nil, err
	}
	defer remove()
	fleet, stop, err := launcher.New(ctx, launcher.Options{
		Programs: programs, Deployment: d, Policy: "fleet", Log: io.Discard,
		Settings: []string{"MONSOOND_BOOTSTRAP=" + o.Bootstrap},
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	return restart(ctx, o, fleet)
}

// restart kills the daemons of the first data centre, starts them again, waits until
// they have the configuration and returns the measures.
func restart(ctx context.Context, o options, fleet *launcher.Fleet) ([]line, error) {
	daemons := fleet.Daemons[:o.Daemons]
	for _, d := range daemons {
		d.Process().Kill()
	}
	for _, d := range daemons {
		<-d.Process().Done()
	}
	before, err := readStats(ctx, fleet)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	for _, d := range daemons {
		if err := d.Start(); err != nil {
			return nil, err
		}
	}
	if err := waitConfigured(ctx, o, fleet, daemons); err != nil {
		return nil, err
	}
	elapsed := time.Since(start)
	after, err := readStats(ctx, fleet)
	if err != nil {
		return nil, err
	}
	add := func(measure string, value float64, unit string) line {
		return line{Measure: measure, Bootstrap: o.Bootstrap, Daemons: o.Daemons, Accounts: o.Accounts, Value: value, Unit: unit}
	}
	return []line{
		add("allConfiguredSeconds", elapsed.Seconds(), "seconds"),
		add("tableReads", float64(after.Reads-before.Reads), "requests"),
		add("tableReadsRefused", float64(after.OverRate-before.OverRate), "requests"),
	}, nil
}

// pollInterval is the resolution of the measured time.
const pollInterval = 20 * time.Millisecond

// waitConfigured waits until every daemon has the committed configuration version.
func waitConfigured(ctx context.Context, o options, fleet *launcher.Fleet, daemons []*launcher.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	version := fleet.Config().Version()
	for _, d := range daemons {
		for {
			status, err := d.Status(ctx)
			if err == nil && status.ConfigVersion >= version {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "wait for the configuration of daemon %s", d.ID)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// readStats reads the request counts of the table service.
func readStats(ctx context.Context, fleet *launcher.Fleet) (table.Stats, error) {
	var stats table.Stats
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fleet.URL(emulator.KindTable, "")+"/v1/stats", nil)
	if err != nil {
		return stats, err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return stats, errors.Wrap(err, "request the counts of the table service")
	}
	defer func() { _ = answer.Body.Close() }()
	return stats, errors.Wrap(json.NewDecoder(answer.Body).Decode(&stats), "decode the counts of the table service")
}
