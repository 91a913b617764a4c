package receiver_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/limiter"
)

// signed is the header of a reply that bears the signature of its target.
const signed = "Signed=yes"

// Guards against a second run of a request that must run only once, and against a
// 503, which tells the caller that the request did not run, for one that may have run.
func TestOutcomesOfAttempts(t *testing.T) {
	ok := reply{status: 200, header: signed, body: "ok"}
	full := reply{status: 503, header: "Not-Run=1"}
	lost := reply{err: errReset}
	notSent := reply{err: courier.ErrNotSent}
	failed := reply{status: 500, header: signed, body: "failed"}
	for name, tc := range map[string]struct {
		path    string
		replies []reply
		status  int
		body    string
		sent    int
	}{
		"success":                             {"/once/1", []reply{ok}, 200, "ok", 1},
		"idempotent, response lost":           {"/safe/1", []reply{lost, ok}, 200, "ok", 2},
		"idempotent, lost twice":              {"/safe/1", []reply{lost, lost}, 502, "", 2},
		"once, response lost":                 {"/once/1", []reply{lost}, 502, "", 1},
		"once, full, then served":             {"/once/1", []reply{full, ok}, 200, "ok", 2},
		"once, full twice":                    {"/once/1", []reply{full, full}, 503, "", 2},
		"once, not sent, then served":         {"/once/1", []reply{notSent, ok}, 200, "ok", 2},
		"once, never sent":                    {"/once/1", []reply{notSent, notSent, notSent, notSent}, 503, "", 4},
		"once, full, then lost":               {"/once/1", []reply{full, lost}, 502, "", 2},
		"idempotent, failed, then served":     {"/safe/1", []reply{failed, ok}, 200, "ok", 2},
		"idempotent, failed twice":            {"/safe/1", []reply{failed, failed}, 500, "failed", 2},
		"idempotent, failed, then lost":       {"/safe/1", []reply{failed, lost}, 500, "failed", 2},
		"once, failed":                        {"/once/1", []reply{failed}, 500, "failed", 1},
		"success without signature":           {"/once/1", []reply{{status: 200, body: "x"}}, 502, "", 1},
		"broken response, once":               {"/once/1", []reply{{status: 200, header: signed, body: "half", broken: true}}, 502, "", 1},
		"broken response, idempotent":         {"/safe/1", []reply{{status: 200, header: signed, body: "half", broken: true}, ok}, 200, "ok", 2},
		"stream, lost before the first event": {"/stream/1", []reply{lost}, 502, "", 1},
		"stream, full":                        {"/stream/1", []reply{full, {status: 200, header: signed, body: "id: 1\n\n"}}, 200, "id: 1\n\n", 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tc.replies, nil)
			r := f.postDefault(t, tc.path)
			if r.status != tc.status || r.err != nil || tc.body != "" && r.body != tc.body {
				t.Errorf("status %d, body %q, error %v; want %d, %q", r.status, r.body, r.err, tc.status, tc.body)
			}
			if len(f.client.requests) != tc.sent {
				t.Errorf("%d requests sent, want %d", len(f.client.requests), tc.sent)
			}
			if tc.status == 503 && r.header.Get("Retry-After") == "" {
				t.Error("the rejection has no Retry-After")
			}
			if tc.status >= 500 && tc.body == "" && r.header.Get("Signed") != "" {
				t.Error("an error response of the daemon bears a signature")
			}
		})
	}
}

// Guards against a refused connection, which shows that the process of the target has
// ended, that is reported like one without an answer, which shows nothing.
func TestRefusedConnectionsAreReported(t *testing.T) {
	f := newFixture(t, []reply{{err: courier.ErrRefused}, {err: courier.ErrNotSent}, {status: 200, header: signed, body: "ok"}}, nil)
	f.postDefault(t, "/once/1")
	f.wantResults(t, placer.Absent, placer.Unreachable, placer.Complete)
}

// Guards against more attempts than the retry budget allows.
func TestRetriesNeedABudget(t *testing.T) {
	f := newFixture(t, []reply{{err: errReset}}, func(o *receiver.Options) { o.RetryBudget = retryBudget{false} })
	if r := f.postDefault(t, "/safe/1"); r.status != 502 || len(f.client.requests) != 1 {
		t.Errorf("status %d, %d requests sent", r.status, len(f.client.requests))
	}
	f.wantResults(t, placer.Broken)
}

