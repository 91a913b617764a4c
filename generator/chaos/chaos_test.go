package chaos

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/generator/loader"
)

// TestMain fixes the seed, so that every run has the same result. -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against a schedule that cannot be repeated, that omits a kind of event, or
// that has two overlapping events on the process of one daemon.
func TestScheduleIsRepeatableCompleteAndPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, daemons := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(6, 12).Draw(t, "daemons")
		duration := time.Duration(rapid.IntRange(60, 300).Draw(t, "seconds")) * time.Second
		events := Schedule(seed, duration, daemons, 10)
		if !slices.Equal(events, Schedule(seed, duration, daemons, 10)) {
			t.Fatal("the same arguments give another schedule")
		}
		seen := map[Kind]bool{}
		free := make([]time.Duration, daemons)
		for _, e := range events {
			seen[e.Kind] = true
			if e.At < faultFreeStart || e.At+e.Length > duration-faultFreeEnd || e.Subject < 0 {
				t.Fatalf("event %+v", e)
			}
			if e.Kind.disturbing() && e.At%blockLength > disturbingPart {
				t.Fatalf("disturbing event %+v late in its block", e)
			}
			if !e.Kind.onDaemon() {
				continue
			}
			if e.At < free[e.Subject] {
				t.Fatalf("event %+v on a daemon that is busy until %v", e, free[e.Subject])
			}
			free[e.Subject] = e.At + e.Length
		}
		for _, k := range kinds() {
			if !seen[k] {
				t.Fatalf("no event of kind %s", k)
			}
		}
	})
}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against measures that leave out a delay without a fault, or count the time
// of a fault as a delay.
func TestDelaysCountFromTheEndOfDisturbances(t *testing.T) {
	r := run{
		disturbances: []span{{at(10), at(16)}, {at(15), at(18)}},
		drains:       []drain{{"e1", at(1), at(7)}, {"e2", at(8), at(30)}},
		commits:      []commit{{1, at(1)}, {2, at(8)}, {3, at(25)}},
	}
	run := func(target string, s float64) oracle.Execution { return oracle.Execution{Target: target, Start: at(s)} }
	for _, test := range []struct {
		executions []oracle.Execution
		want       time.Duration
	}{
		{[]oracle.Execution{run("e1", 0.5), run("e1", 7.5), run("e2", 17)}, 0},
		{[]oracle.Execution{run("e1", 2.5)}, 1500 * time.Millisecond},
		{[]oracle.Execution{run("e2", 20)}, 2 * time.Second},
		{[]oracle.Execution{run("e3", 3)}, 0},
	} {
		if got := r.drainLate(test.executions); got != test.want {
			t.Errorf("%+v: late by %v, want %v", test.executions, got, test.want)
		}
	}
	m := newMonitor(nil)
	for s, version := range map[float64]uint64{0: 0, 2: 0, 2.5: 1, 12: 1, 19: 1, 20: 2, 25.5: 2, 29: 3} {
		m.seen["d"] = append(m.seen["d"], observation{at: at(s), version: version, ready: true})
	}
	slices.SortFunc(m.seen["d"], func(a, b observation) int { return a.at.Compare(b.at) })
	if lag, undisturbed := r.configLag(m); lag != time.Second || undisturbed != 2 {
		t.Errorf("lag %v, %d undisturbed", lag, undisturbed)
	}
	m.seen["late"] = []observation{{at: at(27), version: 2, ready: true}, {at: at(28), version: 2}}
	if lag, _ := r.configLag(m); lag != 2*time.Second {
		t.Errorf("lag %v with a late daemon", lag)
	}
}

// Guards against an unnoticed change to an older version, and against a restart
// that counts as one.
func TestMonitorNoticesOlderVersions(t *testing.T) {
	m := newMonitor(nil)
	for _, o := range []observation{{incarnation: 1, version: 3}, {incarnation: 2, version: 0}, {incarnation: 2, version: 3}} {
		m.observe("d", o)
	}
	if m.reverted != 0 {
		t.Fatalf("a restart counts as %d", m.reverted)
	}
	if m.observe("d", observation{incarnation: 2, version: 2}); m.reverted != 1 {
		t.Fatalf("reverted %d", m.reverted)
	}
}

// Guards against cut requests that are not attributed to a planned stop, and against
// those of another router or time that are.
func TestCutInFlightNeedsAStopOfTheSameRouter(t *testing.T) {
	r := run{log: discard{}, stops: []stop{{"a", at(10), at(15)}}}
	result := func(router string, from, to float64, broken bool) loader.Result {
		return loader.Result{Router: router, Start: at(from), End: at(to), Broken: broken}
	}
	results := []loader.Result{
		result("a", 9, 12, true), result("a", 11, 15.1, true), // cut
		result("a", 9, 12, false), result("b", 9, 12, true), result("a", 5, 9, true), result("a", 16, 17, true),
	}
	if n := r.cutInFlight(results); n != 2 {
		t.Fatalf("%d cut", n)
	}
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
