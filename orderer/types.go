// Package orderer decides which orders the owner of a shard sends to its model
// engines, so that each engine has the models that the configuration names. It
// is pure: it takes events with a reading of the monotonic clock and returns
// actions. It never orders an engine to unload a model.
package orderer

import (
	"slices"
	"time"
)

// OrderLoad is the only order that the package sends.
const OrderLoad = "load"

// Target is an engine with the models that the configuration names for it.
type Target struct {
	ID      string
	Address string
	Models  []string
}

// State is what an engine reports of itself.
type State struct {
	// Models are ready to serve; Loading were ordered and are not ready yet.
	Models  []string `json:"models"`
	Loading []string `json:"loading"`
	// Fence is the highest fencing number of an accepted order.
	Fence uint64 `json:"fence"`
	// RefusesOldFence tells that the engine refuses lower numbers than Fence.
	RefusesOldFence bool `json:"refusesOldFence"`
}

// Record is the value of a target's row in the table service: the newest order
// and the fencing number, which only ever increases.
type Record struct {
	Fence uint64 `json:"fence"`
	// Owner is unique to one run of one daemon.
	Owner string `json:"owner"`
	Order string `json:"order"`
	Model string `json:"model"`
}

// Row is a Record at a revision; the revision is 0 for an absent row.
type Row struct {
	Record
	Revision uint64
}

// Ownership is what the daemon owns at one moment.
type Ownership struct {
	// Renewed is when the ownership was last found to hold; it may be used for
	// one lease from then on.
	Renewed time.Duration
	// Targets are the engines of the owned shards.
	Targets []Target
	// Owners is the number of daemons that own engines; Rank is the place of this
	// one among them, from 0, so that the first loads of all owners are spread.
	Owners, Rank int
}

// Kind says what an Action does.
type Kind int

// The kinds of actions. Each is answered by one Reply.
const (
	// ActionReadState reads what the engine reports.
	ActionReadState Kind = iota
	// ActionReadRow reads the row of the target.
	ActionReadRow
	// ActionRaise puts Record on condition that the row is at Revision.
	ActionRaise
	// ActionSend sends Record to the engine.
	ActionSend
)

// Action is a call that the driver makes.
type Action struct {
	Kind   Kind
	Target Target
	// Call is unique and is repeated in the Reply.
	Call     uint64
	Record   Record
	Revision uint64
	// Until is when ActionSend must have been sent.
	Until time.Duration
}

// Sendable must be asked with a new reading of the clock as the last step before
// an order is sent; the process may have been paused since the action was made.
func (a Action) Sendable(now time.Duration) bool { return now < a.Until }

// Result is the outcome of a call.
type Result int

// The results of calls.
const (
	// ResultDone: the call took effect.
	ResultDone Result = iota
	// ResultRefused: the engine knows a newer fencing number.
	ResultRefused
	// ResultFailed: anything else, such as a conflict, a call that was not made or
	// a lost answer. The call may have taken effect.
	ResultFailed
)

// Reply is the result of an action.
type Reply struct {
	Target string
	Call   uint64
	Result Result
	// State answers ActionReadState and Row answers ActionReadRow.
	State State
	Row   Row
}

// View is an immutable copy of what the engines reported last, for other
// goroutines.
type View struct{ states map[string]State }

// Serves is false only if the target reported that the model is not loaded. A
// target that has not reported, or that another daemon owns, may serve it.
func (v View) Serves(target, model string) bool {
	s, known := v.states[target]
	return !known || slices.Contains(s.Models, model)
}
