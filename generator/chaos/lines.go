package chaos

import (
	"time"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/generator/verifier"
)

// Line is one measure of one run. Measures without a bound are always OK.
type Line struct {
	Measure    string   `json:"measure"`
	Deployment string   `json:"deployment"`
	Seed       uint64   `json:"seed"`
	Value      float64  `json:"value"`
	Bound      *float64 `json:"bound,omitempty"`
	Unit       string   `json:"unit"`
	OK         bool     `json:"ok"`
}

// lagBound is the time in which a change must be in force in every reachable
// daemon, and a drained target must get no more work.
const lagBound = 3.0

// spreadTime is lagBound as a duration.
const spreadTime = lagBound * time.Second

func (r *run) lines(results []loader.Result, record launcher.Record, m *monitor, converged bool) []Line {
	counts := verifier.Compare(results, record.Executions)
	for _, f := range counts.Findings {
		r.progress("%s", f)
	}
	r.progress("ends of requests: %v", counts.Ends)
	var out []Line
	bounded := func(measure string, value, bound float64, unit string) {
		out = append(out, Line{measure, r.options.Deployment, r.options.Seed, value, &bound, unit, value <= bound})
	}
	free := func(measure string, value float64, unit string) {
		out = append(out, Line{measure, r.options.Deployment, r.options.Seed, value, nil, unit, true})
	}
	bounded("wrong", float64(counts.Wrong), 0, "requests")
	bounded("duplicated", float64(counts.Duplicated), 0, "requests")
	bounded("falseNotRun", float64(counts.FalseNotRun), 0, "requests")
	bounded("cutInFlight", float64(r.cutInFlight(results)), 0, "requests")
	bounded("reverted", float64(m.reverted), 0, "daemons")
	bounded("doubleCommits", float64(r.doubleCommits), 0, "races")
	bounded("notConverged", number(!converged), 0, "runs")
	bounded("drainLateSeconds", r.drainLate(record.Executions).Seconds(), lagBound, "seconds")
	lag, undisturbed := r.configLag(m)
	bounded("configLagSeconds", lag.Seconds(), lagBound, "seconds")
	free("undisturbedChanges", float64(undisturbed), "changes")
	free("changes", float64(len(r.commits)), "changes")
	free("completed", float64(counts.Completed), "requests")
	free("notRun", float64(counts.NotRun), "requests")
	free("unknown", float64(counts.Unknown), "requests")
	free("unsent", float64(counts.Unsent), "requests")
	return out
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// exitSlack covers the time between the break of a connection and the end of the
// process as the driver sees it.
const exitSlack = 500 * time.Millisecond

// cutInFlight counts the requests whose connection broke during a planned stop
// of the router that served them.
func (r *run) cutInFlight(results []loader.Result) int {
	n := 0
	for _, x := range results {
		for _, s := range r.stops {
			if x.Broken && x.Router == s.router && x.Start.Before(s.to) && x.End.After(s.from) && x.End.Before(s.to.Add(exitSlack)) {
				r.progress("cut in flight: %s at %s, %v after the signal and %v before the exit: %v", x.ID, x.Router, x.End.Sub(s.from), s.to.Sub(x.End), x.Cause)
				n++
			}
		}
	}
	return n
}

// undisturbed returns the first time from which a change has no excuse for being
// late.
func (r *run) undisturbed(at time.Time) time.Time {
	for moved := true; moved; {
		moved = false
		for _, s := range r.disturbances {
			// A disturbance that begins while a change spreads delays it as well.
			if at.Add(spreadTime).After(s.from) && at.Before(s.to) {
				at, moved = s.to, true
			}
		}
	}
	return at
}

// drainLate returns how long after a drain was accepted a target last began to
// run a request.
func (r *run) drainLate(executions []oracle.Execution) time.Duration {
	var worst time.Duration
	for _, d := range r.drains {
		from := r.undisturbed(d.from)
		for _, e := range executions {
			if e.Target == d.target && e.Start.After(from) && e.Start.Before(d.to) {
				worst = max(worst, e.Start.Sub(from))
			}
		}
	}
	return worst
}

// configLag returns the longest time that a change took to be in force in every
// reachable daemon, and the number of changes that were not disturbed at all.
func (r *run) configLag(m *monitor) (worst time.Duration, undisturbed int) {
	for _, c := range r.commits {
		from := r.undisturbed(c.at)
		if from.Equal(c.at) {
			undisturbed++
		}
		worst = max(worst, m.lag(c.version, from))
	}
	return worst, undisturbed
}
