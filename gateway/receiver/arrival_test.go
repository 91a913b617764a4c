package receiver_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
)

// arrivedBefore is receiver.Options.Arrived for requests that waited unread for the age.
func arrivedBefore(age time.Duration) func(*http.Request) time.Time {
	return func(*http.Request) time.Time { return time.Now().Add(-age) }
}

// Guards against GONE and BUDGET: the age of a request that waited unread counts from when it
// was read, so that its target and the queue get time that its caller does not have.
func TestAgeCountsFromTheArrival(t *testing.T) {
	const age, left = 10 * time.Second, 50 * time.Second // routes and callers have a minute
	var calls int
	observed := make(chan receiver.Observation, 1)
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) {
		o.Arrived = func(r *http.Request) time.Time {
			calls++
			return arrivedBefore(age)(r)
		}
		o.Observe = func(observation receiver.Observation) { observed <- observation }
	})
	if r := f.postDefault(t, "/safe/1"); r.status != http.StatusOK {
		t.Fatalf("status %d, error %v", r.status, r.err)
	}
	if d := f.permitSource.demands[0]; d.TimeLeft > left || d.Objective > left {
		t.Errorf("the demand has %v left, %v of the objective; want at most %v", d.TimeLeft, d.Objective, left)
	}
	if ms, err := strconv.Atoi(f.client.requests[0].Header.Get("Left")); err != nil || time.Duration(ms)*time.Millisecond > left {
		t.Errorf("the target has %d ms, error %v; want at most %v", ms, err, left)
	}
	if o := <-observed; o.FirstByte < age || o.Total < age {
		t.Errorf("observed %v to the first byte and %v in all, want at least %v", o.FirstByte, o.Total, age)
	}
	if calls != 1 {
		t.Errorf("the arrival was asked for %d times", calls)
	}
}

// Guards against a request that is sent after its deadline has passed unread, and a refusal
// that tells the caller to retry in the past.
func TestDeadlineHasPassedUnread(t *testing.T) {
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"} {
		f := newFixture(t, nil, func(o *receiver.Options) { o.Arrived = arrivedBefore(2 * time.Minute) })
		if r := f.postDefault(t, path); r.status != http.StatusServiceUnavailable || strings.Contains(r.body, "-") {
			t.Errorf("%s: status %d, body %s, error %v", path, r.status, r.body, r.err)
		}
		f.wantResults(t, placer.Unsent)
	}
}

// Guards against a body that is not read because its header waited for longer than callers have
// to send the body.
func TestBodyOfARequestThatWaitedIsRead(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) { o.Arrived = arrivedBefore(15 * time.Second) })
	body, writer := io.Pipe()
	go func() {
		defer func() { _ = writer.Close() }() // never returns an error
		for range 2 {
			_, _ = io.WriteString(writer, "half") // an error shows in the response
			time.Sleep(50 * time.Millisecond)
		}
	}()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.server.URL+"/once/1", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.ContentLength = "h.example", 8
	r.Header.Set("Key", "k")
	if r := f.do(r); r.status != http.StatusOK {
		t.Errorf("status %d, body %q, error %v", r.status, r.body, r.err)
	}
}
