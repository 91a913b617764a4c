package watcher

import (
	"slices"
	"testing"
)

// Guards against changes that replace what was read before, and against a whole read that
// keeps evacuations whose end was missed.
func TestEvacuatedSetFollowsReads(t *testing.T) {
	set := evacuatedSet{}
	for i, step := range []struct {
		found Operations
		whole bool
		want  []string
	}{
		{Operations{Evacuated: []string{"a", "b"}}, true, []string{"a", "b"}},
		{Operations{Evacuated: []string{"c"}, Reopened: []string{"a"}}, false, []string{"b", "c"}},
		{Operations{}, false, []string{"b", "c"}},
		{Operations{Evacuated: []string{"d"}}, true, []string{"d"}},
		{Operations{}, true, nil},
	} {
		set = set.with(step.found, step.whole)
		if names := set.names(); !slices.Equal(slices.Sorted(slices.Values(names)), step.want) {
			t.Errorf("step %d: %v, want %v", i, names, step.want)
		}
	}
}
