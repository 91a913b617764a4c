package receiver_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/resolver"
)

// Times of the routes of newSilenceFixture.
const (
	silenceObjective = 50 * time.Millisecond
	// silencePatience is how long the caller of a stream waits for its next event.
	silencePatience = 2 * time.Second
)

// newSilenceFixture starts a receiver like newFixture, with inference engines as targets
// and with routes whose objective has passed when a target counts as silent.
func newSilenceFixture(t *testing.T, replies []reply) *fixture {
	t.Helper()
	route := func(name string, kind resolver.Kind) resolver.Route {
		return resolver.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 2, Resumable: kind == resolver.Streaming,
			Destinations: []resolver.Destination{{Service: "s", Weight: 1}}, Timeout: 10 * time.Second, Objective: silenceObjective,
		}
	}
	config := resolver.New(resolver.Content{
		Version:  1,
		Routes:   []resolver.Route{route("safe", resolver.Idempotent), route("resume", resolver.Streaming)},
		Services: []resolver.Service{{Name: "s", Engine: &resolver.Engine{}}},
		Accounts: []resolver.Account{{Name: "forge", Keys: []string{"k"}}},
	})
	return newFixture(t, replies, func(o *receiver.Options) { o.Configs = configs{&config} })
}

// refusedTwice closes the channel once the request has been refused another target twice.
func (f *fixture) refusedTwice(t *testing.T) <-chan struct{} {
	twice := make(chan struct{})
	go func() {
		defer close(twice)
		for range 2 {
			select {
			case <-f.permitSource.refused:
			case <-t.Context().Done():
				return
			}
		}
	}()
	return twice
}

// Load: three times what the engines begin; a busy engine sends nothing for seconds in the
// middle of a stream. Guards against LOST of 2026-12-06: the stream was cut for the sake of
// another engine before it was known that none had room.
func TestSilentTargetKeepsItsStreamUntilAnotherHasRoom(t *testing.T) {
	t.Parallel()
	resumes := make(chan struct{})
	f := newSilenceFixture(t, []reply{{status: 200, header: signed, body: "id: 1\ndata: a\n\n", silent: resumes, rest: "id: 2\ndata: b\n\n", delimited: true}})
	f.permitSource.fullFor = -1
	twice := f.refusedTwice(t)
	go func() {
		<-twice
		close(resumes)
	}()
	if r := f.postDefault(t, "/resume/1"); r.err != nil || r.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("body %q, error %v", r.body, r.err)
	}
	f.wantResults(t, placer.Complete)
}

// Guards against a silent target that keeps a stream although another one has room.
func TestSilentStreamContinuesOnceAnotherTargetHasRoom(t *testing.T) {
	t.Parallel()
	f := newSilenceFixture(t, []reply{
		{status: 200, header: signed, body: "id: 1\ndata: a\n\n", silent: make(chan struct{}), delimited: true},
		{status: 200, header: signed, body: "id: 2\ndata: b\n\n", delimited: true},
	})
	f.permitSource.fullFor = 1
	if r := f.postDefault(t, "/resume/1"); r.err != nil || r.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("body %q, error %v", r.body, r.err)
	}
	f.wantResults(t, placer.Failed, placer.Complete)
}

// Guards against LOST: a stream whose target broke off ended because no other target had
// room at that moment, although its caller would have waited.
func TestBrokenStreamWaitsUntilAnotherTargetHasRoom(t *testing.T) {
	t.Parallel()
	f := newSilenceFixture(t, []reply{
		{status: 200, header: signed, body: "id: 1\ndata: a\n\n", broken: true, delimited: true},
		{status: 200, header: signed, body: "id: 2\ndata: b\n\n", delimited: true},
	})
	f.permitSource.fullFor = 1
	if r := f.postDefault(t, "/resume/1"); r.err != nil || r.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("body %q, error %v", r.body, r.err)
	}
	f.wantResults(t, placer.Broken, placer.Complete)
}

// Guards against streams that no target can ever continue: once the objective for the first
// event had passed, their demand left no time for any target, and it counted against the
// share of the account a second time.
func TestContinuedStreamHasTheTimeThatItsCallerWaits(t *testing.T) {
	t.Parallel()
	f := newSilenceFixture(t, []reply{
		{status: 200, header: signed, body: "id: 1\ndata: a\n\n", silent: make(chan struct{}), delimited: true},
		{status: 200, header: signed, body: "id: 2\ndata: b\n\n", delimited: true},
	})
	f.postDefault(t, "/resume/1")
	f.permitSource.mutex.Lock()
	defer f.permitSource.mutex.Unlock()
	if len(f.permitSource.demands) != 2 {
		t.Fatalf("%d demands, want 2", len(f.permitSource.demands))
	}
	first, second := f.permitSource.demands[0], f.permitSource.demands[1]
	if !first.CountsTowardsShare || second.CountsTowardsShare {
		t.Errorf("counts towards the share: first %v, second %v", first.CountsTowardsShare, second.CountsTowardsShare)
	}
	if second.Objective <= silenceObjective || second.Objective >= silencePatience {
		t.Errorf("time for the next event %v, want what is left of the %v for which the caller waits", second.Objective, silencePatience)
	}
}

// Guards against an error for a request whose target is slow, while it is still at work and
// no other one has room.
func TestSlowTargetKeepsItsRequestUntilAnotherHasRoom(t *testing.T) {
	t.Parallel()
	resumes := make(chan struct{})
	f := newSilenceFixture(t, []reply{{status: 200, header: signed, body: "a", silent: resumes, rest: "b", delimited: true}})
	f.permitSource.fullFor = -1
	twice := f.refusedTwice(t)
	go func() {
		<-twice
		close(resumes)
	}()
	if r := f.postDefault(t, "/safe/1"); r.err != nil || r.status != 200 || r.body != "ab" {
		t.Errorf("status %d, body %q, error %v", r.status, r.body, r.err)
	}
	f.wantResults(t, placer.Complete)
}
