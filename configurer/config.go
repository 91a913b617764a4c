// Package configurer holds the configuration of the fleet as immutable values:
// client accounts, targets and operators, the deltas between versions, and the
// merge of deltas and snapshots that arrive in any order.
package configurer

import (
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Config is one version of the configuration. It is immutable and safe for
// concurrent use; the zero value is the empty configuration, version 0.
// Versions share all rows that did not change.
type Config struct {
	version   uint64
	accounts  *iradix.Tree[Account]
	targets   *iradix.Tree[Target]
	operators *iradix.Tree[Operator]
	// keys maps the key hash of an account to the account.
	keys *iradix.Tree[Account]
	// pools maps a pool to its targets sorted by ID.
	pools *iradix.Tree[[]Target]
	sum   digest
}

// Version is the number of the last change contained, 0 for the empty
// configuration.
func (c Config) Version() uint64 { return c.version }

// Account returns the account with the ID.
func (c Config) Account(id string) (Account, bool) { return get(c.accounts, id) }

// AccountByKeyHash returns the account that owns the bearer key with the given
// hash (see KeyHash).
func (c Config) AccountByKeyHash(hash string) (Account, bool) { return get(c.keys, hash) }

// Accounts yields every account, sorted by ID.
func (c Config) Accounts() iter.Seq[Account] { return values(c.accounts) }

// AccountCount is the number of accounts.
func (c Config) AccountCount() int { return count(c.accounts) }

// Target returns the target with the ID.
func (c Config) Target(id string) (Target, bool) { return get(c.targets, id) }

// Targets yields every target, sorted by ID.
func (c Config) Targets() iter.Seq[Target] { return values(c.targets) }

// TargetCount is the number of targets.
func (c Config) TargetCount() int { return count(c.targets) }

// Operator returns the operator with the name.
func (c Config) Operator(name string) (Operator, bool) { return get(c.operators, name) }

// Operators yields every operator, sorted by name.
func (c Config) Operators() iter.Seq[Operator] { return values(c.operators) }

// OperatorCount is the number of operators.
func (c Config) OperatorCount() int { return count(c.operators) }

// Pool returns the targets of a pool, sorted by ID, draining ones included. The
// slice is shared: callers must not change it.
func (c Config) Pool(name string) []Target {
	targets, _ := get(c.pools, name)
	return targets
}

// Pools yields the name of every pool that has a target, sorted.
func (c Config) Pools() iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range entries(c.pools) {
			if !yield(name) {
				return
			}
		}
	}
}

func get[V any](t *iradix.Tree[V], key string) (V, bool) {
	if t == nil {
		var none V
		return none, false
	}
	return t.Get([]byte(key))
}

func count[V any](t *iradix.Tree[V]) int {
	if t == nil {
		return 0
	}
	return t.Len()
}

func values[V any](t *iradix.Tree[V]) iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, v := range entries(t) {
			if !yield(v) {
				return
			}
		}
	}
}

func entries[V any](t *iradix.Tree[V]) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t == nil {
			return
		}
		it := t.Root().Iterator()
		for {
			k, v, ok := it.Next()
			if !ok || !yield(string(k), v) {
				return
			}
		}
	}
}
