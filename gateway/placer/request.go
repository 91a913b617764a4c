package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/gateway/registrar"
)

// Part is one part of a prompt. Requests share leading parts.
type Part struct {
	// Chain identifies the part together with all parts before it, since an engine
	// can use a kept part only if it keeps those before it too.
	Chain  uint64
	Tokens int
}

// Chain returns the parts of a prompt with the given identities and numbers of
// tokens. Parts of different models are different.
func Chain(model string, identities []string, tokens []int) []Part {
	if len(identities) == 0 {
		return nil
	}
	h := xxhash.New()
	_, _ = h.WriteString(model) // a hash does not fail
	parts := make([]Part, len(identities))
	for i, id := range identities {
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(id)
		parts[i] = Part{Chain: h.Sum64(), Tokens: tokens[i]}
	}
	return parts
}

// Request is what the place of a request depends on.
type Request struct {
	// ID is unique in this daemon.
	ID      uint64
	Service string
	// Prompt is the number of tokens of the prompt, Output the expected number of
	// generated tokens.
	Prompt, Output int
	// Parts are the parts of the prompt in order; the last one is the request's own.
	Parts []Part
	// Pace is the longest mean pause between events with which the answer is whole in
	// time; 0 sets no limit.
	Pace time.Duration
	// Retry is set if the request was sent to a target before.
	Retry bool
	// Excluded targets have failed or refused the request.
	Excluded []string
}

// memory returns the number of tokens that the request needs in an engine.
func (r Request) memory() float64 { return float64(r.Prompt + r.Output) }

// Cost returns the service that the request takes: a token read counts once and
// one generated twice.
func (r Request) Cost() float64 { return float64(r.Prompt + 2*r.Output) }

// affinity returns the identity of the shared leading parts; 0 if there are none.
func (r Request) affinity() uint64 {
	if len(r.Parts) < 2 {
		return 0
	}
	return r.Parts[len(r.Parts)-2].Chain
}

// shared returns the number of tokens of the shared parts.
func (r Request) shared() float64 {
	total := 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		total += p.Tokens
	}
	return float64(total)
}

// Terms bound what a request may take.
type Terms struct {
	// Allowance is the time in which the first event should come.
	Allowance time.Duration
	// Spare requests only use capacity that others leave: engines take them only while
	// they are far from as busy as they may be.
	Spare bool
	// Standing is the part of the spare capacity that the account of a spare request
	// may use, compared with the others; 1 is the mean.
	Standing float64
	// Waited is the time that the request has waited. An engine that does not keep its
	// shared parts gets it only after some time, since the others may soon have room.
	Waited time.Duration
}

// Choice is a place for a request.
type Choice struct {
	Target registrar.Entry
	// Expected is the expected time to the first event.
	Expected time.Duration
	// Fits reports whether the target can answer within the allowance and has room.
	Fits bool
	// Full is set if the target has no slot or memory, or its streams are too slow.
	Full bool
	// Home is set if the target is the first one for the prompt.
	Home bool
	// Unread is the number of prompt tokens that the engine must read, Shared the part
	// of them that another engine keeps, and Ahead the number that it reads until the
	// first event.
	Unread, Shared, Ahead float64
	// Copied is the number of shared tokens that the engine is told to copy from
	// another one, and Source the address of that one; empty for none.
	Copied float64
	Source string
}

// rank orders the targets for an identity by rendezvous hashing; all daemons
// agree on the order without messages, and the loss of a target moves only the
// identities that it had.
func rank(affinity, target uint64) uint64 {
	x := affinity ^ target
	// The finalizer of splitmix64 spreads the bits.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// places holds the first targets in the order of an identity.
type places struct {
	targets [rankedTargets]*target
	ranks   [rankedTargets]uint64
}

// add keeps the target if it is among the first.
func (p *places) add(t *target, rank uint64) {
	for i := range p.targets {
		if p.targets[i] == nil || rank > p.ranks[i] {
			copy(p.targets[i+1:], p.targets[i:])
			copy(p.ranks[i+1:], p.ranks[i:])
			p.targets[i], p.ranks[i] = t, rank
			return
		}
	}
}

// of returns the place of a target in the order.
func (p *places) of(t *target) int {
	for i, other := range p.targets {
		if other == t {
			return i
		}
	}
	return rankedTargets
}
