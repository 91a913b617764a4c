// Package orderer decides which orders the owner of a shard sends to its model
// engines, so that each engine loads the models that the configuration names. It
// does no I/O and reads no clock: callers pass events with a reading of the
// monotonic clock and carry out the returned actions. It never orders an engine
// to unload a model.
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

// State is what an engine reports about itself.
type State struct {
	// Models are ready to serve; Loading were ordered and are not ready yet.
	Models  []string `json:"models"`
	Loading []string `json:"loading"`
	// Fence is the highest fencing number of an accepted order.
	Fence uint64 `json:"fence"`
	// RefusesOldFence is set if the engine refuses fencing numbers below Fence.
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
	// RenewedAt is when the ownership was last confirmed, by the monotonic clock. It
	// may be used for one lease from then on.
	RenewedAt time.Duration
	// Targets are the engines of the owned shards.
	Targets []Target
	// Owners is the number of daemons that own engines; Rank is the index of this
	// one among them. The rank staggers the first loads of the owners.
	Owners, Rank int
}

// Kind says what an Action does.
type Kind int

// The kinds of actions. Each is answered by one Reply.
const (
	// ActionReadState reads the state of the engine.
	ActionReadState Kind = iota
	// ActionReadRow reads the row of the target.
	ActionReadRow
	// ActionRaiseFence writes Record to the row on condition that the row is still
	// at Revision.
	ActionRaiseFence
	// ActionSendOrder sends Record to the engine.
	ActionSendOrder
)

// Action is a call that the driver makes.
type Action struct {
	Kind   Kind
	Target Target
	// CallID is unique and is repeated in the Reply.
	CallID   uint64
	Record   Record
	Revision uint64
	// Deadline is when ActionSendOrder must have been sent, by the monotonic clock.
	Deadline time.Duration
}

// Sendable reports whether the order may still be sent. Callers check it with a
// new reading of the clock as the last step before they send, because the process
// may have been paused since the action was made.
func (a Action) Sendable(now time.Duration) bool { return now < a.Deadline }

// Result is the outcome of a call.
type Result int

// The results of calls.
const (
	// ResultDone: the call took effect.
	ResultDone Result = iota
	// ResultRefused: the engine has accepted a newer fencing number.
	ResultRefused
	// ResultFailed: anything else, such as a conflict, a call that was not made or
	// a lost response. The call may have taken effect.
	ResultFailed
)

// Reply is the result of an action.
type Reply struct {
	Target string
	CallID uint64
	Result Result
	// State is set for ActionReadState, Row for ActionReadRow.
	State State
	Row   Row
}

// View is an immutable copy of the last reported states, for use by other
// goroutines.
type View struct{ states map[string]State }

// Serves reports false only if the last state of the target lacks the model. A
// target that has not reported, or that another daemon owns, may serve it.
func (v View) Serves(target, model string) bool {
	s, known := v.states[target]
	return !known || slices.Contains(s.Models, model)
}
