// Package administrator serves metrics, health, status and explanations of one
// daemon on its admin listener.
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

// Status is what a daemon says about itself.
type Status struct {
	ID            string   `json:"id"`
	DataCentre    string   `json:"dataCentre"`
	Incarnation   uint64   `json:"incarnation"`
	ConfigVersion uint64   `json:"configVersion"`
	Ready         bool     `json:"ready"`
	Members       []string `json:"members"`
	ShardsOwned   []string `json:"shardsOwned"`
	Waiting       int      `json:"waiting"`
	Held          int      `json:"held"`
}

// Control is the control state that is shown.
type Control interface {
	Snapshot() *controller.Snapshot
	Request(id string) []controller.History
	Account(id string) []controller.History
	CPUSeconds() float64
}

// Options are the dependencies of an Administrator.
type Options struct {
	Control     Control
	Hub         func() connector.Stats
	Dispatcher  func() dispatcher.Stats
	Ready       func() bool
	ID          string
	DataCentre  string
	Incarnation uint64
}

// New returns the handler of the admin listener.
func New(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry(o), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !o.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status(o)) })
	mux.HandleFunc("GET /v1/requests/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeHistories(w, o.Control.Request(r.PathValue("id")))
	})
	mux.HandleFunc("GET /v1/accounts/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeHistories(w, o.Control.Account(r.PathValue("id")))
	})
	return mux
}

func status(o Options) Status {
	s := o.Control.Snapshot()
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
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(w).Encode(value)
}

// registry exports the counters that the parts of the daemon keep themselves.
func registry(o Options) *prometheus.Registry {
	r := prometheus.NewRegistry()
	counter := func(name, help string, labels prometheus.Labels, read func() float64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, read))
	}
	gauge := func(name, help string, read func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	const bytesName, bytesHelp = "monsoond_control_bytes_total", "Bytes of frames exchanged with other daemons."
	counter(bytesName, bytesHelp, prometheus.Labels{"direction": "sent"}, func() float64 { return float64(o.Hub().BytesSent) })
	counter(bytesName, bytesHelp, prometheus.Labels{"direction": "received"}, func() float64 { return float64(o.Hub().BytesReceived) })
	counter("monsoond_control_cpu_seconds_total", "Processor time of the control goroutine.", nil, o.Control.CPUSeconds)
	counter("monsoond_wrong_answers_total", "Answers dropped because they named another request.", nil, func() float64 { return float64(o.Dispatcher().WrongAnswers) })
	counter("monsoond_streams_resumed_total", "Streams continued after a break.", nil, func() float64 { return float64(o.Dispatcher().Resumed) })
	counter("monsoond_answers_broken_total", "Answers that did not arrive whole.", nil, func() float64 { return float64(o.Dispatcher().Broken) })
	gauge("monsoond_requests_waiting", "Requests that wait for a grant.", func() float64 { return float64(o.Control.Snapshot().Waiting) })
	gauge("monsoond_grants_held", "Grants in use.", func() float64 { return float64(o.Control.Snapshot().Held) })
	gauge("monsoond_shards_owned", "Shards that this daemon schedules.", func() float64 { return float64(len(o.Control.Snapshot().Shards)) })
	gauge("monsoond_config_version", "Configuration version in force.", func() float64 { return float64(o.Control.Snapshot().Config.Version()) })
	return r
}
