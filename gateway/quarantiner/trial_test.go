package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"monsoondeck.example/gateway/quarantiner"
)

// fleet is the place of a daemon in the fleet of the tests.
func fleet(host, daemons int) quarantiner.Fleet {
	return quarantiner.Fleet{Host: fmt.Sprint("h-", host), Daemons: daemons}
}

// doubtful returns the evidence against a part that was answered before it was in crashes, and
// the time at which its quarantine has begun.
func doubtful(crashes int) (*quarantiner.Quarantine, time.Duration) {
	q := quarantiner.New()
	q.RecordAnswer(time.Second, []quarantiner.Part{shared}, time.Second)
	for i := range crashes {
		crash(q, time.Duration(2+i)*time.Second, quarantiner.Crash(11+i), uint64(101+i), shared)
	}
	return q, time.Duration(crashes+3) * time.Second
}

// trialAt returns the time of the next trial of a daemon within ten minutes; false if there is
// none.
func trialAt(q *quarantiner.Quarantine, from time.Duration, f quarantiner.Fleet) (time.Duration, bool) {
	for now := from; now < from+10*time.Minute; now += 100 * time.Millisecond {
		if q.TakeTrial(now, []quarantiner.Part{shared}, f) {
			return now, true
		}
	}
	return 0, false
}

// Guards against a part in quarantine that nothing can prove sound for ten minutes, although
// answers did before: one request with it is let through after some seconds, and callers are
// told to come back after seconds.
func TestPartInDoubtGetsATrial(t *testing.T) {
	q, now := doubtful(3)
	_, until, refused := q.Blocked(now, []quarantiner.Part{shared})
	if !refused || until-now > 10*time.Second {
		t.Fatalf("refused %t, for %v, want a refusal for seconds", refused, until-now)
	}
	at, ok := trialAt(q, now, fleet(1, 9))
	if !ok || at-now > 30*time.Second {
		t.Fatalf("trial %t after %v, want one after seconds", ok, at-now)
	}
	if q.TakeTrial(at+time.Second, []quarantiner.Part{shared}, fleet(1, 9)) {
		t.Error("a second trial before the first one can have ended")
	}
	if !blocked(q, at+time.Second, shared) {
		t.Error("other requests are let through beside the trial")
	}
	if next, ok := trialAt(q, at+time.Second, fleet(1, 9)); !ok || next-at > time.Minute {
		t.Errorf("next trial %t after %v; the first one may not have told anything", ok, next-at)
	}
	q.RecordAnswer(at+2*time.Second, []quarantiner.Part{shared}, at)
	if blocked(q, at+2*time.Second, shared) {
		t.Error("the answer to the trial does not release the part")
	}
}

// Guards against trials that crash more targets than the users allow after the fifth crash,
// against trials of a part that no answer ever proved sound, and against those of a daemon
// that does not know the fleet.
func TestClearVerdictGetsNoTrial(t *testing.T) {
	q, now := doubtful(5)
	if at, ok := trialAt(q, now, fleet(1, 9)); ok {
		t.Errorf("a trial after five crashes, %v after the last", at-now)
	}
	if _, until, _ := q.Blocked(now, []quarantiner.Part{shared}); until-now < 5*time.Minute {
		t.Errorf("refused for %v after five crashes", until-now)
	}
	unproved := quarantiner.New()
	crash(unproved, 1*time.Second, 11, 101, shared)
	crash(unproved, 2*time.Second, 12, 102, shared)
	if _, ok := trialAt(unproved, 3*time.Second, fleet(1, 9)); ok {
		t.Error("a trial of a part that was never answered")
	}
	q, now = doubtful(3)
	if _, ok := trialAt(q, now, quarantiner.Fleet{Host: "h"}); ok {
		t.Error("a trial of a daemon that does not know the fleet")
	}
}

// Load: 12, 91 and 300 daemons that get requests with a part in doubt all the time. Guards
// against trials of many daemons at one moment, each of which would crash a target.
func TestTrialsOfAFleetAreSpread(t *testing.T) {
	for _, daemons := range []int{12, 91, 300} {
		var at []time.Duration
		for host := range daemons {
			q, now := doubtful(3)
			if trial, ok := trialAt(q, now, fleet(host, daemons)); ok {
				at = append(at, trial)
			}
		}
		if len(at) != daemons {
			t.Fatalf("%d of %d daemons had a trial", len(at), daemons)
		}
		most := 0
		for _, from := range at {
			n := 0
			for _, other := range at {
				if other >= from && other < from+time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		t.Logf("%d daemons: at most %d trials within a second", daemons, most)
		if most > 8 {
			t.Errorf("%d daemons: %d trials within a second", daemons, most)
		}
	}
}

// Guards against a part that becomes deadly after it was sound for long: trials of many
// daemons must not let more than three requests reach targets later than 3 s after the fifth
// crash.
func TestTrialsOfADeadlyPartAreBounded(t *testing.T) {
	for seed := range uint64(6) {
		f := newOutageFleet(seed)
		f.special, f.trials = 5, true
		f.run(4 * time.Second)
		f.deadly = true
		f.run(80 * time.Second)
		if len(f.crashes) < 3 {
			t.Fatalf("seed %d: %d crashes", seed, len(f.crashes))
		}
		if late := f.late(); late > 3 {
			t.Errorf("seed %d: %d late arrivals, %d crashes", seed, late, len(f.crashes))
		}
		t.Logf("seed %d: %d crashes, %d late arrivals", seed, len(f.crashes), f.late())
	}
}
