package queuer_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/sharer"
)

const objective = time.Second

// fakePlacer is a Placer that records the requests it is given.
type fakePlacer struct {
	// freeSlots is the number of requests that fit.
	freeSlots int
	// registered is the number of targets of the service, whether usable or not.
	registered int
	// outside is the number of those that are in no allowed region.
	outside int
	// found is false if no target may get a request.
	found bool
	// full is set if the targets have no room, rather than being slow.
	full bool
	// expected is the expected time to the first event at all targets.
	expected time.Duration
	// reopensIn is the time for which all targets want no requests.
	reopensIn time.Duration
	// sent holds the IDs of the requests that were sent.
	sent []uint64
	// spareOnly holds the value of SpareOnly in each call of Choose.
	spareOnly []bool
}

func (t *fakePlacer) Choose(_ time.Duration, _ placer.Request, constraints placer.Constraints) (placer.Choice, bool) {
	t.spareOnly = append(t.spareOnly, constraints.SpareOnly)
	return placer.Choice{Fits: t.freeSlots > 0, Full: t.full, Expected: t.expected}, t.found
}

func (t *fakePlacer) RecordStart(_ time.Duration, r placer.Request, _ placer.Choice) {
	t.freeSlots--
	t.sent = append(t.sent, r.ID)
}

func newItem(id uint64, account string, arrived time.Duration) queuer.Item {
	return queuer.Item{
		Request: placer.Request{ID: id, Service: "model", PromptTokens: 100}, Account: account, CountsTowardsShare: account != "",
		Arrived: arrived, Objective: objective, Deadline: arrived + 10*time.Second,
	}
}

func (t *fakePlacer) Targets(string) int { return t.registered }

func (t *fakePlacer) TargetsAllowed(placer.Request) int { return t.registered - t.outside }

func (t *fakePlacer) ReopensIn(time.Duration, string) time.Duration { return t.reopensIn }

func newQueue(t *fakePlacer) (*queuer.Queue, *sharer.Shares) {
	shares := sharer.New(4 * time.Second)
	return queuer.New(queuer.DefaultSettings(), t, shares), shares
}

// Load: more requests than slots, from accounts with different service. The account
// with the least service must be next.
func TestAccountWithLeastServiceGoesFirst(t *testing.T) {
	f := &fakePlacer{found: true, full: true}
	q, shares := newQueue(f)
	shares.RecordService(0, "busy", 5000)
	q.Add(newItem(1, "busy", 0))
	q.Add(newItem(2, "quiet", 10*time.Millisecond))
	f.freeSlots = 1
	if d := q.Decide(20 * time.Millisecond); len(d) != 1 || d[0].ID != 2 || d[0].Reason != "" {
		t.Errorf("decisions %+v, want only request 2 sent", d)
	}
}

// Load: one account over its share while others wait. Its requests must not get a
// target before the others, and must be refused at once.
func TestOverShareRequestsAreRefusedAtOnceUnderLoad(t *testing.T) {
	f := &fakePlacer{found: true, full: true}
	q, shares := newQueue(f)
	shares.SetCapacity(100)
	shares.RecordDemand(0, "flood", 10000)
	shares.RecordDemand(0, "small", 100)
	shares.RecordService(0, "flood", 350)
	q.Add(newItem(1, "flood", 0))
	q.Add(newItem(2, "small", 0))
	d := q.Decide(0)
	if len(d) != 1 || d[0].ID != 1 || d[0].Reason != queuer.ReasonOverShare || d[0].RetryAfter <= 0 {
		t.Fatalf("decisions %+v, want only request 1 refused as over its share, with a RetryAfter", d)
	}
	f.freeSlots = 2
	q.Add(newItem(3, "flood", 0))
	if d := q.Decide(0); len(d) != 2 || f.sent[0] != 2 {
		t.Errorf("sent %v, decisions %+v", f.sent, d)
	}
	if !f.spareOnly[len(f.spareOnly)-1] || f.spareOnly[len(f.spareOnly)-2] {
		t.Errorf("SpareOnly values %v, want it set only for the request over the share", f.spareOnly)
	}
}

