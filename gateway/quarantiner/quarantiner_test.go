package quarantiner_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/quarantiner"
)

const (
	deadly = quarantiner.Part(1)
	// subject comes with the deadly part and in sound requests, otherSubject in others,
	// shared in most requests.
	subject      = quarantiner.Part(2)
	shared       = quarantiner.Part(3)
	otherSubject = quarantiner.Part(4)
	// own is the last part of a prompt, which no other prompt has.
	own = quarantiner.Part(5)
)

// crash records that a target crashed under a prompt that was not answered yet.
func crash(q *quarantiner.Quarantine, now time.Duration, id quarantiner.Crash, prompt uint64, parts ...quarantiner.Part) {
	for _, p := range parts {
		q.RecordIncident(now, quarantiner.Incident{Part: p, Crash: id, Request: prompt})
	}
}

// crashPrompt records that a target crashed under a whole prompt.
func crashPrompt(q *quarantiner.Quarantine, now time.Duration, id quarantiner.Crash, prompt ...quarantiner.Part) {
	for _, i := range quarantiner.Incidents(prompt, uint64(prompt[len(prompt)-1]), id, 0) {
		q.RecordIncident(now, i)
	}
}

func blocked(q *quarantiner.Quarantine, now time.Duration, parts ...quarantiner.Part) bool {
	_, _, is := q.Blocked(now, parts)
	return is
}

// Guards against requests of one kind that crash target after target, and against
// refusing the sound requests that share their other parts.
func TestVerdicts(t *testing.T) {
	const s = time.Second
	bad := []quarantiner.Part{shared, subject, deadly}
	sound := []quarantiner.Part{shared, subject}
	other := []quarantiner.Part{shared, otherSubject, deadly}
	type set = [][]quarantiner.Part
	for name, c := range map[string]struct {
		run              func(q *quarantiner.Quarantine)
		refused, allowed set
	}{
		"one crash says nothing": {func(q *quarantiner.Quarantine) {
			crash(q, 1*s, 11, 101, bad...)
		}, nil, set{bad, sound, other}},
		"a part without an answer in two crashes": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, sound, 1*s)
			crash(q, 2*s, 11, 101, bad...)
			crash(q, 4*s, 12, 102, bad...)
		}, set{bad, other}, set{sound}},
		"two parts without an answer: either can be the cause": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, []quarantiner.Part{shared}, 1*s)
			crash(q, 2*s, 11, 101, bad...)
			crash(q, 4*s, 12, 102, bad...)
		}, set{bad}, set{sound, other}},
		"the answer of one of two suspects begins after the crashes": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, []quarantiner.Part{shared}, 1*s)
			crash(q, 2*s, 11, 101, bad...)
			crash(q, 4*s, 12, 102, bad...)
			q.RecordAnswer(6*s, sound, 5*s)
		}, set{bad, other}, set{sound}},
		"the third crash under another prompt tells two suspects apart": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, []quarantiner.Part{shared}, 1*s)
			crash(q, 2*s, 11, 101, bad...)
			crash(q, 4*s, 12, 102, bad...)
			crash(q, 6*s, 13, 103, other...)
			q.RecordAnswer(8*s, []quarantiner.Part{shared}, 7*s)
		}, set{bad, other}, set{sound}},
		"a sound prompt at the same target as a deadly one": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, []quarantiner.Part{shared}, 1*s)
			crash(q, 2*s, 11, 101, bad...)
			crash(q, 4*s, 12, 102, sound...)
			crash(q, 4*s, 12, 103, bad...)
		}, set{bad}, set{sound, other}},
		"a part of other prompts in all crashes explains them, too": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, sound, 1*s)
			crash(q, 2*s, 11, 101, bad...)
			crash(q, 2*s, 11, 201, otherSubject)
			crash(q, 4*s, 12, 102, bad...)
			crash(q, 4*s, 12, 202, otherSubject)
		}, nil, set{sound, {shared, otherSubject}}},
		"a part of other prompts in all crashes is answered": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, sound, 1*s)
			crash(q, 2*s, 11, 101, bad...)
			crash(q, 2*s, 11, 201, otherSubject)
			crash(q, 4*s, 12, 102, bad...)
			crash(q, 4*s, 12, 202, otherSubject)
			q.RecordAnswer(6*s, []quarantiner.Part{shared, otherSubject}, 5*s)
		}, set{bad, other}, set{sound, {shared, otherSubject}}},
		"a part of other prompts is not in the third crash": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, sound, 1*s)
			crash(q, 2*s, 11, 101, bad...)
			crash(q, 2*s, 11, 201, otherSubject)
			crash(q, 4*s, 12, 102, bad...)
			crash(q, 4*s, 12, 202, otherSubject)
			crash(q, 6*s, 13, 103, bad...)
			q.RecordAnswer(8*s, sound, 7*s)
		}, set{bad, other}, set{sound, {shared, otherSubject}}},
		"a part that was sound becomes deadly": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, bad, 1*s)
			for i := range 3 {
				at := time.Duration(2*i+2) * s
				crash(q, at, quarantiner.Crash(11+i), uint64(101+i), bad...)
				q.RecordAnswer(at+s, sound, at+s/2)
			}
		}, set{bad, other}, set{sound}},
		"targets that crash together count once": {func(q *quarantiner.Quarantine) {
			crash(q, 2*s, 11, 101, subject)
			crash(q, 2*s+50*time.Millisecond, 12, 102, subject)
			crash(q, 2*s+90*time.Millisecond, 13, 103, subject)
		}, nil, set{sound}},
		"one crash of which daemons report several prompts with delay": {func(q *quarantiner.Quarantine) {
			crash(q, 2*s, 11, 101, subject)
			crash(q, 3*s, 11, 102, subject)
			crash(q, 4*s, 11, 103, subject)
		}, nil, set{sound}},
		"repetitions of one prompt count once": {func(q *quarantiner.Quarantine) {
			crash(q, 2*s, 11, 101, subject)
			crash(q, 4*s, 12, 101, subject)
			crash(q, 6*s, 13, 101, subject)
		}, nil, set{sound}},
		"a prompt that its caller repeats is a bystander of two crashes": {func(q *quarantiner.Quarantine) {
			q.RecordAnswer(1*s, sound, 1*s)
			crashPrompt(q, 2*s, 11, shared, subject, own)
			crashPrompt(q, 4*s, 12, shared, subject, own)
		}, nil, set{{shared, subject, own}}},
		"a prompt that its caller repeats crashes three targets": {func(q *quarantiner.Quarantine) {
			for i := range 3 {
				q.RecordAnswer(time.Duration(2*i+1)*s, sound, time.Duration(2*i+1)*s)
				crashPrompt(q, time.Duration(2*i+2)*s, quarantiner.Crash(11+i), shared, subject, own)
			}
		}, set{{shared, subject, own}}, set{sound}},
		"crashes under sound prompts, each answered later": {func(q *quarantiner.Quarantine) {
			for i := range 10 {
				at := time.Duration(3*i) * s
				crash(q, at, quarantiner.Crash(11+i), uint64(i), sound...)
				q.RecordAnswer(at+2*s, sound, at+s)
			}
		}, nil, set{sound}},
	} {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New()
			c.run(q)
			for _, parts := range c.refused {
				if !blocked(q, 40*s, parts...) {
					t.Errorf("requests with %v are allowed", parts)
				}
			}
			for _, parts := range c.allowed {
				if blocked(q, 40*s, parts...) {
					t.Errorf("requests with %v are refused", parts)
				}
			}
		})
	}
}

