package queuer_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/sharer"
)

const objective = time.Second

// targets is a placer with a number of free slots.
type targets struct {
	free int
	// registered is the number of targets that may come back.
	registered int
	// found is false if there is no target at all.
	found bool
	// full is set if the targets cannot take more, rather than being slow.
	full     bool
	expected time.Duration
	sent     []uint64
	spare    []bool
}

func (t *targets) Choose(_ time.Duration, _ placer.Request, terms placer.Constraints) (placer.Choice, bool) {
	t.spare = append(t.spare, terms.SpareOnly)
	return placer.Choice{Fits: t.free > 0, Full: t.full, Expected: t.expected}, t.found
}

func (t *targets) Start(_ time.Duration, r placer.Request, _ placer.Choice) {
	t.free--
	t.sent = append(t.sent, r.ID)
}

func item(id uint64, account string, arrived time.Duration) queuer.Item {
	return queuer.Item{
		Request: placer.Request{ID: id, Service: "model", Prompt: 100}, Account: account, Shared: account != "",
		Arrived: arrived, Objective: objective, Deadline: arrived + 10*time.Second,
	}
}

func (t *targets) Targets(string) int { return t.registered }

func newQueue(t *targets) (*queuer.Queue, *sharer.Shares) {
	shares := sharer.New(4 * time.Second)
	return queuer.New(queuer.DefaultSettings(), t, shares), shares
}

// Load: more requests than slots, from accounts that got different service. The
// account that got least is next.
func TestAccountWithLeastServiceIsNext(t *testing.T) {
	f := &targets{found: true, full: true}
	q, shares := newQueue(f)
	shares.Serve(0, "busy", 5000)
	q.Add(item(1, "busy", 0))
	q.Add(item(2, "quiet", 10*time.Millisecond))
	f.free = 1
	if d := q.Next(20 * time.Millisecond); len(d) != 1 || d[0].ID != 2 || d[0].Reason != "" {
		t.Errorf("decisions %+v", d)
	}
}

// Load: one account over its share while others wait. It gets no target before
// them, and is told at once.
func TestOverShareRequestsAreRefusedAtOnceUnderLoad(t *testing.T) {
	f := &targets{found: true, full: true}
	q, shares := newQueue(f)
	shares.SetCapacity(100)
	shares.Ask(0, "flood", 10000)
	shares.Ask(0, "small", 100)
	shares.Serve(0, "flood", 350)
	q.Add(item(1, "flood", 0))
	q.Add(item(2, "small", 0))
	d := q.Next(0)
	if len(d) != 1 || d[0].ID != 1 || d[0].Reason != queuer.ReasonOverShare || d[0].RetryAfter <= 0 {
		t.Fatalf("decisions %+v", d)
	}
	f.free = 2
	q.Add(item(3, "flood", 0))
	if d := q.Next(0); len(d) != 2 || f.sent[0] != 2 {
		t.Errorf("sent %v, decisions %+v", f.sent, d)
	}
	if !f.spare[len(f.spare)-1] || f.spare[len(f.spare)-2] {
		t.Errorf("spare %v: only the request over the share uses spare capacity", f.spare)
	}
}

// Guards against requests that wait although they can no longer be in time.
func TestRequestIsRefusedBeforeItsObjective(t *testing.T) {
	f := &targets{found: true, full: true, expected: 5 * time.Second}
	q, _ := newQueue(f)
	q.Add(item(1, "a", 0))
	if d := q.Next(objective / 10); len(d) != 0 {
		t.Fatalf("decided early: %+v", d)
	}
	d := q.Next(objective / 2)
	if len(d) != 1 || d[0].Reason != queuer.ReasonOverload {
		t.Fatalf("decisions %+v", d)
	}
	if left := 10*time.Second - objective/2; d[0].RetryAfter <= 0 || d[0].RetryAfter > left/2 {
		t.Errorf("retry after %v with %v left", d[0].RetryAfter, left)
	}
	if q.Len() != 0 {
		t.Error("the request is still queued")
	}
}

// Guards against refusing requests that would only be somewhat late.
func TestSlowTargetsAreUsedRatherThanRefusing(t *testing.T) {
	f := &targets{found: true, expected: objective}
	q, _ := newQueue(f)
	q.Add(item(1, "a", 0))
	if d := q.Next(objective / 2); len(d) != 1 || d[0].Reason != "" {
		t.Errorf("decisions %+v", d)
	}
}

// Guards against requests that wait for a service without any target.
func TestServiceWithoutTargetsRefusesAtOnce(t *testing.T) {
	f := &targets{}
	q, _ := newQueue(f)
	q.Add(item(1, "a", 0))
	if d := q.Next(0); len(d) != 1 || d[0].Reason != queuer.ReasonNoTarget {
		t.Errorf("decisions %+v", d)
	}
	f.registered = 1 // it failed and is tried again soon
	q.Add(item(2, "a", 0))
	if d := q.Next(0); len(d) != 0 {
		t.Errorf("decisions %+v", d)
	}
}

// Guards against a wave of callers that return together, and against a time to
// return beyond what callers honour.
func TestRetryTimesAreSpread(t *testing.T) {
	f := &targets{found: false}
	q, _ := newQueue(f)
	times := map[time.Duration]bool{}
	for id := range uint64(50) {
		i := item(id, "a", 0)
		i.Deadline = 3 * time.Second
		q.Add(i)
	}
	for _, d := range q.Next(objective) {
		if d.Reason != queuer.ReasonNoTarget || d.RetryAfter <= 0 || d.RetryAfter > time.Second {
			t.Fatalf("decision %+v", d)
		}
		times[d.RetryAfter.Round(10*time.Millisecond)] = true
	}
	if len(times) < 10 {
		t.Errorf("only %d different times", len(times))
	}
}

// Guards against requests that are forgotten or decided twice.
func TestRemovedRequestsAreNotDecided(t *testing.T) {
	f := &targets{found: true, free: 5}
	q, _ := newQueue(f)
	q.Add(item(1, "a", 0))
	if !q.Remove(1) || q.Remove(1) {
		t.Error("the request is not removed exactly once")
	}
	if d := q.Next(0); len(d) != 0 {
		t.Errorf("decisions %+v", d)
	}
}
