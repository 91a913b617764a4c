package soaker

import (
	"slices"
	"strings"
	"time"
)

// Measurement is the value of one measure in one run. Without a bound it is always
// OK.
type Measurement struct {
	Measure   string   `json:"measure"`
	Seed      uint64   `json:"seed"`
	Processes int      `json:"processes"`
	Value     float64  `json:"value"`
	Bound     *float64 `json:"bound,omitempty"`
	Unit      string   `json:"unit"`
	OK        bool     `json:"ok"`
}

// Bounds of measures that depend on the speed of the machine. They are the bounds
// that the platform requires.
const (
	drainLateBound = drainTimeout
	overrunBound   = 500 * time.Millisecond
)

// guaranteeNames are the guarantees that are checked on every run, whatever the
// speed of the machine. Their names are those of the measures that count violations.
var guaranteeNames = []string{
	"wrong", "duplicated", "falseNotRun", "lost", "denied", "misrouted", "unasked", "tooOften", "hung", "ended", "reverted", "unsettled",
	"tornHead", "deadly", "starved", "stopBroken", "cut", "mixedVersions",
}

// measurements returns the checked measures first, then the others by name.
func (r *run) measurements(results []result, p *prober, unsettled []string) []Measurement {
	v := r.findViolations(results, p.ids)
	v.checkHung(results)
	v["reverted"], v["unsettled"] = p.reverted, unsettled
	var bounded, unbounded []Measurement
	newMeasurement := func(measure string, value float64, unit string) Measurement {
		return Measurement{Measure: measure, Seed: r.options.Seed, Processes: r.options.Processes, Value: value, Unit: unit, OK: true}
	}
	addBounded := func(m Measurement, limit float64) {
		m.Bound, m.OK = &limit, m.Value <= limit
		bounded = append(bounded, m)
	}
	for _, name := range guaranteeNames {
		for _, finding := range v[name] {
			r.progress("%s: %s", name, finding)
		}
		addBounded(newMeasurement(name, float64(len(v[name])), "violations"), 0)
	}
	maxDrainDelay := newMeasurement("drainLateSeconds", r.maxDrainDelay().Seconds(), "seconds")
	maxOverrun := newMeasurement("overrunSeconds", r.maxOverrun(results).Seconds(), "seconds")
	if r.options.Timed {
		addBounded(maxDrainDelay, drainLateBound.Seconds())
		addBounded(maxOverrun, overrunBound.Seconds())
	} else {
		unbounded = append(unbounded, maxDrainDelay, maxOverrun)
	}
	if share, n := resumedShare(results); n > 0 {
		unbounded = append(unbounded, newMeasurement("taken up", float64(n), "streams"), newMeasurement("taken up went on", 100*share, "percent"))
	}
	for _, share := range r.fullShares {
		unbounded = append(unbounded, newMeasurement("silence full", 100*share, "percent"))
	}
	outcomeCounts := map[string]int{}
	for _, x := range results {
		outcomeCounts[x.outcome()]++
		if slices.ContainsFunc(r.stops, x.sentLate) {
			outcomeCounts["late "+x.outcome()]++
		}
	}
	for name, n := range outcomeCounts {
		unbounded = append(unbounded, newMeasurement(name, float64(n), "requests"))
	}
	for call, n := range r.fleet.store.Calls() {
		unbounded = append(unbounded, newMeasurement("store "+call, float64(n), "calls"))
	}
	for kind, n := range r.eventCounts {
		unbounded = append(unbounded, newMeasurement("fault "+string(kind), float64(n), "events"))
	}
	slices.SortFunc(unbounded, func(a, b Measurement) int { return strings.Compare(a.Measure, b.Measure) })
	return append(bounded, unbounded...)
}

// outcome returns the name of the measure that counts results of this kind.
func (x result) outcome() string {
	switch {
	case x.cancelled:
		return "left"
	case x.complete():
		return "served"
	case slices.Contains(notRunStatuses, x.status):
		return "notRun"
	case x.status != 0:
		return "failed"
	}
	return "broken"
}