// Guards against a quarantine that never ends, and against one that lets a target crash
// every ten minutes.
func TestQuarantineDoublesAfterEachTrial(t *testing.T) {
	q := quarantiner.New()
	now := time.Second
	crash(q, now, 11, 101, deadly)
	crash(q, now+time.Second, 12, 102, deadly)
	now += time.Second
	for i, want := range []time.Duration{10 * time.Minute, 20 * time.Minute, 40 * time.Minute} {
		until := q.Until(deadly)
		if until-now != want {
			t.Errorf("quarantine %d lasts %v, want %v", i+1, until-now, want)
		}
		now = until
		q.Expire(now)
		if blocked(q, now, deadly) {
			t.Errorf("quarantine %d does not end", i+1)
		}
		crash(q, now, quarantiner.Crash(20+i), uint64(200+i), deadly)
	}
}

// Guards against a part that a proof has cleared and that comes back into quarantine by
// the report of a daemon that has not heard of the proof.
func TestProofsPrevailOverOldReports(t *testing.T) {
	a, b := quarantiner.New(), quarantiner.New()
	crash(a, 1*time.Second, 11, 101, deadly)
	crash(a, 2*time.Second, 12, 102, deadly)
	old := a.All(2 * time.Second)
	b.Learn(2*time.Second, old)
	a.RecordAnswer(4*time.Second, []quarantiner.Part{deadly}, 3*time.Second)
	own, _ := a.TakeNew(4 * time.Second)
	for range 3 {
		a.Learn(5*time.Second, old)
		if blocked(a, 5*time.Second, deadly) {
			t.Fatal("an old report renews the quarantine")
		}
	}
	b.Learn(5*time.Second, own)
	if blocked(b, 5*time.Second, deadly) {
		t.Error("the other daemon keeps the quarantine")
	}
}

