package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"monsoondeck.example/gateway/meter"
	"monsoondeck.example/limiter"
)

// memoryCollector exports the account of the memory that others make the process hold. It
// implements prometheus.Collector.
type memoryCollector struct {
	gateway                       *Gateway
	bound, bytes, refusals, ended *prometheus.Desc
}

func newMemoryCollector(g *Gateway) *memoryCollector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &memoryCollector{
		gateway:  g,
		bound:    describe("monsoondeck_memory_bound_bytes", "Bound of the memory that callers and targets may make the process hold."),
		bytes:    describe("monsoondeck_memory_bytes", "Memory that callers and targets make the process hold, by kind.", "kind"),
		refusals: describe("monsoondeck_memory_refusals_total", "Charges that were refused because memory was short, by kind.", "kind"),
		ended:    describe("monsoondeck_caller_connections_ended_total", "Connections and transfers of callers that were refused or closed to protect the memory, by reason.", "reason"),
	}
}

// Describe implements prometheus.Collector.
func (c *memoryCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.bound, c.bytes, c.refusals, c.ended} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *memoryCollector) Collect(all chan<- prometheus.Metric) {
	g := c.gateway
	all <- prometheus.MustNewConstMetric(c.bound, prometheus.GaugeValue, float64(g.memory.Bound()))
	for _, k := range limiter.Kinds() {
		bytes, refusals := g.memory.Charged(k)
		all <- prometheus.MustNewConstMetric(c.bytes, prometheus.GaugeValue, float64(bytes), k.String())
		all <- prometheus.MustNewConstMetric(c.refusals, prometheus.CounterValue, float64(refusals), k.String())
	}
	for _, r := range meter.Reasons() {
		all <- prometheus.MustNewConstMetric(c.ended, prometheus.CounterValue, float64(g.meter.Closed(r)), r.String())
	}
	all <- prometheus.MustNewConstMetric(c.ended, prometheus.CounterValue, float64(g.stalledEnded.Load()), "stalled")
}
