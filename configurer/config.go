// Package configurer holds the configuration of the fleet: immutable versions
// with client accounts, targets and operators, the deltas between versions, and
// a replica that merges deltas and snapshots arriving in any order.
package configurer

import "iter"

// Config is one version of the configuration. It is immutable and safe for
// concurrent use; the zero value is the empty configuration, version 0.
// Versions share all rows that did not change.
type Config struct {
	version   uint64
	accounts  index[Account]
	targets   index[Target]
	operators index[Operator]
	// accountsByKeyHash maps every key hash to the account that owns it.
	accountsByKeyHash index[Account]
	// pools maps the name of a pool to its targets, sorted by ID.
	pools  index[[]Target]
	digest digest
}

// Version returns the version of the last change that the configuration
// contains; 0 for the empty configuration.
func (c Config) Version() uint64 { return c.version }

// Account returns the account with the given ID; false if there is none.
func (c Config) Account(id string) (Account, bool) { return c.accounts.get(id) }

// AccountByKeyHash returns the account that owns the bearer key with the given
// hash (see KeyHash); false if there is none.
func (c Config) AccountByKeyHash(hash string) (Account, bool) { return c.accountsByKeyHash.get(hash) }

// Accounts yields every account, sorted by ID.
func (c Config) Accounts() iter.Seq[Account] { return c.accounts.values() }

// AccountCount returns the number of accounts.
func (c Config) AccountCount() int { return c.accounts.count() }

// Target returns the target with the given ID; false if there is none.
func (c Config) Target(id string) (Target, bool) { return c.targets.get(id) }

// Targets yields every target, sorted by ID.
func (c Config) Targets() iter.Seq[Target] { return c.targets.values() }

// TargetCount returns the number of targets.
func (c Config) TargetCount() int { return c.targets.count() }

// Operator returns the operator with the given name; false if there is none.
func (c Config) Operator(name string) (Operator, bool) { return c.operators.get(name) }

// Operators yields every operator, sorted by name.
func (c Config) Operators() iter.Seq[Operator] { return c.operators.values() }

// OperatorCount returns the number of operators.
func (c Config) OperatorCount() int { return c.operators.count() }

// Pool returns the targets of a pool, including draining ones, sorted by ID. The
// slice is shared: callers must not change it.
func (c Config) Pool(name string) []Target {
	targets, _ := c.pools.get(name)
	return targets
}

// Pools yields the name of every pool that has a target, sorted.
func (c Config) Pools() iter.Seq[string] { return c.pools.keys() }
