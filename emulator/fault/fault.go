// Package fault holds the faults that tests set on a stand-in.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"monsoondeck.example/emulator/wire"
	"monsoondeck.example/sleeper"
)

// Outage says how a stand-in behaves during an outage.
type Outage string

// Outages.
const (
	OutageNone Outage = "none"
	// OutageRefuse answers 503 before the request has any effect.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts requests and does not answer; at the end of the outage
	// their connections are closed.
	OutageHang Outage = "hang"
	// OutageAbort closes the connection without an answer and without effect.
	OutageAbort Outage = "abort"
)

// Change is the body of POST /v1/control. Absent fields stay as they are.
type Change struct {
	Outage    *Outage `json:"outage,omitempty"`
	LatencyMs *int    `json:"latencyMs,omitempty"`
	// LoseAnswers closes the connection of the next n requests after their
	// effect instead of answering.
	LoseAnswers *int `json:"loseAnswers,omitempty"`
	// Slowdown multiplies the time a target needs; 1 is normal.
	Slowdown *float64 `json:"slowdown,omitempty"`
	// BreakStreams breaks the next n streams after BreakAfterTokens tokens.
	BreakStreams     *int `json:"breakStreams,omitempty"`
	BreakAfterTokens *int `json:"breakAfterTokens,omitempty"`
	// ForeignIDs answers the next n requests with the id of another request.
	ForeignIDs *int `json:"foreignIds,omitempty"`
	// RefuseAll refuses every request before it runs.
	RefuseAll *bool `json:"refuseAll,omitempty"`
	// StaleReadMs makes a table service answer reads with the state of that many
	// milliseconds ago.
	StaleReadMs *int `json:"staleReadMs,omitempty"`
	// Restart loses all state but durable rows and starts a new incarnation.
	Restart bool `json:"restart,omitempty"`
}

// Faults are the current faults of one stand-in. It is safe for concurrent use.
type Faults struct {
	mu      sync.Mutex
	current values
}

type values struct {
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

// New returns Faults without any fault.
func New() *Faults {
	return &Faults{current: values{outage: OutageNone, slowdown: 1}}
}

// Apply applies a change.
func (f *Faults) Apply(c Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set(&f.current.outage, c.Outage)
	if c.LatencyMs != nil {
		f.current.latency = time.Duration(*c.LatencyMs) * time.Millisecond
	}
	set(&f.current.loseAnswers, c.LoseAnswers)
	if c.Slowdown != nil && *c.Slowdown > 0 {
		f.current.slowdown = *c.Slowdown
	}
	set(&f.current.breakStreams, c.BreakStreams)
	set(&f.current.breakAfterTokens, c.BreakAfterTokens)
	set(&f.current.foreignIDs, c.ForeignIDs)
	set(&f.current.refuseAll, c.RefuseAll)
	if c.StaleReadMs != nil {
		f.current.staleReads = time.Duration(*c.StaleReadMs) * time.Millisecond
	}
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// Slowdown returns the factor on the time a target needs.
func (f *Faults) Slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.slowdown
}

// RefuseAll tells whether every request is to be refused.
func (f *Faults) RefuseAll() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.refuseAll
}

// StaleReads returns how old the state is that reads see.
func (f *Faults) StaleReads() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.staleReads
}

// TakeLostAnswer tells whether the answer to this request is to be lost.
func (f *Faults) TakeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.current.loseAnswers)
}

// TakeForeignID tells whether this request is to be answered with another id.
func (f *Faults) TakeForeignID() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.current.foreignIDs)
}

// TakeBreak returns after how many tokens this stream is to be broken.
func (f *Faults) TakeBreak() (tokens int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.breakAfterTokens, take(&f.current.breakStreams)
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Gate applies latency and outage to a request that has had no effect yet. It
// reports whether the request may proceed. During an outage it has answered
// the request, or it panics with http.ErrAbortHandler to close the connection.
func (f *Faults) Gate(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	outage, latency := f.current.outage, f.current.latency
	f.mu.Unlock()
	if latency > 0 && !sleeper.Sleep(r.Context(), latency) {
		panic(http.ErrAbortHandler)
	}
	switch outage {
	case OutageRefuse:
		wire.Refuse(w, http.StatusServiceUnavailable, "outage", "out of service")
		return false
	case OutageHang:
		for f.hangs() {
			if !sleeper.Sleep(r.Context(), hangPoll) {
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

// hangPoll is how late a hanging request notices the end of the outage.
const hangPoll = 20 * time.Millisecond

func (f *Faults) hangs() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.outage == OutageHang
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
