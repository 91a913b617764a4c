package configurer

import (
	"iter"

	"github.com/tidwall/btree"
)

// index is an ordered map from keys to rows with copy-on-write semantics: copies
// share tree nodes until a write copies the nodes that it changes. Rows are
// stored as pointers to make copying a node cheap. An index that belongs to a
// Config is never written.
type index[V any] struct{ tree *btree.Map[string, *V] }

// get returns a row; false if there is none.
func (x index[V]) get(key string) (V, bool) {
	if x.tree != nil {
		if v, ok := x.tree.Get(key); ok {
			return *v, true
		}
	}
	var zero V
	return zero, false
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

// writable returns a copy that may be written until it belongs to a Config.
func (x index[V]) writable() index[V] {
	if x.tree == nil {
		return index[V]{tree: &btree.Map[string, *V]{}}
	}
	// Copy also writes to its receiver, to mark the nodes as shared. That would be a
	// data race between goroutines that derive versions from the same one, so the
	// receiver is a shallow copy.
	shallow := *x.tree
	return index[V]{tree: shallow.Copy()}
}

// set stores a row and returns the row that it replaces; false if there is none.
func (x index[V]) set(key string, v *V) (V, bool) {
	if old, replaced := x.tree.Set(key, v); replaced {
		return *old, true
	}
	var zero V
	return zero, false
}

// remove deletes a row and returns it; false if there is none.
func (x index[V]) remove(key string) (V, bool) {
	if old, removed := x.tree.Delete(key); removed {
		return *old, true
	}
	var zero V
	return zero, false
}
