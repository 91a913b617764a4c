package receiver_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
)

// stopSwitch is a receiver.ShutdownState of a daemon that gets the stop signal, or has little
// time left, once it is advanced.
type stopSwitch struct {
	before, after shutdownState
	advanced      atomic.Bool
	// once is set if the first call advances it.
	once bool
}

func (s *stopSwitch) Stopping() (since, left time.Duration, stopping bool) {
	if s.advanced.Load() {
		return s.after.Stopping()
	}
	if s.once {
		s.advanced.Store(true)
	}
	return s.before.Stopping()
}

func (s *stopSwitch) Ending() context.Context { return context.Background() }

// Guards against the report "In a planned stop of one frontend machine, in calm, requests that
// came late in the grace were taken and passed on; at the end of the grace they were cut with
// no answer": a request is refused as not run if little time is left when it could be sent, not
// only when it arrives.
func TestRequestsThatAreSentLateInAStopAreRefused(t *testing.T) {
	ok := reply{status: 200, header: signed, body: "ok", delimited: true}
	notRun := reply{status: 503, header: "Not-Run=1"}
	const enough = 10 * time.Minute
	for name, tc := range map[string]struct {
		before, after shutdownState
		// advance is when little time is left: after the arrival of the header, while the request
		// waits, or while its first target refuses it.
		advance string
		replies []reply
		sent    int
		results []placer.Result
	}{
		"body arrives slowly":                  {shutdownState{since: time.Second, left: enough, stopping: true}, shutdownState{since: 2 * time.Second, left: time.Second, stopping: true}, "body", nil, 0, nil},
		"body arrives slowly, later":           {shutdownState{since: time.Second, left: enough, stopping: true}, shutdownState{since: 8 * time.Second, left: time.Second, stopping: true}, "body", nil, 0, nil},
		"stop begins while the body arrives":   {shutdownState{}, shutdownState{since: time.Second, left: time.Second, stopping: true}, "body", nil, 0, nil},
		"waits":                                {shutdownState{since: time.Second, left: enough, stopping: true}, shutdownState{since: 8 * time.Second, left: time.Second, stopping: true}, "wait", nil, 0, []placer.Result{placer.Unsent}},
		"stop begins while it waits":           {shutdownState{}, shutdownState{since: time.Second, left: time.Second, stopping: true}, "wait", nil, 0, []placer.Result{placer.Unsent}},
		"stop begins long before it is chosen": {shutdownState{}, shutdownState{since: 8 * time.Second, left: time.Second, stopping: true}, "wait", nil, 0, []placer.Result{placer.Unsent}},
		"first target refuses it":              {shutdownState{since: time.Second, left: enough, stopping: true}, shutdownState{since: 8 * time.Second, left: time.Second, stopping: true}, "first", []reply{notRun, ok}, 1, []placer.Result{placer.Refused, placer.Unsent}},
	} {
		for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
			t.Run(name+path, func(t *testing.T) {
				state := &stopSwitch{before: tc.before, after: tc.after, once: tc.advance == "body"}
				f := newFixture(t, append(tc.replies, ok), func(o *receiver.Options) { o.ShutdownState = state })
				f.permitSource.onWait = func(n int) {
					if tc.advance == "wait" || tc.advance == "first" && n == 2 {
						state.advanced.Store(true)
					}
				}
				r := f.postDefault(t, path)
				if r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, `"stopping"`) || r.header.Get("Retry-After") == "" {
					t.Errorf("status %d, body %q, error %v; want a refusal because of the stop", r.status, r.body, r.err)
				}
				if len(f.client.requests) != tc.sent {
					t.Errorf("%d requests sent, want %d", len(f.client.requests), tc.sent)
				}
				f.wantResults(t, tc.results...)
			})
		}
	}
}

// Guards against a request that is taken in the last moments of a stop because its route has
// neither an objective nor a request that has ended.
func TestRequestsOfNewRoutesDuringAStop(t *testing.T) {
	for left, status := range map[time.Duration]int{100 * time.Millisecond: 503, 10 * time.Second: 200} {
		f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) {
			o.ShutdownState = shutdownState{since: time.Second, left: left, stopping: true}
		})
		if r := f.postDefault(t, "/new/1"); r.status != status {
			t.Errorf("%v left: status %d, want %d", left, r.status, status)
		}
	}
}

// Guards against a request that waits, or whose target works on it, for longer than the daemon
// runs.
func TestTimeLeftIsThatOfTheDaemon(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) {
		o.ShutdownState = shutdownState{since: time.Second, left: 10 * time.Second, stopping: true}
	})
	if r := f.postDefault(t, "/new/1"); r.status != 200 {
		t.Fatalf("status %d", r.status)
	}
	if d := f.permitSource.demands[0]; d.TimeLeft > 10*time.Second {
		t.Errorf("the demand has %v left, want at most 10 s", d.TimeLeft)
	}
	if left := f.client.requests[0].Header.Get("Left"); left > "10000" || len(left) > 5 {
		t.Errorf("the target has %s ms, want at most 10000", left)
	}
}

// Guards against a late request that is sent just before callers count as informed, and
// arrives just after.
func TestRequestsJustBeforeCallersAreInformed(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) {
		o.ShutdownState = shutdownState{since: 2900 * time.Millisecond, left: 20 * time.Second, stopping: true}
	})
	if r := f.postDefault(t, "/new/1"); r.status != 503 {
		t.Errorf("status %d for a request that could be cut, want 503", r.status)
	}
}

// Guards against requests in progress that are cut with no answer when the daemon ends: one
// that its target may run gets 504, one that was not sent 503.
func TestRequestsInProgressAreAnsweredAtTheEnd(t *testing.T) {
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"} {
		ending, end := context.WithCancel(context.Background())
		f := newFixture(t, []reply{{held: true}}, func(o *receiver.Options) {
			o.ShutdownState = shutdownState{since: time.Second, left: 10 * time.Minute, stopping: true, ending: ending}
		})
		go func() {
			<-f.client.started
			end()
		}()
		if r := f.postDefault(t, path); r.status != http.StatusGatewayTimeout || r.err != nil {
			t.Errorf("%s: status %d, error %v, want 504", path, r.status, r.err)
		}
		f.wantResults(t, placer.Cancelled)
	}
	for _, length := range []int64{-1, 8} {
		ending, end := context.WithCancel(context.Background())
		f := newFixture(t, nil, func(o *receiver.Options) {
			o.ShutdownState = shutdownState{since: time.Second, left: 10 * time.Minute, stopping: true, ending: ending}
		})
		body, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, "half")
			end()
		}()
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.server.URL+"/once/1", body)
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.ContentLength = "h.example", length
		r.Header.Set("Key", "k")
		if r := f.do(r); r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, `"stopping"`) {
			t.Errorf("body of length %d: status %d, body %q, error %v; want a refusal because of the stop", length, r.status, r.body, r.err)
		}
		_ = writer.Close()
	}
}
