// Package oracle records what the emulated targets executed. Tests and measurements
// compare these records with the responses that callers received.
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
	// StateAborted is the state of an aborted execution.
	StateAborted State = "cut"
)

// Execution records that one target ran one request.
type Execution struct {
	// RequestID is the header X-Request-Id that the target received.
	RequestID string `json:"requestId"`
	// CallerRequestID is the ID that the load generator wrote into the body or query
	// of the request; routers do not change it.
	CallerRequestID string `json:"callerRequestId,omitempty"`
	IdempotencyKey  string `json:"idempotencyKey,omitempty"`
	Target          string `json:"target"`
	// Pool is the model or service that the request asked for.
	Pool    string `json:"pool"`
	Account string `json:"account,omitempty"`
	// Incarnation distinguishes the starts of the target, which are counted from 1.
	Incarnation uint64 `json:"incarnation"`
	// Arrived is when the target had received the whole request, before any wait for
	// a slot; zero if the target does not record it.
	Arrived time.Time `json:"arrived,omitzero"`
	// Start is when the request got a slot. End is zero while it runs.
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
	State State     `json:"state"`
	// Units is the amount of service delivered; each kind of target defines its unit.
	Units float64 `json:"units"`
}

// Oracle records the executions of a set of targets and the service that they
// deliver over time. It is safe for concurrent use.
type Oracle struct {
	mu         sync.Mutex
	executions []*Execution
	service    map[serviceKey]float64 // units
	busy       map[busyKey]float64    // seconds of slot time
	slots      map[string]int         // by target
}

// New returns an empty Oracle.
func New() *Oracle {
	return &Oracle{
		service: map[serviceKey]float64{},
		busy:    map[busyKey]float64{},
		slots:   map[string]int{},
	}
}

// Run is a recorded execution whose progress the target reports.
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

// Add records units of service delivered at a time.
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

// Resume records that an aborted execution continues.
func (r *Run) Resume() {
	r.oracle.mu.Lock()
	defer r.oracle.mu.Unlock()
	r.execution.End, r.execution.State = time.Time{}, StateRunning
}

// Executions returns a copy of all executions in the order of their starts.
func (o *Oracle) Executions() []Execution {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]Execution, len(o.executions))
	for i, e := range o.executions {
		out[i] = *e
	}
	return out
}

// Duplicates counts the executions beyond the first with the same ID or key.
type Duplicates struct {
	RequestIDs       int `json:"requestIds"`
	CallerRequestIDs int `json:"callerRequestIds"`
	IdempotencyKeys  int `json:"idempotencyKeys"`
}

// Duplicates counts the duplicates among the recorded executions. Idempotency keys
// are compared within a client account.
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
