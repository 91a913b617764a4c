package chaos

import (
	"time"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/generator/verifier"
)

// Line is one measure of one run, printed as a JSON line. Measures without a bound
// are always OK.
type Line struct {
	Measure    string   `json:"measure"`
	Deployment string   `json:"deployment"`
	Seed       uint64   `json:"seed"`
	Value      float64  `json:"value"`
	Bound      *float64 `json:"bound,omitempty"`
	Unit       string   `json:"unit"`
	OK         bool     `json:"ok"`
}

// lagBound is the time in seconds after which a change must be in force in every
// reachable daemon, and a drained target must get no new work.
const lagBound = 3.0

// propagationTime is lagBound as a duration.
const propagationTime = lagBound * time.Second

func (r *run) lines(results []loader.Result, record launcher.Record, m *monitor, converged bool) []Line {
	counts := verifier.Compare(results, record.Executions)
	for _, f := range counts.Findings {
		r.progress("%s", f)
	}
	r.progress("requests by outcome and status: %v", counts.ByOutcome)
	var out []Line
	bounded := func(measure string, value, bound float64, unit string) {
		out = append(out, Line{measure, r.options.Deployment, r.options.Seed, value, &bound, unit, value <= bound})
	}
	unbounded := func(measure string, value float64, unit string) {
		out = append(out, Line{measure, r.options.Deployment, r.options.Seed, value, nil, unit, true})
	}
	bounded("wrong", float64(counts.Wrong), 0, "requests")
	bounded("duplicated", float64(counts.Duplicated), 0, "requests")
	bounded("falseNotRun", float64(counts.FalseNotRun), 0, "requests")
	bounded("cutInFlight", float64(r.cutInFlight(results)), 0, "requests")
	bounded("reverted", float64(m.reverted), 0, "daemons")
	bounded("doubleCommits", float64(r.doubleCommits), 0, "races")
	bounded("notConverged", boolToFloat(!converged), 0, "runs")
	bounded("drainLateSeconds", r.drainLate(record.Executions).Seconds(), lagBound, "seconds")
	lag, undisturbed := r.configLag(m)
	bounded("configLagSeconds", lag.Seconds(), lagBound, "seconds")
	unbounded("undisturbedChanges", float64(undisturbed), "changes")
	unbounded("changes", float64(len(r.commits)), "changes")
	unbounded("completed", float64(counts.Completed), "requests")
	unbounded("notRun", float64(counts.NotRun), "requests")
	unbounded("unknown", float64(counts.Unknown), "requests")
	unbounded("unsent", float64(counts.Unsent), "requests")
	return out
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// exitSlack allows for the time between the break of a connection and the moment at
// which chaos notices the exit of the process.
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

// undisturbed returns the earliest time, not before at, from which no disturbance
// can delay a change.
func (r *run) undisturbed(at time.Time) time.Time {
	for moved := true; moved; {
		moved = false
		for _, s := range r.disturbances {
			// A disturbance that begins while a change propagates also delays it.
			if at.Add(propagationTime).After(s.from) && at.Before(s.to) {
				at, moved = s.to, true
			}
		}
	}
	return at
}

// drainLate returns the longest time, without disturbances, from the acceptance of a
// drain to the last start of a request at the target.
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

// configLag returns the longest time, without disturbances, that a change took to be
// in force in every reachable daemon, and the number of undisturbed changes.
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
