package soaker_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"monsoondeck.example/generator/soaker"
)

// regressions are the seeds that have failed, with the cause.
var regressions = []struct {
	seed      uint64
	processes int
	duration  time.Duration
	// versions is the option Versions.
	versions int
	cause    string
}{
	{7, 9, 20 * time.Second, 0, "entries of targets that others had replaced took both attempts of each request"},
	{118, 9, 20 * time.Second, 0, "a stand-in whose caller had half-closed the connection ended its answer properly"},
	{136, 9, 20 * time.Second, 0, "a stand-in accepted a connection while it crashed"},
	{153, 9, 20 * time.Second, 0, "a stand-in that sent a second answer began a resumed stream again"},
	{190, 9, 20 * time.Second, 0, "a stand-in that sent a second answer began a resumed stream again"},
	{15003, 9, 10 * time.Second, 2, "a stand-in did not count the events of an answer that it broke off"},
}

// Guards against guarantees that real daemons violate under overlapping faults. No
// bound depends on the speed of the machine.
func TestShortSoakKeepsGuarantees(t *testing.T) {
	soak(t, soaker.Options{Seed: 1, Duration: 8 * time.Second, Processes: 4, Targets: 6, Gap: soaker.DefaultGap})
}

// Guards against daemons that do not follow a store that comes back from an older copy, also
// twice and while they start, stop and crash.
func TestSoakWithARestoredStoreKeepsGuarantees(t *testing.T) {
	soak(t, soaker.Options{Seed: 2, Duration: 10 * time.Second, Processes: 4, Targets: 6, Gap: soaker.DefaultGap, Restores: 2})
}

// optionRuns are runs with kinds of events that the seeds above do not have.
var optionRuns = []struct {
	name    string
	options soaker.Options
}{
	{"torn heads of responses", soaker.Options{Seed: 3, Duration: 8 * time.Second, TornHeads: 4}},
	{"planned stops in calm", soaker.Options{Seed: 4, Duration: 5 * time.Second, LateStops: 1}},
	{"software versions side by side, take-ups and mass restarts", soaker.Options{Seed: 8, Duration: 14 * time.Second, Versions: 2}},
	{"silent streams while all engines are full", soaker.Options{Seed: 5, Duration: 5 * time.Second, Silences: 1}},
}

// Guards against guarantees that real daemons violate under the kinds of events of the
// options.
func TestSoakWithOptionsKeepsGuarantees(t *testing.T) {
	for _, r := range optionRuns {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			r.options.Processes, r.options.Targets, r.options.Gap = 4, 6, time.Hour // no other events
			soak(t, r.options)
		})
	}
}

// Guards against requests that crash each target which runs them and come again.
func TestSoakWithDeadlyRequestsKeepsGuarantees(t *testing.T) {
	soak(t, soaker.Options{Seed: 6, Duration: 12 * time.Second, Processes: 4, Targets: 6, Gap: time.Hour, Deadly: 2})
}

// Guards against the faults that the listed seeds have revealed.
func TestSeedsThatFailedOnce(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed %d: %s", r.seed, r.cause), func(t *testing.T) {
			t.Parallel()
			soak(t, soaker.Options{Seed: r.seed, Duration: r.duration, Processes: r.processes, Targets: 8, Gap: soaker.DefaultGap, Versions: r.versions})
		})
	}
}

func soak(t *testing.T, o soaker.Options) {
	t.Helper()
	measurements, err := soaker.Check(context.Background(), o, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range measurements {
		if !m.OK {
			t.Errorf("%s: %v %s, want at most %v", m.Measure, m.Value, m.Unit, *m.Bound)
		}
	}
}
