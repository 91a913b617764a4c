package quarantiner_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/quarantiner"
)

// deadlyRequest crashes targets, soundRequest and others are bystanders.
const (
	deadlyRequest  = quarantiner.Part(100)
	soundRequest   = quarantiner.Part(101)
	otherRequest   = quarantiner.Part(102)
	secondRequest  = quarantiner.Part(103)
	anotherRequest = quarantiner.Part(104)
)

// crashRequests records that a target crashed under requests without a prompt.
func crashRequests(q *quarantiner.Quarantine, now time.Duration, id quarantiner.Crash, requests ...quarantiner.Part) {
	for _, r := range requests {
		for _, i := range quarantiner.Incidents([]quarantiner.Part{r}, uint64(r), id, 0) {
			q.RecordIncident(now, i)
		}
	}
}

// Guards against a request that crashes target after target because no prompt part names
// it, and against refusing the sound requests that were at the same targets.
func TestVerdictsOnWholeRequests(t *testing.T) {
	const ms = time.Millisecond
	type set []quarantiner.Part
	for name, c := range map[string]struct {
		run              func(q *quarantiner.Quarantine)
		refused, allowed set
	}{
		"two crashes say nothing": {func(q *quarantiner.Quarantine) {
			crashRequests(q, 1000*ms, 11, deadlyRequest)
			crashRequests(q, 1500*ms, 12, deadlyRequest)
		}, nil, set{deadlyRequest}},
		"three crashes": {func(q *quarantiner.Quarantine) {
			crashRequests(q, 1000*ms, 11, deadlyRequest, soundRequest)
			crashRequests(q, 1150*ms, 12, deadlyRequest)
			crashRequests(q, 4000*ms, 13, deadlyRequest, otherRequest)
		}, set{deadlyRequest}, set{soundRequest, otherRequest}},
		"four targets within 300 ms": {func(q *quarantiner.Quarantine) {
			crashRequests(q, 1000*ms, 11, deadlyRequest)
			crashRequests(q, 1030*ms, 12, deadlyRequest)
			crashRequests(q, 1200*ms, 13, deadlyRequest)
			crashRequests(q, 1220*ms, 14, deadlyRequest)
		}, set{deadlyRequest}, nil},
		"a rack that fails": {func(q *quarantiner.Quarantine) {
			for i := range 8 {
				crashRequests(q, 1000*ms+time.Duration(i)*12*ms, quarantiner.Crash(11+i), soundRequest, otherRequest)
			}
		}, nil, set{soundRequest, otherRequest}},
		"an answer clears the crashes before it": {func(q *quarantiner.Quarantine) {
			crashRequests(q, 1000*ms, 11, soundRequest)
			crashRequests(q, 2000*ms, 12, soundRequest)
			q.RecordRequestAnswer(2500*ms, soundRequest, 2400*ms)
			crashRequests(q, 3000*ms, 13, soundRequest)
			crashRequests(q, 4000*ms, 14, soundRequest)
		}, nil, set{soundRequest}},
		"an answered request that becomes deadly": {func(q *quarantiner.Quarantine) {
			q.RecordRequestAnswer(500*ms, deadlyRequest, 400*ms)
			for i := range 5 {
				crashRequests(q, time.Duration(1000+500*i)*ms, quarantiner.Crash(11+i), deadlyRequest)
			}
		}, set{deadlyRequest}, nil},
		"a popular request at all targets that a deadly one crashes": {func(q *quarantiner.Quarantine) {
			q.RecordRequestAnswer(500*ms, soundRequest, 400*ms)
			for i := range 8 {
				crashRequests(q, time.Duration(1000+500*i)*ms, quarantiner.Crash(11+i), deadlyRequest, soundRequest)
			}
		}, set{deadlyRequest}, set{soundRequest}},
		"a popular request at the targets of two deadly ones": {func(q *quarantiner.Quarantine) {
			q.RecordRequestAnswer(500*ms, soundRequest, 400*ms)
			for i := range 4 {
				crashRequests(q, time.Duration(1000+1000*i)*ms, quarantiner.Crash(11+2*i), deadlyRequest, soundRequest)
				crashRequests(q, time.Duration(1500+1000*i)*ms, quarantiner.Crash(12+2*i), secondRequest, soundRequest)
			}
		}, set{deadlyRequest, secondRequest}, set{soundRequest}},
		"an unknown request at the same targets as a deadly one": {func(q *quarantiner.Quarantine) {
			for i := range 4 {
				crashRequests(q, time.Duration(1000+500*i)*ms, quarantiner.Crash(11+i), deadlyRequest, soundRequest)
			}
		}, nil, set{deadlyRequest, soundRequest}},
		"they cannot be told apart": {func(q *quarantiner.Quarantine) {
			for i := range 5 {
				crashRequests(q, time.Duration(1000+500*i)*ms, quarantiner.Crash(11+i), deadlyRequest, soundRequest)
			}
		}, set{deadlyRequest, soundRequest}, nil},
		"a further crash releases the sound one": {func(q *quarantiner.Quarantine) {
			for i := range 5 {
				crashRequests(q, time.Duration(1000+500*i)*ms, quarantiner.Crash(11+i), deadlyRequest, soundRequest)
			}
			crashRequests(q, 4000*ms, 20, deadlyRequest)
		}, set{deadlyRequest}, set{soundRequest}},
		"an answer releases the sound one": {func(q *quarantiner.Quarantine) {
			for i := range 5 {
				crashRequests(q, time.Duration(1000+500*i)*ms, quarantiner.Crash(11+i), deadlyRequest, soundRequest)
			}
			q.RecordRequestAnswer(4000*ms, soundRequest, 3900*ms)
		}, set{deadlyRequest}, set{soundRequest}},
		"a popular request at targets that a prompt part crashes": {func(q *quarantiner.Quarantine) {
			for i := range 8 {
				now := time.Duration(1000+500*i) * ms
				crashRequests(q, now, quarantiner.Crash(11+i), soundRequest)
				crash(q, now, quarantiner.Crash(11+i), uint64(200+i), deadly)
			}
		}, set{deadly}, set{soundRequest}},
		"a request with a prompt whose shared parts are sound": {func(q *quarantiner.Quarantine) {
			for i := range 4 {
				now := time.Duration(1000+500*i) * ms
				q.RecordAnswer(now, []quarantiner.Part{shared, subject}, now-100*ms)
				for _, incident := range quarantiner.Incidents([]quarantiner.Part{shared, subject, deadlyRequest}, uint64(300+i), quarantiner.Crash(11+i), 0) {
					q.RecordIncident(now, incident)
				}
			}
			q.RecordAnswer(4000*ms, []quarantiner.Part{shared, subject}, 3900*ms)
		}, set{deadlyRequest}, set{shared, subject}},
	} {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New()
			c.run(q)
			for _, r := range c.refused {
				if !blocked(q, 10*time.Second, r) {
					t.Errorf("%v is allowed", r)
				}
			}
			for _, r := range c.allowed {
				if blocked(q, 10*time.Second, r) {
					t.Errorf("%v is refused", r)
				}
			}
		})
	}
}

