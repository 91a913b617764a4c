package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"monsoondeck.example/generator/analyser"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/generator/verifier"
)

const (
	// terminalRefresh is the interval of tables on a terminal, where each replaces the
	// one before.
	terminalRefresh = time.Second
	// plainRefresh is the interval of tables on other outputs.
	plainRefresh = 5 * time.Second
	// settlingTime is left out of the measures, because the routers learn the limits
	// of the targets from a low start.
	settlingTime = 3 * time.Second
)

// view prints the state of the fleet.
type view struct {
	fleet    *fleet
	load     *loader.Loader
	out      io.Writer
	terminal bool // whether out is a terminal
	start    time.Time
	end      time.Time        // end of the load
	lines    int              // number of lines of the last table
	control  launcher.Control // last reading of the control traffic, over all routers
	read     time.Time        // time of that reading
}

func newView(f *fleet, l *loader.Loader, out io.Writer) *view {
	v := &view{fleet: f, load: l, out: out, start: time.Now()}
	if file, ok := out.(*os.File); ok {
		info, err := file.Stat()
		v.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return v
}

func (v *view) print(format string, args ...any) {
	_, _ = fmt.Fprintf(v.out, format, args...) // a closed output does not end the demo
}

// introduce prints the size of the fleet and sets the end of the load, d from the
// start.
func (v *view) introduce(d time.Duration) {
	var slots int
	var rate float64
	for _, e := range engines() {
		slots += e.Slots
		rate += float64(e.Slots) * e.TokensPerSecond
	}
	v.print("%d routers, %d engines with %d slots and %.0f tokens/s in all; sheet applied as version %d.\n",
		len(v.fleet.routers), len(engines()), slots, rate, v.fleet.config.Version())
	v.end = v.start.Add(d)
	v.print("Three accounts ask for more than there is for %v.\n\n", d)
}

// watch prints tables until the load ends.
func (v *view) watch(ctx context.Context, d time.Duration) {
	interval := plainRefresh
	if v.terminal {
		interval = terminalRefresh
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.After(d)
	for {
		select {
		case <-ticker.C:
			v.table(ctx)
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

// input returns the record of the run from the end of the settling time until now.
func (v *view) input(now time.Time) analyser.Input {
	done, open := v.load.Snapshot()
	in := analyser.Input{
		Pool: pool, Shares: map[string]float64{}, Slots: map[string]int{}, To: now, Requests: append(done, open...),
		Executions: v.fleet.targets.Oracle.Executions(), Services: v.fleet.targets.Oracle.Services(), Busy: v.fleet.targets.Oracle.BusyTimes(),
	}
	in.From = v.start.Add(min(settlingTime, now.Sub(v.start)/2))
	for a := range v.fleet.config.Accounts() {
		in.Shares[a.ID] = a.Share
	}
	for _, e := range engines() {
		in.Slots[e.ID] = e.Slots
	}
	return in
}

// table prints the service since the start, and the measures since the end of the
// settling time.
func (v *view) table(ctx context.Context) {
	now := time.Now()
	in := v.input(now)
	units := map[string]float64{}
	var all, weights float64
	for _, s := range in.Services {
		units[s.Account] += s.Units
		all += s.Units
	}
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%-12s %6s %10s %9s %12s %9s\n", "account", "share", "units", "of all", "per share", "entitled")
	accounts := v.fleet.accounts()
	slices.SortFunc(accounts, func(a, b loader.Account) int { return strings.Compare(a.ID, b.ID) })
	for _, a := range accounts {
		weights += a.Share
	}
	for _, a := range accounts {
		_, _ = fmt.Fprintf(&b, "%-12s %6.3g %10.0f %8.1f%% %12.0f %8.1f%%\n", a.ID, a.Share, units[a.ID],
			100*units[a.ID]/max(all, 1), units[a.ID]/a.Share, 100*a.Share/weights)
	}
	_, _ = fmt.Fprintf(&b, "%4.0f s   fairness gap %.0f units per share   utilisation %.1f%%   control %.1f KB/s per router\n",
		now.Sub(v.start).Seconds(), in.Gap().Value, 100*in.Utilisation().Value, v.controlRate(ctx)/1000)
	if v.terminal && v.lines > 0 {
		v.print("\x1b[%dA\x1b[J", v.lines)
	}
	v.lines = strings.Count(b.String(), "\n")
	v.print("%s", b.String())
	if !v.terminal {
		v.print("\n")
	}
}

// controlRate returns the control traffic in bytes per second and router since the
// last call, or 0 if a router cannot be read.
func (v *view) controlRate(ctx context.Context) float64 {
	var sum launcher.Control
	for _, admin := range v.fleet.admins {
		c, err := launcher.ReadControl(ctx, admin)
		if err != nil {
			return 0
		}
		sum.Bytes += c.Bytes
	}
	now, old, since := time.Now(), v.control, v.read
	v.control, v.read = sum, now
	if since.IsZero() {
		since = v.start
	}
	return (sum.Bytes - old.Bytes) / now.Sub(since).Seconds() / float64(len(v.fleet.admins))
}

// summarise prints the measures over the load and the counts of requests.
func (v *view) summarise(ctx context.Context, c verifier.Counts) {
	v.print("\nSummary after the last answer:\n")
	// The window ends with the load, as the accounts are not backlogged while the
	// queues drain.
	in := v.input(v.end)
	bound := in.Bound(analyser.Conditions{ExchangeInterval: 500 * time.Millisecond, MessageDelay: 2 * time.Millisecond, Shards: 2})
	v.table(ctx)
	v.print("Over the time of load: fairness gap %.0f of at most %.0f units per share, utilisation %.1f%%.\n",
		in.Gap().Value, bound, 100*in.Utilisation().Value)
	v.print("First token of a streamed quote: %.2f s (95 of 100), between tokens: %.0f ms (95 of 100).\n",
		v.load.FirstToken.Quantile(0.95).Seconds(), 1000*v.load.BetweenTokens.Quantile(0.95).Seconds())
	v.print("Requests: %d complete, %d not run, %d unknown; %d wrong, %d duplicated, %d falsely not run.\n",
		c.Completed, c.NotRun, c.Unknown, c.Wrong, c.Duplicated, c.FalseNotRun)
}
