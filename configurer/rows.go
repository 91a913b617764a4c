package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Kind is the kind of a target, which determines its protocol.
type Kind string

// Kinds of targets.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State says whether a target may receive new requests.
type State string

// States of a target.
const (
	StateActive   State = "active"
	StateDraining State = "draining"
)

// Role determines what an operator may do.
type Role string

// Roles of operators: viewers read, editors also change the configuration.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Account is a client account; callers authenticate for it with bearer keys.
type Account struct {
	ID   string `json:"id"`
	Name string `json:"name,omitempty"`
	// Share is the weight of the account relative to other accounts in scheduling,
	// finite and greater than 0.
	Share float64 `json:"share"`
	// KeyHashes are the hashes of the bearer keys (see KeyHash), sorted. A hash
	// belongs to at most one account.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Pools are the names of the pools (models or services) that the account may
	// use, sorted.
	Pools []string `json:"pools,omitempty"`
	// QueueLimit is the maximum number of the account's requests that wait in one
	// router; 0 means the router's default.
	QueueLimit int `json:"queueLimit,omitempty"`
}

// WithKeyHash returns a copy of the account with the key hash added.
func (a Account) WithKeyHash(hash string) Account {
	a.KeyHashes = sortedSet(append(slices.Clone(a.KeyHashes), hash))
	return a
}

// WithoutKeyHash returns a copy of the account with the key hash removed.
func (a Account) WithoutKeyHash(hash string) Account {
	a.KeyHashes = slices.DeleteFunc(slices.Clone(a.KeyHashes), func(h string) bool { return h == hash })
	return a
}

// MayUse reports whether the account may send requests to the pool.
func (a Account) MayUse(pool string) bool { return slices.Contains(a.Pools, pool) }

// Equal reports whether both accounts have the same content.
func (a Account) Equal(b Account) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Share == b.Share && a.QueueLimit == b.QueueLimit &&
		slices.Equal(a.KeyHashes, b.KeyHashes) && slices.Equal(a.Pools, b.Pools)
}

// normalized returns a copy of the account with sorted, distinct key hashes and
// pools.
func (a Account) normalized() Account {
	a.KeyHashes, a.Pools = sortedSet(a.KeyHashes), sortedSet(a.Pools)
	return a
}

// Target is a model engine or a plain service that runs requests.
type Target struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	// Address is the target's host:port.
	Address string `json:"address"`
	Kind    Kind   `json:"kind"`
	// Pools are the names of the models or services that the target serves, sorted.
	Pools []string `json:"pools"`
	// Slots is the number of requests that the target is expected to run
	// concurrently, at least 1.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Incarnation increases when the target is replaced; limits learned from an
	// older incarnation no longer apply.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// WithState returns a copy of the target in the given state.
func (t Target) WithState(s State) Target {
	t.State = s
	return t
}

// Equal reports whether both targets have the same content.
func (t Target) Equal(b Target) bool {
	return t.ID == b.ID && t.DataCentre == b.DataCentre && t.Address == b.Address && t.Kind == b.Kind &&
		t.Slots == b.Slots && t.State == b.State && t.Incarnation == b.Incarnation && slices.Equal(t.Pools, b.Pools)
}

// normalized returns a copy of the target with sorted, distinct pools.
func (t Target) normalized() Target {
	t.Pools = sortedSet(t.Pools)
	return t
}

// Operator is a person or a script that may use monsoonctl.
type Operator struct {
	Name    string `json:"name"`
	KeyHash string `json:"keyHash"`
	Role    Role   `json:"role"`
}

// KeyHash returns the hexadecimal SHA-256 of a key, the only form in which keys
// are stored.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// sortedSet returns a sorted copy without duplicates. It returns nil for an empty
// list, so that equal accounts and equal targets, which are rows of the sheet, have
// equal encodings.
func sortedSet(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(list)))
}