// Guards against verdicts on whole requests, which depend on those on others, that differ
// with the order in which daemons learn of the evidence.
func TestVerdictsOnWholeRequestsDoNotDependOnTheOrder(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		observers := []*quarantiner.Quarantine{quarantiner.New(), quarantiner.New(), quarantiner.New()}
		requests := []quarantiner.Part{deadlyRequest, soundRequest, otherRequest, secondRequest, anotherRequest}
		now := time.Second
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(20, 800).Draw(t, "pause")) * time.Millisecond
			q := rapid.SampledFrom(observers).Draw(t, "observer")
			if rapid.IntRange(0, 9).Draw(t, "answer") == 0 {
				q.RecordRequestAnswer(now, rapid.SampledFrom(requests).Draw(t, "answered"), now-10*time.Millisecond)
				continue
			}
			for _, r := range requests {
				if rapid.Bool().Draw(t, "there") {
					// The daemons of the callers see the crash.
					crashRequests(rapid.SampledFrom(observers).Draw(t, "daemon"), now, quarantiner.Crash(step+1), r)
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "prompt") == 0 {
				crash(q, now, quarantiner.Crash(step+1), uint64(1000+step), deadly)
			}
		}
		var reports []quarantiner.Evidence
		for _, q := range observers {
			reports = append(reports, q.All(now))
		}
		one, other := quarantiner.New(), quarantiner.New()
		// Proofs may arrive before the incidents that they clear; full reports repeat them.
		for range 3 {
			for _, r := range reports {
				one.Learn(now, r)
			}
			for _, r := range slices.Backward(reports) {
				slices.Reverse(r.Incidents)
				other.Learn(now, r)
			}
		}
		a, b := one.Quarantined(now), other.Quarantined(now)
		if !slices.Equal(a, b) {
			t.Fatalf("the same evidence leads to %v and to %v", a, b)
		}
		refused += len(a)
	})
	if refused == 0 {
		t.Error("nothing was ever in quarantine, so that the test tells nothing")
	}
}

// Load: as many different requests are answered and are bystanders of crashes as a fleet
// has. Guards against whole requests that push out what is known about prompt parts, and
// against evidence on them without a bound.
func TestWholeRequestsPushOutNoParts(t *testing.T) {
	q := quarantiner.New()
	q.RecordAnswer(1*time.Second, []quarantiner.Part{shared}, 1*time.Second)
	crash(q, 2*time.Second, 11, 101, deadly)
	crash(q, 3*time.Second, 12, 102, deadly)
	for i := range 100000 {
		now := 4*time.Second + time.Duration(i)*100*time.Microsecond
		whole := quarantiner.Part(1000 + i)
		if i%4 == 0 {
			crashRequests(q, now, quarantiner.Crash(100+i/120), whole)
			continue
		}
		q.RecordRequestAnswer(now, whole, now)
	}
	now := time.Minute
	if !blocked(q, now, deadly) {
		t.Error("the part is no longer in quarantine")
	}
	crash(q, now, 13, 103, shared)
	if q.Suspected(shared) {
		t.Error("the answers to requests with the part are forgotten")
	}
	known := 0
	for i := range 100000 {
		if len(q.Incidents(now, quarantiner.Part(1000+i))) > 0 {
			known++
		}
	}
	if known == 0 || known > 4096 {
		t.Errorf("%d requests are suspects, want at most 4096", known)
	}
	if e := q.All(now); len(e.Incidents) > 512+256 || !slices.ContainsFunc(e.Incidents, func(i quarantiner.Incident) bool { return i.Part == deadly }) {
		t.Errorf("a report has %d incidents, or lacks the part in quarantine", len(e.Incidents))
	}
	if e, _ := q.Durable(now); len(e.Incidents) != 2 {
		t.Errorf("%d incidents are to be stored, want those of the part in quarantine", len(e.Incidents))
	}
}
