package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Kind tells what protocol a target speaks.
type Kind string

// Kinds of targets.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Target is one model engine or server of a plain service.
type Target struct {
	ID, Address string
	Kind        Kind
}

// Account is a client account.
type Account struct {
	ID    string
	Pools []string
}

// MayUse tells whether the account may send requests to the pool.
func (a Account) MayUse(pool string) bool { return slices.Contains(a.Pools, pool) }

// Config is one version of the configuration.
type Config interface {
	// AccountByKeyHash finds the account of a key by its SHA-256 hash in hex.
	AccountByKeyHash(hash string) (Account, bool)
	// Pool returns the targets of a pool, empty if there is no such pool.
	Pool(name string) []Target
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