// Guards against requests that keep waiting although they can no longer be on time.
func TestRequestIsRefusedBeforeItsObjective(t *testing.T) {
	f := &fakePlacer{found: true, full: true, expected: 5 * time.Second}
	q, _ := newQueue(f)
	q.Add(newItem(1, "a", 0))
	if d := q.Decide(objective / 10); len(d) != 0 {
		t.Fatalf("decided before the maximum wait: %+v", d)
	}
	d := q.Decide(objective / 2)
	if len(d) != 1 || d[0].Reason != queuer.ReasonOverload {
		t.Fatalf("decisions %+v, want one refusal for overload", d)
	}
	if left := 10*time.Second - objective/2; d[0].RetryAfter <= 0 || d[0].RetryAfter > left/2 {
		t.Errorf("RetryAfter is %v with %v left until the deadline", d[0].RetryAfter, left)
	}
	if q.Len() != 0 {
		t.Error("the request is still queued")
	}
}

// Guards against refusing requests that would be only a little late.
func TestSlowTargetsAreUsedBeforeRefusing(t *testing.T) {
	f := &fakePlacer{found: true, expected: objective}
	q, _ := newQueue(f)
	q.Add(newItem(1, "a", 0))
	if d := q.Decide(objective / 2); len(d) != 1 || d[0].Reason != "" {
		t.Errorf("decisions %+v, want one request sent", d)
	}
}

// Load: over capacity, streams at silent targets ask for another target several times a
// second. Guards against requests over their share that are refused although targets are
// free, because a request that has a target already waits in front of them.
func TestRequestThatHasATargetDoesNotWait(t *testing.T) {
	f := &fakePlacer{found: true, expected: objective}
	q, _ := newQueue(f)
	repetition := newItem(1, "a", 0)
	repetition.NoWait = true
	q.Add(repetition)
	if d := q.Decide(0); len(d) != 1 || d[0].Reason != queuer.ReasonOverload {
		t.Errorf("decisions %+v, want a refusal at once", d)
	}
	f.freeSlots = 1
	q.Add(repetition)
	if d := q.Decide(0); len(d) != 1 || d[0].Reason != "" {
		t.Errorf("decisions %+v, want it sent to a target with room", d)
	}
}

// Guards against requests that wait for a service without any target.
func TestServiceWithoutTargetsRefusesAtOnce(t *testing.T) {
	f := &fakePlacer{}
	q, _ := newQueue(f)
	q.Add(newItem(1, "a", 0))
	if d := q.Decide(0); len(d) != 1 || d[0].Reason != queuer.ReasonNoTarget {
		t.Errorf("decisions %+v, want one refusal without a target", d)
	}
	f.registered = 1 // a target that failed and may be used again soon
	q.Add(newItem(2, "a", 0))
	if d := q.Decide(0); len(d) != 0 {
		t.Errorf("decisions %+v, want none while the service has a registered target", d)
	}
}

// Guards against requests that wait for a target in a region where there is none.
func TestRequestWithoutAnAllowedTargetIsRefusedAtOnce(t *testing.T) {
	f := &fakePlacer{registered: 3, outside: 3}
	q, _ := newQueue(f)
	q.Add(newItem(1, "a", 0))
	if d := q.Decide(0); len(d) != 1 || d[0].Reason != queuer.ReasonRegion || d[0].RetryAfter <= 0 {
		t.Errorf("decisions %+v, want one refusal because of the region", d)
	}
	f.outside = 2 // one may be used again soon
	q.Add(newItem(2, "a", 0))
	if d := q.Decide(0); len(d) != 0 {
		t.Errorf("decisions %+v, want none while there is a target in an allowed region", d)
	}
}

// Guards against streams that wait for a software version that has no target any more.
func TestStreamWithoutATargetOfItsVersionIsRefusedAtOnce(t *testing.T) {
	f := &fakePlacer{registered: 3, outside: 3}
	q, _ := newQueue(f)
	i := newItem(1, "a", 0)
	i.Request.Version = placer.OnlyVersion("v1")
	q.Add(i)
	if d := q.Decide(0); len(d) != 1 || d[0].Reason != queuer.ReasonVersion {
		t.Errorf("decisions %+v, want one refusal because of the version", d)
	}
	f.outside = 2 // one may be used again soon
	q.Add(i)
	if d := q.Decide(0); len(d) != 0 {
		t.Errorf("decisions %+v, want none while there is a target of the version", d)
	}
}

