// Package fault holds the faults that tests inject into an emulated service.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"monsoondeck.example/emulator/wire"
	"monsoondeck.example/sleeper"
)

// Outage is the behaviour of an emulated service during an outage.
type Outage string

// Kinds of outages.
const (
	OutageNone Outage = "none"
	// OutageRefuse responds with status 503 before the request has any effect.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts requests and does not respond. At the end of the outage it
	// closes their connections.
	OutageHang Outage = "hang"
	// OutageAbort closes the connection without a response and without effect.
	OutageAbort Outage = "abort"
)

// Change is the body of POST /v1/control. An absent field leaves its fault as it is.
type Change struct {
	Outage *Outage `json:"outage,omitempty"`
	// LatencyMs delays every request, in milliseconds.
	LatencyMs *int `json:"latencyMs,omitempty"`
	// LoseAnswers lets the next n requests take effect and then closes their
	// connections instead of responding.
	LoseAnswers *int `json:"loseAnswers,omitempty"`
	// Slowdown multiplies the time that requests take; 1 is normal, and values of 0 or
	// less are ignored.
	Slowdown *float64 `json:"slowdown,omitempty"`
	// BreakStreams closes the connection of the next n streams after BreakAfterTokens
	// tokens.
	BreakStreams     *int `json:"breakStreams,omitempty"`
	BreakAfterTokens *int `json:"breakAfterTokens,omitempty"`
	// ForeignIDs responds to the next n requests with the ID of another request.
	ForeignIDs *int `json:"foreignIds,omitempty"`
	// RefuseAll refuses every request without running it.
	RefuseAll *bool `json:"refuseAll,omitempty"`
	// StaleReadMs makes a table service return the state of that many milliseconds ago
	// to reads of single rows.
	StaleReadMs *int `json:"staleReadMs,omitempty"`
	// Restart makes a target abort its requests, lose its state and start a new
	// incarnation. Services with durable state, such as the table, ignore it.
	Restart bool `json:"restart,omitempty"`
}

// Faults holds the current faults of one emulated service. It is safe for concurrent
// use.
type Faults struct {
	mu    sync.Mutex
	state state
}

// state is the value of each fault. The fields mean the same as those of Change; the
// counts are those of the requests still to be affected.
type state struct {
	outage           Outage
	latency          time.Duration
	loseAnswers      int
	slowdown         float64
	breakStreams     int
	breakAfterTokens int
	foreignIDs       int
	refuseAll        bool
	staleReads       time.Duration
}

// New returns Faults in which no fault is set.
func New() *Faults {
	return &Faults{state: state{outage: OutageNone, slowdown: 1}}
}

// Apply changes the faults that are present in c.
func (f *Faults) Apply(c Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	setIfPresent(&f.state.outage, c.Outage)
	if c.LatencyMs != nil {
		f.state.latency = time.Duration(*c.LatencyMs) * time.Millisecond
	}
	setIfPresent(&f.state.loseAnswers, c.LoseAnswers)
	if c.Slowdown != nil && *c.Slowdown > 0 {
		f.state.slowdown = *c.Slowdown
	}
	setIfPresent(&f.state.breakStreams, c.BreakStreams)
	setIfPresent(&f.state.breakAfterTokens, c.BreakAfterTokens)
	setIfPresent(&f.state.foreignIDs, c.ForeignIDs)
	setIfPresent(&f.state.refuseAll, c.RefuseAll)
	if c.StaleReadMs != nil {
		f.state.staleReads = time.Duration(*c.StaleReadMs) * time.Millisecond
	}
}

// setIfPresent assigns the value of from, unless from is nil.
func setIfPresent[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// Slowdown returns the factor by which requests take longer.
func (f *Faults) Slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.slowdown
}

// RefuseAll reports whether every request must be refused.
func (f *Faults) RefuseAll() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.refuseAll
}

// StaleReads returns the age of the state that reads return.
func (f *Faults) StaleReads() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.staleReads
}

// TakeLostAnswer reports whether the response to this request must be lost, and
// counts the request if so.
func (f *Faults) TakeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return takeOne(&f.state.loseAnswers)
}

// TakeForeignID reports whether the response to this request must have the ID of
// another request, and counts the request if so.
func (f *Faults) TakeForeignID() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return takeOne(&f.state.foreignIDs)
}

// TakeBreak reports whether this stream must be broken and after how many tokens, and
// counts the stream if so.
func (f *Faults) TakeBreak() (tokens int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.breakAfterTokens, takeOne(&f.state.breakStreams)
}

// takeOne decrements a count and reports whether it was positive.
func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Gate applies latency and outage to a request that has had no effect yet. It reports
// whether the request may proceed. During an outage it either responds to the request
// and returns false, or panics with http.ErrAbortHandler to close the connection.
func (f *Faults) Gate(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	outage, latency := f.state.outage, f.state.latency
	f.mu.Unlock()
	if latency > 0 && !sleeper.Sleep(r.Context(), latency) {
		panic(http.ErrAbortHandler)
	}
	switch outage {
	case OutageRefuse:
		wire.Refuse(w, http.StatusServiceUnavailable, "outage", "out of service")
		return false
	case OutageHang:
		for f.isHanging() {
			if !sleeper.Sleep(r.Context(), hangPollInterval) {
				break
			}
		}
		panic(http.ErrAbortHandler)
	case OutageAbort:
		panic(http.ErrAbortHandler)
	case OutageNone:
	}
	return true
}

// hangPollInterval is the longest delay until a hanging request notices the end of the
// outage.
const hangPollInterval = 20 * time.Millisecond

// isHanging reports whether the current outage is OutageHang.
func (f *Faults) isHanging() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.outage == OutageHang
}

// ServeControl reads a Change from a request to /v1/control and applies it. It
// reports whether the request asked for a restart.
func (f *Faults) ServeControl(w http.ResponseWriter, r *http.Request) (restart bool) {
	var c Change
	if r.Method != http.MethodPost {
		wire.WriteError(w, http.StatusMethodNotAllowed, "method", "control needs POST")
		return false
	}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		wire.WriteError(w, http.StatusBadRequest, "body", err.Error())
		return false
	}
	f.Apply(c)
	w.WriteHeader(http.StatusNoContent)
	return c.Restart
}
