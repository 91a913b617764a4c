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
	var bounded, free []Line
	line := func(measure string, value float64, unit string) Line {
		return Line{Measure: measure, Seed: r.options.Seed, Processes: r.options.Processes, Value: value, Unit: unit, OK: true}
	}
	bound := func(l Line, most float64) {
		l.Bound, l.OK = &most, l.Value <= most
		bounded = append(bounded, l)
	}
	for _, name := range promiseNames {
		for _, finding := range v[name] {
			r.progress("%s: %s", name, finding)
		}
		bound(line(name, float64(len(v[name])), "violations"), 0)
	}
	drainLate := line("drainLateSeconds", r.drainLate().Seconds(), "seconds")
	overrun := line("overrunSeconds", r.overrun(results).Seconds(), "seconds")
	if r.options.Timed {
		bound(drainLate, drainLateBound.Seconds())
		bound(overrun, overrunBound.Seconds())
	} else {
		free = append(free, drainLate, overrun)
	}
	ends := map[string]int{}
	for _, x := range results {
		ends[x.outcome()]++
	}
	for name, n := range ends {
		free = append(free, line(name, float64(n), "requests"))
	}
	for call, n := range r.fleet.store.Calls() {
		free = append(free, line("store "+call, float64(n), "calls"))
	}
	for kind, n := range r.counts {
		free = append(free, line("fault "+string(kind), float64(n), "events"))
	}
	slices.SortFunc(free, func(a, b Line) int { return strings.Compare(a.Measure, b.Measure) })
	return append(bounded, free...)
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