// Load: an account over its share, and more requests than slots. Guards against LOST: callers
// take up streams that have begun, and are refused for the overload of the fleet first.
func TestStreamThatContinuesWaitsForItsTarget(t *testing.T) {
	f := &fakePlacer{found: true, full: true, registered: 1, expected: objective / 2}
	q, shares := newQueue(f)
	shares.SetCapacity(100)
	shares.RecordDemand(0, "flood", 30000)
	shares.RecordService(0, "flood", 10000)
	q.Add(newItem(1, "small", 0))
	continued := newItem(2, "flood", time.Millisecond)
	continued.Continues = true
	q.Add(continued)
	if d := q.Decide(objective * 3 / 10); len(d) != 0 {
		t.Fatalf("decisions %+v, want both requests to wait", d)
	}
	f.freeSlots = 1
	if d := q.Decide(objective * 3 / 10); len(d) != 1 || d[0].ID != 2 || d[0].Reason != "" || d[0].Standing.OverShare {
		t.Errorf("decisions %+v, want the stream that continues to go first", d)
	}
	q.Remove(1)
	q.Add(continued)
	if d := q.Decide(objective * 9 / 10); len(d) != 0 {
		t.Errorf("decisions %+v, want the stream to wait for its objective", d)
	}
	if d := q.Decide(objective + time.Millisecond); len(d) != 1 || d[0].Reason == "" {
		t.Errorf("decisions %+v, want a refusal after the objective", d)
	}
	if got := shares.Served(objective, "flood"); got <= 10000 {
		t.Errorf("served %v, want the stream to be charged", got)
	}
}

// Guards against callers that all return at the same time, and against a Retry-After
// that is longer than callers wait.
func TestRetryAfterIsJitteredAndBounded(t *testing.T) {
	f := &fakePlacer{found: false}
	q, _ := newQueue(f)
	times := map[time.Duration]bool{}
	for id := range uint64(50) {
		i := newItem(id, "a", 0)
		i.Deadline = 3 * time.Second
		q.Add(i)
	}
	for _, d := range q.Decide(objective) {
		if d.Reason != queuer.ReasonNoTarget || d.RetryAfter <= 0 || d.RetryAfter > time.Second {
			t.Fatalf("decision %+v, want a refusal without a target and a RetryAfter of at most 1 s", d)
		}
		times[d.RetryAfter.Round(10*time.Millisecond)] = true
	}
	if len(times) < 10 {
		t.Errorf("only %d different values of RetryAfter", len(times))
	}
}

// Guards against decisions about requests that were removed.
func TestRemovedRequestsAreNotDecided(t *testing.T) {
	f := &fakePlacer{found: true, freeSlots: 5}
	q, _ := newQueue(f)
	q.Add(newItem(1, "a", 0))
	if !q.Remove(1) || q.Remove(1) {
		t.Error("Remove does not report exactly one removal")
	}
	if d := q.Decide(0); len(d) != 0 {
		t.Errorf("decisions %+v, want none after the removal", d)
	}
}

// Guards against requests that wait although all targets have said that they want none for
// longer, and against a retry time before the targets want some.
func TestRequestsForClosedTargetsAreRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		reopensIn time.Duration
		refused   bool
	}{{0, false}, {300 * time.Millisecond, false}, {2 * time.Second, true}} {
		q, _ := newQueue(&fakePlacer{registered: 2, reopensIn: tc.reopensIn})
		q.Add(newItem(1, "a", 0))
		d := q.Decide(0)
		if (len(d) == 1) != tc.refused {
			t.Fatalf("closed for %v: decisions %+v", tc.reopensIn, d)
		}
		if tc.refused && (d[0].Reason != queuer.ReasonClosed || d[0].RetryAfter < tc.reopensIn*3/4) {
			t.Errorf("closed for %v: decision %+v", tc.reopensIn, d[0])
		}
	}
}