// Guards against sending a request by a decision that was made before the process was
// suspended.
func TestStaleDecisionsAreNotUsed(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, nil)
	f.permitSource.stale = 1
	if r := f.postDefault(t, "/once/1"); r.status != 200 || len(f.client.requests) != 1 {
		t.Errorf("status %d, %d requests sent", r.status, len(f.client.requests))
	}
	f.wantResults(t, placer.Unsent, placer.Complete)
}

// Guards against DRAIN of 2026-12-05: a request is sent to a target that began to leave
// while a connection to it was opened. Withdrawing it must not count as an attempt or as a
// failure of the target.
func TestRequestIsWithdrawnFromATargetThatLeaves(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, nil)
	f.permitSource.left = 2
	if r := f.postDefault(t, "/once/1"); r.status != 200 || len(f.client.requests) != 1 {
		t.Errorf("status %d, %d requests sent", r.status, len(f.client.requests))
	}
	f.wantResults(t, placer.Unsent, placer.Unsent, placer.Complete)
}

// Guards against rejections with a wrong status, or without Retry-After where the
// caller should retry.
func TestRejections(t *testing.T) {
	for name, tc := range map[string]struct {
		path, key, body string
		change          func(*receiver.Options)
		status          int
		retry           bool
	}{
		"no configuration": {"/safe/1", "k", "", func(o *receiver.Options) { o.Configs = configs{} }, 503, true},
		"no route":         {"/other/1", "k", "", nil, 404, false},
		"unknown key":      {"/safe/1", "x", "", nil, 401, false},
		"no key":           {"/safe/1", "", "", nil, 401, false},
		"long body":        {"/safe/1", "k", strings.Repeat("x", 1001), nil, 413, false},
		"no memory": {"/safe/1", "k", strings.Repeat("x", 100), func(o *receiver.Options) {
			o.Memory = limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 50})
		}, 503, true},
		"host busy": {"/once/1", "k", "x", func(o *receiver.Options) { o.LoadShedder = loadShedder{full: true} }, 503, true},
		"overload":  {"/once/1", "k", "x", func(o *receiver.Options) { o.Permits = &permitSource{refuse: queuer.ReasonOverload} }, 503, true},
	} {
		f := newFixture(t, nil, tc.change)
		r := f.post(context.Background(), t, tc.path, tc.key, tc.body)
		if r.status != tc.status || (r.header.Get("Retry-After") != "") != tc.retry || len(f.client.requests) != 0 {
			t.Errorf("%s: status %d, Retry-After %q, %d requests sent", name, r.status, r.header.Get("Retry-After"), len(f.client.requests))
		}
	}
}

// Callers keep their connections to a host that is overloaded by them. Guards against
// responses that keep these connections open, and against closing connections of a
// host that is not overloaded.
func TestOverloadedHostClosesConnections(t *testing.T) {
	for _, closeConnections := range []bool{false, true} {
		f := newFixture(t, []reply{{status: 200, header: signed, body: "x"}}, func(o *receiver.Options) { o.LoadShedder = loadShedder{closeConnections: closeConnections} })
		if r := f.postDefault(t, "/safe/1"); r.status != 200 || r.closed != closeConnections {
			t.Errorf("closeConnections %t: status %d, connection closed %t", closeConnections, r.status, r.closed)
		}
	}
}

// Guards against a request limit that is read only from some responses, so that a target
// that refuses everything gets as many requests as before.
func TestLimitsAreReadFromAllResponses(t *testing.T) {
	f := newFixture(t, []reply{{status: 503, header: "Not-Run=1;Limit=2"}, {status: 500, header: "Signed=s;Limit=3"}, {status: 200, header: signed, body: "x"}}, nil)
	f.postDefault(t, "/safe/1")
	want := []placer.RequestLimit{{Limited: true, PerSecond: 2}, {Limited: true, PerSecond: 3}, {}}
	if got := f.permitSource.limits; !slices.Equal(got, want[:len(got)]) || len(got) < 2 {
		t.Errorf("limits %v, want the first of %v", got, want)
	}
}

// Guards against a leave that is read only from some responses, so that a target that
// refuses everything is still chosen.
func TestLeavesAreReadFromAllResponses(t *testing.T) {
	f := newFixture(t, []reply{{status: 503, header: "Not-Run=1;Leaving=1"}, {status: 500, header: "Signed=s;Leaving=1"}, {status: 200, header: signed, body: "x"}}, nil)
	f.postDefault(t, "/safe/1")
	f.postDefault(t, "/safe/1")
	if f.permitSource.leaves != 2 {
		t.Errorf("%d leaves were observed, want 2", f.permitSource.leaves)
	}
}

