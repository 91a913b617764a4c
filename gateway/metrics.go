package gateway

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"monsoondeck.example/gateway/receiver"
)

// firstByteBuckets are the histogram buckets of the time to the first byte, in
// seconds. Objectives lie between 0.1 and 1.5 s.
var firstByteBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, .75, 1, 1.5, 3, 6}

// totalBuckets are the histogram buckets of the total time of a request, in
// seconds.
var totalBuckets = []float64{.01, .05, .1, .3, 1, 3, 6, 12, 30}

// metrics holds the Prometheus metrics of a gateway.
type metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	total     *prometheus.HistogramVec
	// resumptions counts the streams that callers took up again.
	resumptions *prometheus.CounterVec
}

func newMetrics(g *Gateway) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "monsoondeck_requests_total", Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "monsoondeck_first_byte_seconds", Help: "Time to the first byte of the answer.", Buckets: firstByteBuckets,
		}, []string{"route"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "monsoondeck_request_seconds", Help: "Time to the end of the answer.", Buckets: totalBuckets,
		}, []string{"route"}),
		resumptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "monsoondeck_stream_resumptions_total", Help: "Streams that callers took up again, by what became of them.",
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.requests, m.firstByte, m.total, m.resumptions, newMemoryCollector(g))
	gauges := map[string]struct {
		help  string
		value func() float64
	}{
		"monsoondeck_waiting_requests":     {"Requests that wait for a target.", func() float64 { return float64(g.controller.Stats().Waiting) }},
		"monsoondeck_placed_requests":      {"Requests at targets.", func() float64 { return float64(g.controller.Stats().Placed) }},
		"monsoondeck_targets":              {"Targets that may get requests.", func() float64 { return float64(g.controller.Stats().Targets) }},
		"monsoondeck_peers":                {"Other daemons heard of recently.", func() float64 { return float64(g.controller.Stats().Peers) }},
		"monsoondeck_quarantined_parts":    {"Prompt parts and whole requests that are refused because they crash targets.", func() float64 { return float64(g.controller.Stats().Quarantined) }},
		"monsoondeck_limited_targets":      {"Targets that limit the rate of their requests.", func() float64 { return float64(g.controller.Stats().Limited) }},
		"monsoondeck_cold_targets":         {"Targets that get a limited number of requests because they are cold.", func() float64 { return float64(g.controller.Stats().Cold) }},
		"monsoondeck_evacuated_centres":    {"Data centres whose targets get no requests because they are evacuated.", func() float64 { return float64(g.controller.Stats().Evacuated) }},
		"monsoondeck_share_level_tokens":   {"Service in the window up to which an account is within its share; 0 is no bound.", func() float64 { return g.controller.Stats().ShareLevel }},
		"monsoondeck_config_version":       {"Version of the configuration in force.", g.configVersion},
		"monsoondeck_log_records_dropped":  {"Log records that were not written.", func() float64 { return float64(g.recorder.Dropped.Load()) }},
		"monsoondeck_target_dials":         {"Connections opened to targets.", func() float64 { return float64(g.courier.Stats.Dials.Load()) }},
		"monsoondeck_target_dial_failures": {"Connections to targets that failed to open.", func() float64 { return float64(g.courier.Stats.DialFailures.Load()) }},
		"monsoondeck_target_sends_full":    {"Requests that were not sent because of the bodies being written to their target.", func() float64 { return float64(g.courier.Stats.SendingFull.Load()) }},
		"monsoondeck_foreign_answers":      {"Answers of targets to other requests, dropped.", func() float64 { return float64(g.courier.Stats.ForeignResponses.Load()) }},
		"monsoondeck_target_checks":        {"Checks of targets whose responses ended with their connections.", func() float64 { return float64(g.prober.Stats.Checks.Load()) }},
		"monsoondeck_target_checks_gone":   {"Checks that found the target gone.", func() float64 { return float64(g.prober.Stats.Gone.Load()) }},
		"monsoondeck_target_checks_open":   {"Checks that could not tell whether the target still runs.", func() float64 { return float64(g.prober.Stats.Unknown.Load()) }},
		"monsoondeck_connections_refused":  {"Connections of callers that were refused with an answer because the host was busy or had no room for them.", func() float64 { return float64(g.listener.refusedCount.Load()) }},
		"monsoondeck_connections_full":     {"Connections of callers that were refused because the host had no room for them.", func() float64 { return float64(g.gate.refused.Load()) }},
		"monsoondeck_connections_replaced": {"Idle connections of callers that were closed to make room for new ones.", func() float64 { return float64(g.gate.replaced.Load()) }},
		"monsoondeck_connections_closed":   {"Refused connections of callers that were closed without an answer.", func() float64 { return float64(g.listener.refuser.Unanswered()) }},
		"monsoondeck_connections_open":     {"Open connections of callers.", func() float64 { return float64(g.callerServer.connections.occupancy().Open) }},
		"monsoondeck_connections_idle":     {"Open connections of callers without a request.", func() float64 { return float64(g.callerServer.connections.occupancy().Idle) }},
		"monsoondeck_refused_share":        {"Part of the requests that is refused because the host is busy.", g.overload.refusedShare},
		"monsoondeck_store_calls":          {"Calls to the platform's store.", func() float64 { calls, _ := g.watcher.Calls(); return float64(calls) }},
		"monsoondeck_store_failures":       {"Failed calls to the platform's store.", func() float64 { _, failures := g.watcher.Calls(); return float64(failures) }},
	}
	for name, gauge := range gauges {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: gauge.help}, gauge.value))
	}
	return m
}

func (g *Gateway) configVersion() float64 {
	config, _ := g.controller.Current()
	return float64(config.Version())
}

// observe records a request that ended.
func (m *metrics) observe(o receiver.Observation) {
	m.requests.WithLabelValues(o.Route, o.Outcome).Inc()
	if o.FirstByte > 0 {
		m.firstByte.WithLabelValues(o.Route).Observe(o.FirstByte.Seconds())
	}
	m.total.WithLabelValues(o.Route).Observe(o.Total.Seconds())
	if o.Resumption != "" {
		m.resumptions.WithLabelValues(string(o.Resumption)).Inc()
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
