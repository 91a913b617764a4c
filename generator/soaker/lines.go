package soaker

import (
	"slices"
	"strings"
	"time"
)

// Line is one measure of one run. Measures without a bound are always OK.
type Line struct {
	Measure   string   `json:"measure"`
	Seed      uint64   `json:"seed"`
	Processes int      `json:"processes"`
	Value     float64  `json:"value"`
	Bound     *float64 `json:"bound,omitempty"`
	Unit      string   `json:"unit"`
	OK        bool     `json:"ok"`
}

// Bounds of measures that depend on the speed of the machine; they are those of
// the platform.
const (
	drainLateBound = drainBound
	overrunBound   = 500 * time.Millisecond
)

// promiseNames are the promises that are checked on every run.
var promiseNames = []string{
	"wrong", "duplicated", "falseNotRun", "lost", "denied", "misrouted", "unasked", "tooOften", "hung", "ended", "reverted", "unsettled",
}

func (r *run) lines(results []result, p *prober, unsettled []string) []Line {
	v := r.judge(results, p.ids)
	v.hung(results)
	v["reverted"], v["unsettled"] = p.reverted, unsettled
	var out []Line
	line := func(measure string, value float64, bound *float64, unit string) {
		out = append(out, Line{measure, r.options.Seed, r.options.Processes, value, bound, unit, bound == nil || value <= *bound})
	}
	for _, name := range promiseNames {
		for _, finding := range v[name] {
			r.progress("%s: %s", name, finding)
		}
		line(name, float64(len(v[name])), new(float64), "violations")
	}
	for measure, late := range map[string]struct{ value, bound time.Duration }{
		"drainLateSeconds": {r.drainLate(), drainLateBound}, "overrunSeconds": {r.overrun(results), overrunBound},
	} {
		bound := late.bound.Seconds()
		if r.options.Timed {
			line(measure, late.value.Seconds(), &bound, "seconds")
		} else {
			line(measure, late.value.Seconds(), nil, "seconds")
		}
	}
	ends := map[string]int{}
	for _, x := range results {
		ends[x.outcome()]++
	}
	for name, n := range ends {
		line(name, float64(n), nil, "requests")
	}
	for call, n := range r.fleet.store.Calls() {
		line("store "+call, float64(n), nil, "calls")
	}
	for kind, n := range r.counts {
		line("fault "+string(kind), float64(n), nil, "events")
	}
	slices.SortStableFunc(out, func(a, b Line) int {
		if (a.Bound == nil) != (b.Bound == nil) {
			if a.Bound == nil {
				return 1
			}
			return -1
		}
		if a.Bound != nil {
			return 0
		}
		return strings.Compare(a.Measure, b.Measure)
	})
	return out
}

// outcome names how a request ended.
func (x result) outcome() string {
	switch {
	case x.left:
		return "left"
	case x.complete():
		return "served"
	case slices.Contains(promises, x.status):
		return "notRun"
	case x.status != 0:
		return "failed"
	}
	return "broken"
}
