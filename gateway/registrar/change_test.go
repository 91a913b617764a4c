package registrar_test

import (
	"testing"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/registrar"
)

// drawEntries returns random entries with up to four IDs.
func drawEntries(t *rapid.T, label string) []registrar.Entry {
	var list []registrar.Entry
	for _, id := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, label+"present") {
			list = append(list, newEntry(id, int64(rapid.IntRange(1, 2).Draw(t, label+"incarnation")), rapid.Bool().Draw(t, label+"draining")))
		}
	}
	return list
}

// Guards against daemons that apply the same changes and end up with different
// targets, and against applying a change to a state other than its base.
func TestApplyingAChangeGivesTheNextState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after, other := drawEntries(t, "before "), drawEntries(t, "after "), drawEntries(t, "other ")
		c := registrar.Difference(before, after, registrar.Moment{Era: 1, Revision: 7})
		got, ok := c.Apply(before)
		if !ok || registrar.Digest(got) != registrar.Digest(after) {
			t.Fatalf("applying the change to %v gives %v, want %v", before, got, after)
		}
		if registrar.Digest(other) != registrar.Digest(before) {
			if _, ok := c.Apply(other); ok {
				t.Fatal("the change was applied to a state other than its base")
			}
		}
	})
}
