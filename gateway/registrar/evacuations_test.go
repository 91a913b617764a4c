package registrar_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/registrar"
)

func evacuated(era, revision uint64, dataCentres ...string) registrar.EvacuationState {
	return registrar.NewEvacuationState(registrar.Moment{Era: era, Revision: revision}, dataCentres)
}

// Guards against news that arrives late and takes back an evacuation, or puts one back in
// force, and against an evacuation that is lost at once with a store that came back from an
// older state, or that is kept for ever.
func TestEvacuationsFollowTheStore(t *testing.T) {
	e := registrar.NewEvacuations()
	for i, step := range []struct {
		now     time.Duration
		state   registrar.EvacuationState
		applied bool
		want    []string
	}{
		{1, evacuated(1, 10, "b", "a", "b", ""), true, []string{"a", "b"}},
		{2, evacuated(1, 9), false, []string{"a", "b"}},
		{3, evacuated(1, 12, "b"), true, []string{"b"}},
		{4, evacuated(2, 5, "c"), true, []string{"b", "c"}},
		{5, evacuated(1, 20, "d"), false, []string{"b", "c"}},
		{6 + 3*time.Second, evacuated(2, 6, "c"), true, []string{"c"}},
		{7 + 3*time.Second, evacuated(2, 7), true, nil},
	} {
		if applied := e.Apply(step.now, step.state); applied != step.applied || !slices.Equal(e.InForce(step.now), step.want) {
			t.Errorf("step %d: applied %t, evacuated %v, want %t, %v", i, applied, e.InForce(step.now), step.applied, step.want)
		}
	}
}

// Guards against rows of the operator's table that make reports too large to be sent.
func TestEvacuationStateIsBounded(t *testing.T) {
	names := []string{strings.Repeat("x", 100_000)}
	for i := range 10_000 {
		names = append(names, fmt.Sprint("z", i))
	}
	size := 0
	for _, name := range evacuated(1, 1, names...).DataCentres {
		size += len(name)
	}
	if size == 0 || size > 10_000 {
		t.Errorf("the names have %d bytes", size)
	}
}
