package configurer

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// builder collects the changes of one delta; the configuration that it started
// from stays as it was.
type builder struct {
	accounts  index[Account]
	targets   index[Target]
	operators index[Operator]
	keys      index[Account]
	pools     map[string]map[string]*Target // changed targets by pool; nil means removed
	old       Config
	sum       digest
}

func newBuilder(c Config) *builder {
	return &builder{
		accounts: c.accounts.writable(), targets: c.targets.writable(),
		operators: c.operators.writable(), keys: c.keys.writable(),
		pools: map[string]map[string]*Target{}, old: c, sum: c.sum,
	}
}

func (b *builder) apply(d Delta) error {
	for _, id := range d.RemoveAccounts {
		b.removeAccount(id)
	}
	// Old keys are removed first, so that a key can move from one account to
	// another within one change.
	for _, a := range d.PutAccounts {
		b.removeAccount(a.ID)
	}
	for _, a := range d.PutAccounts {
		if err := b.putAccount(a.normal()); err != nil {
			return err
		}
	}
	for _, id := range d.RemoveTargets {
		b.removeTarget(id)
	}
	for _, t := range d.PutTargets {
		b.removeTarget(t.ID)
		if err := b.putTarget(t.normal()); err != nil {
			return err
		}
	}
	for _, name := range d.RemoveOperators {
		b.removeOperator(name)
	}
	for _, o := range d.PutOperators {
		b.removeOperator(o.Name)
		if o.Name == "" || o.KeyHash == "" {
			return errors.Wrapf(ErrInvalid, "operator %q has no name or no key", o.Name)
		}
		b.operators.set(o.Name, &o)
		b.sum.toggle("operator", o)
	}
	return nil
}

func (b *builder) removeAccount(id string) {
	old, ok := b.accounts.remove(id)
	if !ok {
		return
	}
	for _, h := range old.KeyHashes {
		b.keys.remove(h)
	}
	b.sum.toggle("account", old)
}

func (b *builder) putAccount(a Account) error {
	if a.ID == "" || !(a.Share > 0) || math.IsInf(a.Share, 0) || a.QueueLimit < 0 {
		return errors.Wrapf(ErrInvalid, "account %q: share %v, queue limit %d", a.ID, a.Share, a.QueueLimit)
	}
	for _, h := range a.KeyHashes {
		if other, taken := b.keys.set(h, &a); taken && other.ID != a.ID {
			return errors.Wrapf(ErrInvalid, "accounts %q and %q have the same key", other.ID, a.ID)
		}
	}
	if _, twice := b.accounts.set(a.ID, &a); twice {
		return errors.Wrapf(ErrInvalid, "account %q is put twice", a.ID)
	}
	b.sum.toggle("account", a)
	return nil
}

func (b *builder) removeTarget(id string) {
	old, ok := b.targets.remove(id)
	if !ok {
		return
	}
	for _, p := range old.Pools {
		b.setPool(p, id, nil)
	}
	b.sum.toggle("target", old)
}

func (b *builder) putTarget(t Target) error {
	if t.ID == "" || t.Address == "" || t.Slots < 1 {
		return errors.Wrapf(ErrInvalid, "target %q: address %q, slots %d", t.ID, t.Address, t.Slots)
	}
	b.targets.set(t.ID, &t)
	for _, p := range t.Pools {
		b.setPool(p, t.ID, &t)
	}
	b.sum.toggle("target", t)
	return nil
}

func (b *builder) setPool(pool, id string, t *Target) {
	if b.pools[pool] == nil {
		b.pools[pool] = map[string]*Target{}
	}
	b.pools[pool][id] = t
}

func (b *builder) removeOperator(name string) {
	if old, ok := b.operators.remove(name); ok {
		b.sum.toggle("operator", old)
	}
}

func (b *builder) config(version uint64) Config {
	pools := b.old.pools.writable()
	for name, changes := range b.pools {
		if list := poolWith(b.old.Pool(name), changes); len(list) > 0 {
			pools.set(name, &list)
		} else {
			pools.remove(name)
		}
	}
	return Config{
		version: version, accounts: b.accounts, targets: b.targets,
		operators: b.operators, keys: b.keys, pools: pools, sum: b.sum,
	}
}

// poolWith returns a new sorted list with the changes.
func poolWith(list []Target, changes map[string]*Target) []Target {
	result := make([]Target, 0, len(list)+len(changes))
	for _, t := range list {
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
