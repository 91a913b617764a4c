package bench

import (
	"time"

	"monsoondeck.example/generator/analyser"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/generator/verifier"
)

// Line is one measure of one run, printed as a JSON line.
type Line struct {
	Measure    string  `json:"measure"`
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
}

// exchangeInterval is the interval at which daemons exchange fleet-wide totals, and
// batchDelay the time for which they collect messages. Both are those of sections 3.3
// and 6 of the design page. A message takes the delay between data centres in addition.
const (
	exchangeInterval = 500 * time.Millisecond
	batchDelay       = 2 * time.Millisecond
)

func (r *run) lines(load *loader.Loader, results []loader.Result, record launcher.Record, c cost) []Line {
	input := analyser.Input{
		Pool: r.deployment.Model, Shares: map[string]float64{}, From: r.from, To: r.to, Slots: map[string]int{},
		Requests: results, Executions: record.Executions, Services: record.Services, Busy: record.Busy,
	}
	for _, a := range r.deployment.Accounts {
		input.Shares[a.ID] = a.Share
	}
	for _, e := range r.deployment.Engines {
		input.Slots[e.ID] = e.Slots
	}
	gap, use := input.Gap(), input.Utilisation()
	first, last := input.Halves()
	firstGap, lastGap := first.Gap(), last.Gap()
	counts := verifier.Compare(results, record.Executions)
	for _, f := range counts.Findings {
		r.progress("%s", f)
	}
	r.progress("requests by outcome and status: %v", counts.ByOutcome)
	r.progress("largest gap between %s and %s; %d pairs of accounts were backlogged together; requests waited in %.0f%% of the window",
		gap.A, gap.B, gap.Pairs, 100*use.Waiting)
	bound := input.Bound(r.conditions())
	var out []Line
	add := func(measure string, value float64, unit string) {
		out = append(out, Line{measure, r.options.Deployment, r.options.Scenario, r.options.Policy, r.options.Seed, value, unit})
	}
	add("fairnessGap", gap.Value, "unitsPerWeight")
	add("fairnessGapBound", bound, "unitsPerWeight")
	if firstGap.Value > 0 {
		add("fairnessGapGrowth", lastGap.Value/firstGap.Value, "ratio")
	}
	add("utilisation", use.Value, "ratio")
	add("controlBytesPerDaemonSecond", c.control.Bytes/c.daemonSeconds, "bytesPerSecond")
	add("controlCpuCores", c.control.CPUSeconds/c.daemonSeconds, "coresPerDaemon")
	add("daemonCpuCores", c.cpuSeconds/c.daemonSeconds, "coresPerDaemon")
	add("daemonMemoryBytes", c.residentBytes, "bytes")
	add("addedLatencyP50Seconds", r.latency.added(0.5), "seconds")
	add("addedLatencyP99Seconds", r.latency.added(0.99), "seconds")
	add("firstTokenP95Seconds", load.FirstToken.Quantile(0.95).Seconds(), "seconds")
	add("betweenTokensP95Seconds", load.BetweenTokens.Quantile(0.95).Seconds(), "seconds")
	add("unitsPerSecond", r.unitsPerSecond(record), "unitsPerSecond")
	for _, n := range []struct {
		measure string
		value   int
	}{
		{"completed", counts.Completed}, {"notRun", counts.NotRun}, {"unknown", counts.Unknown}, {"unsent", counts.Unsent}, {"broken", counts.Broken},
		{"wrong", counts.Wrong}, {"duplicated", counts.Duplicated}, {"falseNotRun", counts.FalseNotRun},
	} {
		add(n.measure, float64(n.value), "requests")
	}
	return out
}

// conditions returns the conditions for the bound of the fairness gap. Scenarios
// that kill the owner of a shard, or cut it off, count as the loss of one owner; a
// restart of all routers counts as the loss of one owner per daemon.
func (r *run) conditions() analyser.Conditions {
	c := analyser.Conditions{
		ExchangeInterval: exchangeInterval, MessageDelay: r.deployment.PeerDelay + batchDelay, Shards: len(r.deployment.DataCentres),
	}
	switch r.options.Scenario {
	case "schedulerKilled", "dataCentreCut":
		c.OwnerChanges = 1
	case "routerRestart":
		c.OwnerChanges = len(r.fleet.Daemons)
	}
	return c
}

// added returns the difference in seconds of a quantile between routed and direct
// calls.
func (l *latency) added(q float64) float64 {
	return (l.routed.Quantile(q) - l.direct.Quantile(q)).Seconds()
}

// unitsPerSecond returns the mean rate of service of the model in the measured
// window.
func (r *run) unitsPerSecond(record launcher.Record) float64 {
	var units float64
	for _, s := range record.Services {
		if at := time.UnixMilli(s.Bucket); s.Pool == r.deployment.Model && !at.Before(r.from) && at.Before(r.to) {
			units += s.Units
		}
	}
	return units / r.to.Sub(r.from).Seconds()
}