// Guards against a target that is taken for leaving because another one leaves that now has
// its address.
func TestLeaveOfAnotherTargetAtTheAddressIsIgnored(t *testing.T) {
	f := newFixture(t, []reply{{status: 421, header: "Misdirected=1;Leaving=1"}, {status: 200, header: signed, body: "x"}}, nil)
	if r := f.postDefault(t, "/safe/1"); r.status != 200 || f.permitSource.leaves != 0 {
		t.Errorf("status %d, %d leaves were observed", r.status, f.permitSource.leaves)
	}
}

// Guards against an incomplete stream that looks complete to the caller.
func TestBrokenStreamEndsWithAnError(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true}}, nil)
	r := f.postDefault(t, "/stream/1")
	if r.err == nil || r.body != "id: 1\ndata: a\n\n" {
		t.Errorf("body %q, error %v; want only whole events and an error", r.body, r.err)
	}
	f.wantResults(t, placer.Broken)
}

// Guards against the end of a connection that is taken for the end of a stream: the
// target crashed, and nothing else delimits its response.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	for name, c := range map[string]struct {
		body, want string
		broken     bool
	}{
		"inside an event":          {"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", true},
		"before the empty line":    {"id: 1\ndata: a\n\nid: 2\ndata: b\n", "id: 1\ndata: a\n\n", true},
		"before the first event":   {"", "", true},
		"after an event":           {"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", false},
		"inside a comment at last": {"id: 1\ndata: a\n\n: x", "id: 1\ndata: a\n\n: x", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, []reply{{status: 200, header: signed, body: c.body}}, nil)
			r := f.postDefault(t, "/stream/1")
			incomplete := r.err != nil || r.status != http.StatusOK
			if incomplete != c.broken || r.status == http.StatusOK && r.body != c.want {
				t.Errorf("status %d, body %q, error %v", r.status, r.body, r.err)
			}
			result := placer.Complete
			if c.broken {
				result = placer.Broken
			}
			f.wantResults(t, result)
		})
	}
}

// Guards against events that are missing, duplicated or merged when another target
// continues a stream.
func TestResumableStreamContinuesAtAnotherTarget(t *testing.T) {
	f := newFixture(t, []reply{
		{status: 200, header: "Signed=first", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", broken: true},
		{status: 200, header: "Signed=second", body: "id: 3\ndata: c\n\n"},
	}, nil)
	r := f.postDefault(t, "/resume/1")
	if r.err != nil || r.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" || r.header.Get("Signed") != "first" {
		t.Errorf("body %q, signature %q, error %v", r.body, r.header.Get("Signed"), r.err)
	}
	if after := f.client.requests[1].Header.Get("After"); after != "2" {
		t.Errorf("resumed after %q", after)
	}
	f.wantResults(t, placer.Broken, placer.Complete)
}

// Guards against duplicate events if none of those that were forwarded has an ID after which
// another target could continue the stream.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	f := newFixture(t, []reply{
		{status: 200, header: signed, body: "data: a\n\ndata: b\n\n", broken: true},
		{status: 200, header: signed, body: "data: a\n\ndata: b\n\ndata: c\n\n"},
	}, nil)
	if r := f.postDefault(t, "/resume/1"); r.err == nil || r.body != "data: a\n\ndata: b\n\n" {
		t.Errorf("body %q, error %v", r.body, r.err)
	}
	f.wantResults(t, placer.Broken)
	comments := newFixture(t, []reply{
		{status: 200, header: signed, body: ": wait\n\n", broken: true},
		{status: 200, header: signed, body: "data: a\n\n"},
	}, nil)
	if r := comments.postDefault(t, "/resume/1"); r.err != nil || r.body != ": wait\n\ndata: a\n\n" {
		t.Errorf("after a comment: body %q, error %v", r.body, r.err)
	}
}