// Guards against verdicts that depend on the order in which daemons learn of the
// evidence, so that a request is refused by one and crashes a target through another.
func TestVerdictsDoNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observers := []*quarantiner.Quarantine{quarantiner.New(), quarantiner.New(), quarantiner.New()}
		now := time.Second
		var reports []quarantiner.Evidence
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(400, 3000).Draw(t, "pause")) * time.Millisecond
			q := rapid.SampledFrom(observers).Draw(t, "observer")
			part := quarantiner.Part(rapid.IntRange(1, 4).Draw(t, "part"))
			if rapid.Bool().Draw(t, "answer") {
				q.RecordAnswer(now, []quarantiner.Part{part}, now-100*time.Millisecond)
			} else {
				crash(q, now, quarantiner.Crash(now), uint64(now)+1, part)
			}
		}
		for _, q := range observers {
			reports = append(reports, q.All(now))
		}
		one, other := quarantiner.New(), quarantiner.New()
		for _, r := range reports {
			one.Learn(now, r)
		}
		// Proofs may arrive before the incidents that they clear; full reports repeat them.
		for range 2 {
			for _, r := range slices.Backward(reports) {
				other.Learn(now, r)
			}
		}
		for range 2 {
			for _, r := range reports {
				one.Learn(now, r)
			}
		}
		if a, b := one.Quarantined(now), other.Quarantined(now); !slices.Equal(a, b) {
			t.Fatalf("the same evidence leads to %v and to %v", a, b)
		}
	})
}

// Load: thousands of parts in crashes that they did not cause. Guards against evidence
// that grows without limit, and against one that forgets a part in quarantine.
func TestEvidenceIsBounded(t *testing.T) {
	q := quarantiner.New()
	crash(q, 1*time.Second, 11, 101, deadly)
	crash(q, 2*time.Second, 12, 102, deadly)
	for i := range 20000 {
		now := 3*time.Second + time.Duration(i)*time.Millisecond
		crash(q, now, quarantiner.Crash(100+i/40), uint64(i), quarantiner.Part(1000+i))
	}
	now := time.Minute
	if !blocked(q, now, deadly) {
		t.Error("the part is no longer in quarantine")
	}
	e := q.All(now)
	if n := len(e.Incidents); n > 600 {
		t.Errorf("a report has %d incidents, want at most about 512", n)
	}
	if !slices.ContainsFunc(e.Incidents, func(i quarantiner.Incident) bool { return i.Part == deadly }) {
		t.Error("the report lacks the part in quarantine")
	}
}

// Guards against suspects without a bound: once all of them have been in two crashes, none
// was removed for a new one.
func TestSuspectsOfSeveralCrashesAreBounded(t *testing.T) {
	const most = 4096
	q := quarantiner.New()
	for i := range most + 100 {
		p := quarantiner.Part(i + 1)
		now := time.Duration(i) * time.Millisecond
		for c := range 2 {
			q.RecordIncident(now, quarantiner.Incident{Part: p, Crash: quarantiner.Crash(10*i + c + 1), Request: uint64(c)})
		}
	}
	known := 0
	for i := range most + 100 {
		if len(q.Incidents(time.Minute, quarantiner.Part(i+1))) > 0 {
			known++
		}
	}
	if known > most {
		t.Errorf("%d suspects are kept, want at most %d", known, most)
	}
	if len(q.Incidents(time.Minute, most+100)) == 0 {
		t.Error("the newest suspect was forgotten")
	}
}

// Guards against an incident that is dropped beyond the bound, comes back with each full
// report of a peer, and is reported as new each time.
func TestDroppedIncidentIsNotNewsAgain(t *testing.T) {
	q := quarantiner.New()
	var all []quarantiner.Incident
	for i := range 20 {
		all = append(all, quarantiner.Incident{Part: deadly, Crash: quarantiner.Crash(i + 1), Request: uint64(i), Age: time.Duration(20-i) * time.Second})
	}
	q.Learn(time.Minute, quarantiner.Evidence{Incidents: all})
	_, _ = q.TakeNew(time.Minute)
	q.Learn(time.Minute, quarantiner.Evidence{Incidents: all})
	if _, learned := q.TakeNew(time.Minute); len(learned.Incidents) > 0 {
		t.Errorf("%d incidents are news again", len(learned.Incidents))
	}
}

// Guards against a proof that is queued once more with each repetition of an old report.
func TestProofIsQueuedOnce(t *testing.T) {
	q := quarantiner.New()
	q.RecordAnswer(10*time.Second, []quarantiner.Part{shared}, 9*time.Second)
	old := quarantiner.Evidence{Incidents: []quarantiner.Incident{{Part: shared, Crash: 1, Request: 1, Age: 5 * time.Second}}}
	q.Learn(10*time.Second, old)
	_, _ = q.TakeNew(10 * time.Second)
	for range 5 {
		q.Learn(10*time.Second, old)
	}
	if own, _ := q.TakeNew(10 * time.Second); len(own.Proofs) != 1 {
		t.Errorf("%d proofs are queued, want 1", len(own.Proofs))
	}
}
