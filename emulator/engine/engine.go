// Package engine emulates a model engine with continuous batching, a prefix
// cache and a bounded waiting room.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/oracle"
)

// ErrSettings is returned by New for settings that cannot work.
var ErrSettings = errors.New("engine settings are not usable")

// UnitsPerPromptToken is the price of an uncached prompt token.
const UnitsPerPromptToken = 0.1

// Settings of an engine.
type Settings struct {
	ID    string
	Model string
	// Slots is the number of requests in the batch.
	Slots int
	// TokensPerSecond is the output rate of each slot.
	TokensPerSecond float64
	// PromptTokensPerSecond is the prefill rate of each slot; 0 is 20 times the
	// output rate.
	PromptTokensPerSecond float64
	// WaitingRoom is the number of requests that may wait for a slot.
	WaitingRoom int
	// CacheTokens limits the prefix cache; 0 disables it.
	CacheTokens int
	// ResumeWindow is how long a broken stream can be resumed; 0 is never.
	ResumeWindow time.Duration
	// LoadLag is how old the reports of GET /v1/load are.
	LoadLag time.Duration
	// CacheEventLag is how late cache events become visible.
	CacheEventLag time.Duration
	// CacheEventGap loses every n-th cache event; 0 loses none.
	CacheEventGap int
	// IgnoreFence makes the engine accept orders with old fencing numbers.
	IgnoreFence bool
	// Weights is where ordered models are loaded from; nil loads at once.
	Weights Weights
}

func (s Settings) check() error {
	if s.ID == "" || s.Model == "" || s.Slots <= 0 || s.TokensPerSecond <= 0 || s.WaitingRoom < 0 {
		return errors.Wrapf(ErrSettings, "engine %q needs an id, a model, slots and a token rate", s.ID)
	}
	return nil
}

// Engine is an http.Handler that emulates one model engine.
type Engine struct {
	settings Settings
	faults   *fault.Faults
	oracle   *oracle.Oracle
	mux      *http.ServeMux
	wake     chan struct{}
	stop     chan struct{}
	stopped  chan struct{}

	mu          sync.Mutex
	incarnation uint64
	running     []*run
	waiting     []*run
	suspended   map[string]*run
	cache       *cache
	orders      orders
	loads       []stampedLoad // oldest first
	lastID      string
}

// New returns an engine that records its executions in o. The clean-up function
// cuts all requests and stops the engine.
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
		suspended:   map[string]*run{},
		cache:       newCache(s.CacheTokens, s.CacheEventGap),
		orders:      newOrders(s.Model),
	}
	e.noteLoad(time.Now())
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

// Faults returns the faults of the engine.
func (e *Engine) Faults() *fault.Faults { return e.faults }

// ServeHTTP serves the engine's API and its fault control.
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

// restart cuts all requests, empties the cache and starts a new incarnation.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	for _, r := range e.running {
		r.finish(oracle.StateCut)
	}
	for _, r := range e.waiting {
		r.finish(oracle.StateCut)
	}
	e.running, e.waiting = nil, nil
	e.suspended = map[string]*run{}
	e.cache = newCache(e.settings.CacheTokens, e.settings.CacheEventGap)
	e.orders = newOrders(e.settings.Model)
}
