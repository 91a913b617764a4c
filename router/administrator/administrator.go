// Package administrator serves the metrics, health, readiness and status of one
// daemon, and the grants of its recent requests, on the admin listener.
package administrator

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"monsoondeck.example/connector"
	"monsoondeck.example/router/controller"
	"monsoondeck.example/router/dispatcher"
)

// Status is the response to GET /v1/status.
type Status struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	// Incarnation identifies this run of the daemon.
	Incarnation uint64 `json:"incarnation"`
	// ConfigVersion is 0 while the daemon has no configuration.
	ConfigVersion uint64 `json:"configVersion"`
	// Ready is false without a configuration and during a graceful stop.
	Ready bool `json:"ready"`
	// Members lists the ids of the live daemons in order, including this one.
	Members []string `json:"members"`
	// ShardsOwned lists the names of the shards that this daemon schedules.
	ShardsOwned []string `json:"shardsOwned"`
	// Waiting is the number of requests in the queues of this daemon.
	Waiting int `json:"waiting"`
	// Held is the number of grants in use. A grant lets this daemon send one request
	// to one target.
	Held int `json:"held"`
}

// ControlState provides the control state that the admin listener shows.
type ControlState interface {
	// Snapshot returns the current state; it is never nil.
	Snapshot() *controller.Snapshot
	// RequestHistory returns the recorded grants of a request.
	RequestHistory(id string) []controller.History
	// AccountHistory returns the recorded grants of an account's newest requests.
	AccountHistory(id string) []controller.History
	// CPUSeconds returns the processor time used by the control goroutine.
	CPUSeconds() float64
}

// Options holds what the handler of the admin listener reports. All fields are
// required; the functions are called for each request.
type Options struct {
	ControlState    ControlState
	HubStats        func() connector.Stats
	DispatcherStats func() dispatcher.Stats
	Ready           func() bool
	ID              string
	DataCentre      string
	Incarnation     uint64
}

// New returns the HTTP handler of the admin listener.
func New(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(newRegistry(o), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !o.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, newStatus(o)) })
	mux.HandleFunc("GET /v1/requests/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeHistories(w, o.ControlState.RequestHistory(r.PathValue("id")))
	})
	mux.HandleFunc("GET /v1/accounts/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeHistories(w, o.ControlState.AccountHistory(r.PathValue("id")))
	})
	return mux
}

func newStatus(o Options) Status {
	s := o.ControlState.Snapshot()
	shards := make([]string, 0, len(s.Shards))
	for _, shard := range s.Shards {
		shards = append(shards, shard.Name)
	}
	return Status{
		ID: o.ID, DataCentre: o.DataCentre, Incarnation: o.Incarnation, ConfigVersion: s.Config.Version(),
		Ready: o.Ready(), Members: s.Members, ShardsOwned: shards, Waiting: s.Waiting, Held: s.Held,
	}
}

func writeHistories(w http.ResponseWriter, histories []controller.History) {
	if len(histories) == 0 {
		http.Error(w, "nothing is known; another daemon may have served it", http.StatusNotFound)
		return
	}
	writeJSON(w, histories)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// newRegistry returns a registry whose metrics read the counters of the daemon's
// components at each scrape.
func newRegistry(o Options) *prometheus.Registry {
	r := prometheus.NewRegistry()
	counter := func(name, help string, labels prometheus.Labels, value func() float64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, value))
	}
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	const bytesName, bytesHelp = "monsoond_control_bytes_total", "Bytes of frames exchanged with other daemons."
	counter(bytesName, bytesHelp, prometheus.Labels{"direction": "sent"}, func() float64 { return float64(o.HubStats().BytesSent) })
	counter(bytesName, bytesHelp, prometheus.Labels{"direction": "received"}, func() float64 { return float64(o.HubStats().BytesReceived) })
	counter("monsoond_control_cpu_seconds_total", "Processor time of the control goroutine.", nil, o.ControlState.CPUSeconds)
	counter("monsoond_wrong_answers_total", "Answers dropped because they named another request.", nil, func() float64 { return float64(o.DispatcherStats().MismatchedResponses) })
	counter("monsoond_streams_resumed_total", "Streams continued after a break.", nil, func() float64 { return float64(o.DispatcherStats().Resumed) })
	counter("monsoond_answers_broken_total", "Answers that did not arrive whole.", nil, func() float64 { return float64(o.DispatcherStats().IncompleteResponses) })
	gauge("monsoond_requests_waiting", "Requests that wait for a grant.", func() float64 { return float64(o.ControlState.Snapshot().Waiting) })
	gauge("monsoond_grants_held", "Grants in use.", func() float64 { return float64(o.ControlState.Snapshot().Held) })
	gauge("monsoond_shards_owned", "Shards that this daemon schedules.", func() float64 { return float64(len(o.ControlState.Snapshot().Shards)) })
	gauge("monsoond_config_version", "Configuration version in force.", func() float64 { return float64(o.ControlState.Snapshot().Config.Version()) })
	return r
}
