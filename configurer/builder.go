package configurer

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// builder applies one delta to a copy of a configuration; the original is not
// modified.
type builder struct {
	accounts          index[Account]
	targets           index[Target]
	operators         index[Operator]
	accountsByKeyHash index[Account]
	// poolChanges maps a pool and a target ID to the new target; nil removes the
	// target from the pool.
	poolChanges map[string]map[string]*Target
	base        Config
	digest      digest
}

func newBuilder(c Config) *builder {
	return &builder{
		accounts: c.accounts.writable(), targets: c.targets.writable(),
		operators: c.operators.writable(), accountsByKeyHash: c.accountsByKeyHash.writable(),
		poolChanges: map[string]map[string]*Target{}, base: c, digest: c.digest,
	}
}

func (b *builder) apply(d Delta) error {
	for _, id := range d.RemoveAccounts {
		b.removeAccount(id)
	}
	// The old key hashes of all changed accounts are removed first, so that a key
	// can move from one account to another within one change.
	for _, a := range d.PutAccounts {
		b.removeAccount(a.ID)
	}
	for _, a := range d.PutAccounts {
		if err := b.putAccount(a.normalized()); err != nil {
			return err
		}
	}
	for _, id := range d.RemoveTargets {
		b.removeTarget(id)
	}
	for _, t := range d.PutTargets {
		b.removeTarget(t.ID)
		if err := b.putTarget(t.normalized()); err != nil {
			return err
		}
	}
	for _, name := range d.RemoveOperators {
		b.removeOperator(name)
	}
	for _, o := range d.PutOperators {
		b.removeOperator(o.Name)
		if o.Name == "" || o.KeyHash == "" {
			return errors.Wrapf(ErrInvalid, "operator %q: name and key hash must not be empty", o.Name)
		}
		b.operators.set(o.Name, &o)
		b.digest.toggle("operator", o)
	}
	return nil
}

func (b *builder) removeAccount(id string) {
	old, ok := b.accounts.remove(id)
	if !ok {
		return
	}
	for _, h := range old.KeyHashes {
		b.accountsByKeyHash.remove(h)
	}
	b.digest.toggle("account", old)
}

func (b *builder) putAccount(a Account) error {
	if a.ID == "" || !(a.Share > 0) || math.IsInf(a.Share, 0) || a.QueueLimit < 0 {
		return errors.Wrapf(ErrInvalid, "account %q: ID must not be empty, share %v must be positive and finite, queue limit %d must not be negative", a.ID, a.Share, a.QueueLimit)
	}
	for _, h := range a.KeyHashes {
		if owner, taken := b.accountsByKeyHash.set(h, &a); taken && owner.ID != a.ID {
			return errors.Wrapf(ErrInvalid, "accounts %q and %q have a key hash in common", owner.ID, a.ID)
		}
	}
	if _, duplicate := b.accounts.set(a.ID, &a); duplicate {
		return errors.Wrapf(ErrInvalid, "delta puts account %q more than once", a.ID)
	}
	b.digest.toggle("account", a)
	return nil
}

func (b *builder) removeTarget(id string) {
	old, ok := b.targets.remove(id)
	if !ok {
		return
	}
	for _, p := range old.Pools {
		b.setPoolTarget(p, id, nil)
	}
	b.digest.toggle("target", old)
}

func (b *builder) putTarget(t Target) error {
	if t.ID == "" || t.Address == "" || t.Slots < 1 {
		return errors.Wrapf(ErrInvalid, "target %q: ID and address %q must not be empty, slots %d must be at least 1", t.ID, t.Address, t.Slots)
	}
	b.targets.set(t.ID, &t)
	for _, p := range t.Pools {
		b.setPoolTarget(p, t.ID, &t)
	}
	b.digest.toggle("target", t)
	return nil
}

// setPoolTarget records that a target of a pool is added, replaced or, if t is
// nil, removed.
func (b *builder) setPoolTarget(pool, id string, t *Target) {
	if b.poolChanges[pool] == nil {
		b.poolChanges[pool] = map[string]*Target{}
	}
	b.poolChanges[pool][id] = t
}

func (b *builder) removeOperator(name string) {
	if old, ok := b.operators.remove(name); ok {
		b.digest.toggle("operator", old)
	}
}

func (b *builder) config(version uint64) Config {
	pools := b.base.pools.writable()
	for name, changes := range b.poolChanges {
		if targets := applyPoolChanges(b.base.Pool(name), changes); len(targets) > 0 {
			pools.set(name, &targets)
		} else {
			pools.remove(name)
		}
	}
	return Config{
		version: version, accounts: b.accounts, targets: b.targets,
		operators: b.operators, accountsByKeyHash: b.accountsByKeyHash, pools: pools, digest: b.digest,
	}
}

// applyPoolChanges returns a new slice with the targets of a pool after the
// changes, sorted by ID; nil in changes removes a target.
func applyPoolChanges(targets []Target, changes map[string]*Target) []Target {
	result := make([]Target, 0, len(targets)+len(changes))
	for _, t := range targets {
		if _, changed := changes[t.ID]; !changed {
			result = append(result, t)
		}
	}
	for _, t := range changes {
		if t != nil {
			result = append(result, *t)
		}
	}
	slices.SortFunc(result, compareTargets)
	return result
}
