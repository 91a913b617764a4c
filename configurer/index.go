package configurer

import (
	"iter"

	"github.com/tidwall/btree"
)

// index maps keys to rows in the order of keys. Versions of an index share their
// nodes; a published index is never written. Rows are pointers because a version
// copies the nodes that it changes.
type index[V any] struct{ tree *btree.Map[string, *V] }

func (x index[V]) get(key string) (V, bool) {
	if x.tree != nil {
		if v, ok := x.tree.Get(key); ok {
			return *v, true
		}
	}
	var none V
	return none, false
}

func (x index[V]) count() int {
	if x.tree == nil {
		return 0
	}
	return x.tree.Len()
}

func (x index[V]) entries() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if x.tree != nil {
			x.tree.Scan(func(key string, v *V) bool { return yield(key, *v) })
		}
	}
}

func (x index[V]) values() iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, v := range x.entries() {
			if !yield(v) {
				return
			}
		}
	}
}

func (x index[V]) keys() iter.Seq[string] {
	return func(yield func(string) bool) {
		for k := range x.entries() {
			if !yield(k) {
				return
			}
		}
	}
}

// writable returns a copy that may be written until it is published.
func (x index[V]) writable() index[V] {
	if x.tree == nil {
		return index[V]{tree: &btree.Map[string, *V]{}}
	}
	// Copying a tree also marks the original, which would be a data race between
	// readers that derive new versions; so a copy of its head is marked.
	head := *x.tree
	return index[V]{tree: head.Copy()}
}

// set stores a row and returns the one that it replaces.
func (x index[V]) set(key string, v *V) (V, bool) {
	if old, replaced := x.tree.Set(key, v); replaced {
		return *old, true
	}
	var none V
	return none, false
}

func (x index[V]) remove(key string) (V, bool) {
	if old, removed := x.tree.Delete(key); removed {
		return *old, true
	}
	var none V
	return none, false
}
