package watcher

import (
	"maps"
	"slices"
)

// evacuatedSet holds the data centres whose evacuation is requested.
type evacuatedSet map[string]bool

// with returns the set after a read; whole is set if that was not one of changes only.
func (s evacuatedSet) with(found Operations, whole bool) evacuatedSet {
	next := evacuatedSet{}
	if !whole {
		maps.Copy(next, s)
	}
	for _, name := range found.Reopened {
		delete(next, name)
	}
	for _, name := range found.Evacuated {
		next[name] = true
	}
	return next
}

func (s evacuatedSet) names() []string { return slices.Collect(maps.Keys(s)) }