// Guards against duplicate events from a target that was asked to continue a stream
// and starts it from the beginning.
func TestRestartedStreamIsNotForwarded(t *testing.T) {
	f := newFixture(t, []reply{
		{status: 200, header: "Signed=first", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", broken: true},
		{status: 200, header: "Signed=second", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
	}, nil)
	r := f.postDefault(t, "/resume/1")
	if r.err == nil || r.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("body %q, error %v", r.body, r.err)
	}
	f.wantResults(t, placer.Broken, placer.Failed)
}

// Guards against an error response that is forwarded in the middle of a stream, or after
// which the stream looks complete.
func TestFailedResumptionEndsTheStreamWithAnError(t *testing.T) {
	for name, second := range map[string]reply{
		"error":                     {status: 500, header: signed, body: "failed"},
		"error like an event":       {status: 500, header: signed, body: "id: 2\ndata: failed\n\n"},
		"error of another server":   {status: 404, body: "HTTP/1.1 404 Not Found\r\n\r\nfailed"},
		"unsigned success":          {status: 200, body: "id: 2\ndata: b\n\n"},
		"success without a stream":  {status: 206, header: signed, body: "id: 2\ndata: b\n\n"},
		"text":                      {status: 200, header: signed, body: "failed"},
		"text that ends like event": {status: 200, header: signed, body: "failed\n\n"},
		"empty stream that breaks":  {status: 200, header: signed, broken: true},
		"refusal":                   {status: 503, header: "Not-Run=1", body: "full"},
		"no response":               {err: errReset},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, []reply{{status: 200, header: signed, body: "id: 1\n\n", broken: true}, second}, nil)
			if r := f.postDefault(t, "/resume/1"); r.err == nil || r.body != "id: 1\n\n" {
				t.Errorf("body %q, error %v", r.body, r.err)
			}
		})
	}
}

// Guards against an error text of a target that runs a request anew after the first one
// sent a header but no event.
func TestErrorAfterAStreamWithoutEvents(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, broken: true}, {status: 500, header: signed, body: "failed"}}, nil)
	if r := f.postDefault(t, "/resume/1"); r.err == nil && (r.status < 500 || r.header.Get("Signed") != "" && r.body != "failed") {
		t.Errorf("status %d, body %q, signature %q", r.status, r.body, r.header.Get("Signed"))
	}
}

// Guards against targets that keep working for a caller that disconnected, and against
// cancelling work that must not be repeated.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, []reply{{held: true}}, nil)
	ctx, disconnect := context.WithCancel(context.Background())
	results := make(chan result, 1)
	go func() { results <- f.post(ctx, t, "/safe/1", "k", "x") }()
	<-f.client.started
	disconnect()
	<-f.client.cancelled
	<-results
	<-f.permitSource.ended
	f.wantResults(t, placer.Cancelled)

	once := newFixture(t, []reply{{held: true}}, func(o *receiver.Options) { o.ShutdownState = shutdownState{} })
	ctx, disconnect = context.WithCancel(context.Background())
	go func() { results <- once.post(ctx, t, "/once/1", "k", "x") }()
	<-once.client.started
	disconnect()
	<-results
	select {
	case <-once.client.cancelled:
		t.Error("a request that must not be repeated was cancelled")
	default:
	}
}

// A busy host notices late that a caller has disconnected. Guards against sending the
// request of such a caller to a target.
func TestCallerDisconnectsBeforeItsRequestIsRead(t *testing.T) {
	f := newFixture(t, nil, func(o *receiver.Options) { o.CallerDisconnected = func(*http.Request) bool { return true } })
	if r := f.postDefault(t, "/once/1"); r.err == nil || len(f.client.requests) != 0 {
		t.Errorf("status %d, %d requests sent", r.status, len(f.client.requests))
	}
	f.wantResults(t, placer.Unsent)
}

// Guards against accepting requests during a graceful stop that are cut when the
// daemon ends.
func TestRequestsDuringAStop(t *testing.T) {
	for name, tc := range map[string]struct {
		shutdownState shutdownState
		status        int
	}{
		"early, enough time":  {shutdownState{since: time.Second, left: 10 * time.Minute, stopping: true}, 200},
		"early, little time":  {shutdownState{since: time.Second, left: time.Second, stopping: true}, 503},
		"late, could be cut":  {shutdownState{since: 5 * time.Second, left: 50 * time.Second, stopping: true}, 503},
		"late, cannot be cut": {shutdownState{since: 5 * time.Second, left: 61 * time.Second, stopping: true}, 200},
	} {
		f := newFixture(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) { o.ShutdownState = tc.shutdownState })
		r := f.postDefault(t, "/once/1")
		if r.status != tc.status {
			t.Errorf("%s: status %d", name, r.status)
		}
		if tc.status == 503 && r.header.Get("Retry-After") == "" {
			t.Errorf("%s: the rejection has no Retry-After", name)
		}
	}
}
