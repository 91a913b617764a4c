// Package oracle records what the stand-ins executed. Tests and measurements
// compare the record with what callers were told.
package oracle

import (
	"sync"
	"time"
)

// State is the state of an execution.
type State string

// States of an execution.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateCut      State = "cut"
)

// Execution is one run of one request at one target.
type Execution struct {
	// RequestID is the X-Request-Id the target received.
	RequestID string `json:"requestId"`
	// CallerRequestID is the id the load client wrote into the request body or
	// query; routers do not change it.
	CallerRequestID string `json:"callerRequestId,omitempty"`
	IdempotencyKey  string `json:"idempotencyKey,omitempty"`
	Target          string `json:"target"`
	Pool            string `json:"pool"`
	Account         string `json:"account,omitempty"`
	// Incarnation of the target that ran the request.
	Incarnation uint64 `json:"incarnation"`
	// Arrived is when the target had received the request, which may then have waited
	// for a slot; zero if the target does not record it.
	Arrived time.Time `json:"arrived,omitzero"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end,omitzero"`
	State   State     `json:"state"`
	// Units of service delivered.
	Units float64 `json:"units"`
}

// Oracle records executions and service of a set of targets. It is safe for
// concurrent use.
type Oracle struct {
	mu         sync.Mutex
	executions []*Execution
	service    map[serviceKey]float64
	busy       map[busyKey]float64
	slots      map[string]int
}

// New returns an empty Oracle.
func New() *Oracle {
	return &Oracle{
		service: map[serviceKey]float64{},
		busy:    map[busyKey]float64{},
		slots:   map[string]int{},
	}
}

// Run is an execution in progress.
type Run struct {
	oracle    *Oracle
	execution *Execution
}

// Begin records the start of an execution.
func (o *Oracle) Begin(e Execution) *Run {
	o.mu.Lock()
	defer o.mu.Unlock()
	e.Start, e.State = time.Now(), StateRunning
	o.executions = append(o.executions, &e)
	return &Run{oracle: o, execution: &e}
}

// Add records units of service delivered now.
func (r *Run) Add(now time.Time, units float64) {
	o := r.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	r.execution.Units += units
	o.service[serviceKey{bucketOf(now), r.execution.Account, r.execution.Target, r.execution.Pool}] += units
}

// AddSpan records units of service delivered evenly between two times.
func (r *Run) AddSpan(from, to time.Time, units float64) {
	total := to.Sub(from)
	if total <= 0 {
		r.Add(to, units)
		return
	}
	for from.Before(to) {
		end := from.Truncate(Bucket).Add(Bucket)
		if end.After(to) {
			end = to
		}
		r.Add(from, units*float64(end.Sub(from))/float64(total))
		from = end
	}
}

// End records the end of the execution.
func (r *Run) End(s State) {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	r.execution.End, r.execution.State = time.Now(), s
}

// Resume records that a cut execution continues.
func (r *Run) Resume() {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	r.execution.End, r.execution.State = time.Time{}, StateRunning
}

// Executions returns a copy of all executions in order of their start.
func (o *Oracle) Executions() []Execution {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]Execution, len(o.executions))
	for i, e := range o.executions {
		out[i] = *e
	}
	return out
}

// Duplicates counts the executions beyond the first of the same id or key.
type Duplicates struct {
	RequestIDs       int `json:"requestIds"`
	CallerRequestIDs int `json:"callerRequestIds"`
	IdempotencyKeys  int `json:"idempotencyKeys"`
}

// Duplicates returns the duplicates recorded so far. Idempotency keys are
// counted per client account.
func (o *Oracle) Duplicates() Duplicates {
	var d Duplicates
	type accountKey struct{ account, key string }
	ids, callers, keys := map[string]bool{}, map[string]bool{}, map[accountKey]bool{}
	for _, e := range o.Executions() {
		if e.RequestID != "" && ids[e.RequestID] {
			d.RequestIDs++
		}
		if e.CallerRequestID != "" && callers[e.CallerRequestID] {
			d.CallerRequestIDs++
		}
		k := accountKey{e.Account, e.IdempotencyKey}
		if e.IdempotencyKey != "" && keys[k] {
			d.IdempotencyKeys++
		}
		ids[e.RequestID], callers[e.CallerRequestID], keys[k] = true, true, true
	}
	return d
}
