package engine

import (
	"net/http"
	"time"

	"monsoondeck.example/emulator/wire"
)

// loadSampleInterval is the shortest interval between kept load samples.
const loadSampleInterval = 20 * time.Millisecond

// Load is the response body of GET /v1/load.
type Load struct {
	ID     string   `json:"id"`
	Models []string `json:"models"`
	// Loading lists the models that were ordered and are not loaded yet.
	Loading     []string `json:"loading"`
	Role        string   `json:"role"`
	Incarnation uint64   `json:"incarnation"`
	Slots       int      `json:"slots"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	CacheTokens int      `json:"cacheTokens"`
	CacheUsage  float64  `json:"cacheUsage"`
	// Fence is the highest fencing token of an accepted order in this incarnation.
	Fence uint64 `json:"fence"`
	// RefusesOldFence is true if orders with fencing tokens below Fence are refused.
	RefusesOldFence bool `json:"refusesOldFence"`
}

// loadSample is a load with the time of its measurement.
type loadSample struct {
	measured time.Time
	load     Load
}

// Load returns the current load, without LoadLag.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentLoad()
}

// currentLoad is Load for callers that hold e.mu.
func (e *Engine) currentLoad() Load {
	l := Load{
		ID: e.settings.ID, Models: e.orders.modelNames(true), Loading: e.orders.modelNames(false), Role: e.orders.role, Incarnation: e.incarnation,
		Slots: e.settings.Slots, Running: len(e.running), Waiting: len(e.waiting),
		CacheTokens: e.cache.tokens(), Fence: e.orders.fence, RefusesOldFence: !e.settings.IgnoreFence,
	}
	if e.settings.CacheTokens > 0 {
		l.CacheUsage = float64(l.CacheTokens) / float64(e.settings.CacheTokens)
	}
	return l
}

// recordLoad adds the current load to the history, from which delayed reports are
// taken. It keeps at most about one sample per loadSampleInterval.
func (e *Engine) recordLoad(now time.Time) {
	if e.settings.LoadLag <= 0 {
		return
	}
	e.dropOldLoads(now)
	e.loadHistory = append(e.loadHistory, loadSample{now, e.currentLoad()})
	if n := len(e.loadHistory); n > 2 && now.Sub(e.loadHistory[n-3].measured) < loadSampleInterval {
		e.loadHistory[n-2] = e.loadHistory[n-1]
		e.loadHistory = e.loadHistory[:n-1]
	}
}

// dropOldLoads drops the samples that are too old to be reported.
func (e *Engine) dropOldLoads(now time.Time) {
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].measured) >= e.settings.LoadLag {
		e.loadHistory = e.loadHistory[1:]
	}
}

// reportedLoad returns the load as it was LoadLag ago.
func (e *Engine) reportedLoad(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.LoadLag <= 0 {
		return e.currentLoad()
	}
	e.dropOldLoads(now)
	if len(e.loadHistory) == 0 {
		return e.currentLoad()
	}
	return e.loadHistory[0].load
}

// serveLoad serves GET /v1/load.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, e.reportedLoad(time.Now()))
}
