package registrar_test

import (
	"testing"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/registrar"
)

func drawEntries(t *rapid.T, label string) []registrar.Entry {
	var list []registrar.Entry
	for _, id := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, label+"present") {
			list = append(list, entry(id, int64(rapid.IntRange(1, 2).Draw(t, label+"incarnation")), rapid.Bool().Draw(t, label+"draining")))
		}
	}
	return list
}

// Guards against daemons that know different targets although they take the same
// changes, and against changes applied to another state than their base.
func TestChangesLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after, other := drawEntries(t, "before "), drawEntries(t, "after "), drawEntries(t, "other ")
		c := registrar.Difference(before, after, 7)
		got, ok := c.Apply(before)
		if !ok || registrar.Digest(got) != registrar.Digest(after) {
			t.Fatalf("%v and the change give %v, want %v", before, got, after)
		}
		if registrar.Digest(other) != registrar.Digest(before) {
			if _, ok := c.Apply(other); ok {
				t.Fatal("the change was applied to another state")
			}
		}
	})
}
