// Package engine emulates a model inference engine with continuous batching, a
// prefix cache and a bounded queue.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/oracle"
)

// ErrSettings is returned by New for invalid settings.
var ErrSettings = errors.New("invalid engine settings")

// UnitsPerPromptToken is the number of units of service that an uncached prompt
// token counts for. An output token counts for one unit.
const UnitsPerPromptToken = 0.1

// Settings configures an Engine.
type Settings struct {
	ID    string
	Model string
	// Slots is the largest number of requests in the batch.
	Slots int
	// TokensPerSecond is the decoding rate of each slot.
	TokensPerSecond float64
	// PromptTokensPerSecond is the prefill rate of each slot; 0 is 20 times the
	// decoding rate.
	PromptTokensPerSecond float64
	// QueueLimit is the largest number of requests in the queue for a slot.
	QueueLimit int
	// CacheTokens is the capacity of the prefix cache; 0 disables it.
	CacheTokens int
	// ResumeWindow is how long a broken stream can be resumed; 0 disables resumption.
	ResumeWindow time.Duration
	// LoadLag is the age of the load that GET /v1/load reports.
	LoadLag time.Duration
	// CacheEventLag is the delay until a cache event becomes visible.
	CacheEventLag time.Duration
	// CacheEventGap drops every n-th cache event, where n is its value, so that the
	// sequence numbers have gaps; 0 drops none.
	CacheEventGap int
	// IgnoreFence makes the engine accept orders with old fencing tokens.
	IgnoreFence bool
	// Weights is the store of ordered models; nil makes every load immediate.
	Weights WeightStore
}

func (s Settings) check() error {
	if s.ID == "" || s.Model == "" || s.Slots <= 0 || s.TokensPerSecond <= 0 || s.QueueLimit < 0 {
		return errors.Wrapf(ErrSettings, "engine %q needs an ID, a model, at least one slot, a positive token rate and a queue limit that is not negative", s.ID)
	}
	return nil
}

// Engine is an http.Handler that emulates one model engine.
type Engine struct {
	settings Settings
	faults   *fault.Faults
	oracle   *oracle.Oracle
	mux      *http.ServeMux
	wake     chan struct{} // signals loop that there is work
	stop     chan struct{} // closed to stop loop
	stopped  chan struct{} // closed when loop has returned

	mu             sync.Mutex
	incarnation    uint64 // number of the current start of the engine, from 1
	running        []*generation
	waiting        []*generation          // queue, in order of arrival
	resumable      map[string]*generation // by request ID
	cache          *cache
	orders         orders
	loadHistory    []loadSample // oldest first
	lastAdmittedID string       // request ID
}

// New returns an engine that records its executions in o. The clean-up function
// aborts all requests and stops the engine.
func New(s Settings, o *oracle.Oracle) (*Engine, func(), error) {
	if err := s.check(); err != nil {
		return nil, nil, err
	}
	if s.PromptTokensPerSecond <= 0 {
		s.PromptTokensPerSecond = 20 * s.TokensPerSecond
	}
	e := &Engine{
		settings:    s,
		faults:      fault.New(),
		oracle:      o,
		mux:         http.NewServeMux(),
		wake:        make(chan struct{}, 1),
		stop:        make(chan struct{}),
		stopped:     make(chan struct{}),
		incarnation: 1,
		resumable:   map[string]*generation{},
		cache:       newCache(s.CacheTokens, s.CacheEventGap),
		orders:      newOrders(s.Model),
	}
	e.recordLoad(time.Now())
	o.SetSlots(s.ID, s.Slots)
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("GET /v1/orders", e.serveOrderRecord)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveEvents)
	e.mux.HandleFunc("GET /v1/cache/blocks", e.serveExport)
	e.mux.HandleFunc("POST /v1/cache/blocks", e.serveImport)
	go e.loop()
	return e, e.close, nil
}

func (e *Engine) close() {
	close(e.stop)
	<-e.stopped
	e.restart()
}

// Faults returns the faults that tests inject into the engine.
func (e *Engine) Faults() *fault.Faults { return e.faults }

// ServeHTTP serves the API of the engine and /v1/control, which sets its faults.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/control" {
		if e.faults.ServeControl(w, r) {
			e.restart()
		}
		return
	}
	if !e.faults.Gate(w, r) {
		return
	}
	e.mux.ServeHTTP(w, r)
}

// restart aborts all requests, empties the cache, forgets all orders and starts a
// new incarnation.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	for _, g := range e.running {
		g.finish(oracle.StateAborted)
	}
	for _, g := range e.waiting {
		g.finish(oracle.StateAborted)
	}
	e.running, e.waiting = nil, nil
	e.resumable = map[string]*generation{}
	e.cache = newCache(e.settings.CacheTokens, e.settings.CacheEventGap)
	e.orders = newOrders(e.settings.Model)
}
