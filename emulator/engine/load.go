package engine

import (
	"net/http"
	"time"

	"monsoondeck.example/emulator/wire"
)

// noteInterval bounds the rate of entries in the load history.
const noteInterval = 20 * time.Millisecond

// Load is the answer of GET /v1/load.
type Load struct {
	ID     string   `json:"id"`
	Models []string `json:"models"`
	// Loading lists the models that an order asked for and that are not usable
	// yet.
	Loading     []string `json:"loading"`
	Role        string   `json:"role"`
	Incarnation uint64   `json:"incarnation"`
	Slots       int      `json:"slots"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	CacheTokens int      `json:"cacheTokens"`
	CacheUsage  float64  `json:"cacheUsage"`
	// Fence is the highest fencing number of an accepted order since the start of
	// this incarnation.
	Fence uint64 `json:"fence"`
	// RefusesOldFence tells that orders with lower numbers than Fence are refused.
	RefusesOldFence bool `json:"refusesOldFence"`
}

// stampedLoad is a load at the time it was measured.
type stampedLoad struct {
	at   time.Time
	load Load
}

// Load returns the current load, without the lag of reports.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentLoad()
}

func (e *Engine) currentLoad() Load {
	l := Load{
		ID: e.settings.ID, Models: e.orders.list(true), Loading: e.orders.list(false), Role: e.orders.role, Incarnation: e.incarnation,
		Slots: e.settings.Slots, Running: len(e.running), Waiting: len(e.waiting),
		CacheTokens: e.cache.tokens(), Fence: e.orders.fence, RefusesOldFence: !e.settings.IgnoreFence,
	}
	if e.settings.CacheTokens > 0 {
		l.CacheUsage = float64(l.CacheTokens) / float64(e.settings.CacheTokens)
	}
	return l
}

// noteLoad keeps the current load for lagging reports.
func (e *Engine) noteLoad(now time.Time) {
	if e.settings.LoadLag <= 0 {
		return
	}
	e.forgetLoads(now)
	e.loads = append(e.loads, stampedLoad{now, e.currentLoad()})
	if n := len(e.loads); n > 2 && now.Sub(e.loads[n-3].at) < noteInterval {
		e.loads[n-2] = e.loads[n-1]
		e.loads = e.loads[:n-1]
	}
}

// forgetLoads drops the entries that are too old to be reported.
func (e *Engine) forgetLoads(now time.Time) {
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.settings.LoadLag {
		e.loads = e.loads[1:]
	}
}

// reportedLoad returns the load as it was before the lag.
func (e *Engine) reportedLoad(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.LoadLag <= 0 {
		return e.currentLoad()
	}
	e.forgetLoads(now)
	if len(e.loads) == 0 {
		return e.currentLoad()
	}
	return e.loads[0].load
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, e.reportedLoad(time.Now()))
}
