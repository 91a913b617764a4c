package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// PromptPart is a section of a prompt with an identity of its own. Requests have
// leading parts in common, and engines keep the computed state of parts in a cache.
// The last part of a prompt is not shared.
type PromptPart struct {
	// ID is a hash of the identity of the part alone, wherever it occurs.
	ID uint64
	// PrefixHash is a hash of the part and all parts before it, since an engine can
	// use a cached part only together with those before it.
	PrefixHash uint64
	Tokens     int
}

// NewPromptParts returns the parts of a prompt with the given identities and numbers
// of tokens. The hashes include the model, so that parts of different models differ.
func NewPromptParts(model string, identities []string, tokens []int) []PromptPart {
	if len(identities) == 0 {
		return nil
	}
	h := xxhash.New()
	_, _ = h.WriteString(model) // a hash does not fail
	parts := make([]PromptPart, len(identities))
	for i, id := range identities {
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(id)
		parts[i] = PromptPart{ID: xxhash.Sum64String(id), PrefixHash: h.Sum64(), Tokens: tokens[i]}
	}
	return parts
}

// Request holds the properties of a request that determine its target.
type Request struct {
	// ID is unique within this daemon.
	ID      uint64
	Service string
	// PromptTokens is the number of tokens of the prompt, OutputTokens the expected
	// number of generated tokens.
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// Fingerprint is equal for requests with the same method, path, query, client account
	// and body.
	Fingerprint uint64
	// MaxMeanEventGap is the longest mean gap between events with which the whole
	// answer is on time; 0 sets no limit.
	MaxMeanEventGap time.Duration
	// Regions limits the regions whose targets may get the request.
	Regions resolver.Regions
	// Version limits the software versions of the targets that may get the request.
	Version VersionLimit
	// Retry is set if the request was sent to a target before.
	Retry bool
	// Excluded holds the IDs of the targets that have failed or refused the request.
	Excluded []string
}

// memoryTokens returns the number of tokens that the request needs in the memory of
// an engine.
func (r Request) memoryTokens() float64 { return float64(r.PromptTokens + r.OutputTokens) }

// Cost returns the service that the request takes: each prompt token counts once and
// each generated token twice.
func (r Request) Cost() float64 { return float64(r.PromptTokens + 2*r.OutputTokens) }

// sharedPrefix returns the hash of the shared parts; 0 if there are none.
func (r Request) sharedPrefix() uint64 {
	if len(r.Parts) < 2 {
		return 0
	}
	return r.Parts[len(r.Parts)-2].PrefixHash
}

// sharedTokens returns the number of tokens of the shared parts.
func (r Request) sharedTokens() float64 {
	total := 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		total += p.Tokens
	}
	return float64(total)
}

// Constraints limit the targets that a request may use.
type Constraints struct {
	// FirstEventBudget is the time within which the first event should come.
	FirstEventBudget time.Duration
	// SpareOnly restricts the request to capacity that other requests leave unused:
	// engines accept it only while they are far below their limits.
	SpareOnly bool
	// SpareWeight is the weight of the account in the division of the spare capacity; 1
	// is the mean. It is set for requests with SpareOnly.
	SpareWeight float64
	// Continues is set for a stream that has begun, which the long event gaps or missing
	// shared parts of an engine do not keep from going on there.
	Continues bool
	// Waited is the time in the queue so far. The request may spill only after some
	// time, since the engines that have its shared parts cached may soon have room.
	Waited time.Duration
}

// Choice is the target chosen for a request, with the reasons.
type Choice struct {
	Target registrar.Entry
	// Expected is the expected time to the first event.
	Expected time.Duration
	// Fits reports whether the target can answer within the budget and has room.
	Fits bool
	// Full is set if the target has no slot or memory, if its event gaps are too long,
	// or if the request may not spill to it.
	Full bool
	// Limited is set if a request limit of the target is in force.
	Limited bool
	// SendBy is the time by which the request must be written, because the slot of this
	// daemon at the cold target ends then; 0 means no limit.
	SendBy time.Duration
	// FirstRanked is set if the target is the first one in the rendezvous order of
	// the prompt.
	FirstRanked bool
	// UncachedTokens is the number of prompt tokens that the engine has not cached,
	// UncachedSharedTokens the number of those that belong to shared parts, and
	// PrefillBacklog the number of tokens that the engine must prefill before the first
	// event.
	UncachedTokens, UncachedSharedTokens, PrefillBacklog float64
	// CopyTokens is the number of shared tokens that the engine should copy from
	// another one, and CopySource the address of that one; empty means none.
	CopyTokens float64
	CopySource string
}

// rank returns the weight of a target for the hash of a prefix in rendezvous
// hashing. All daemons get the same order without messages, and the loss of a target
// moves only the prefixes that ranked it first.
func rank(prefix, target uint64) uint64 {
	x := prefix ^ target
	// The finalizer of splitmix64 distributes the bits evenly.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// topRanked holds the highest-ranked targets for a prefix in descending order.
type topRanked struct {
	targets [rankedTargets]*target
	ranks   [rankedTargets]uint64
}

// insert adds the target if it is among the highest-ranked ones.
func (p *topRanked) insert(t *target, rank uint64) {
	for i := range p.targets {
		if p.targets[i] == nil || rank > p.ranks[i] {
			copy(p.targets[i+1:], p.targets[i:])
			copy(p.ranks[i+1:], p.ranks[i:])
			p.targets[i], p.ranks[i] = t, rank
			return
		}
	}
}

// position returns the position of a target in the order, or rankedTargets if it is
// not among the highest-ranked ones.
func (p *topRanked) position(t *target) int {
	for i, other := range p.targets {
		if other == t {
			return i
		}
	}
	return rankedTargets
}
