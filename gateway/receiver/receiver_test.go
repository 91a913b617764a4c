package receiver_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/limiter"
)

const signed = "Signed=yes"

// Guards against wrong outcomes of failed attempts: a second run of what may run
// once, and a "not run" (503) that is not true.
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
		calls   int
	}{
		"success":                             {"/once/1", []reply{ok}, 200, "ok", 1},
		"idempotent, answer lost":             {"/safe/1", []reply{lost, ok}, 200, "ok", 2},
		"idempotent, lost twice":              {"/safe/1", []reply{lost, lost}, 502, "", 2},
		"once, answer lost":                   {"/once/1", []reply{lost}, 502, "", 1},
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
		"broken answer, once":                 {"/once/1", []reply{{status: 200, header: signed, body: "half", broken: true}}, 502, "", 1},
		"broken answer, idempotent":           {"/safe/1", []reply{{status: 200, header: signed, body: "half", broken: true}, ok}, 200, "ok", 2},
		"stream, lost before the first event": {"/stream/1", []reply{lost}, 502, "", 1},
		"stream, full":                        {"/stream/1", []reply{full, {status: 200, header: signed, body: "id: 1\n\n"}}, 200, "id: 1\n\n", 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, tc.replies, nil)
			r := s.get(t, tc.path)
			if r.status != tc.status || r.err != nil || tc.body != "" && r.body != tc.body {
				t.Errorf("status %d, body %q, error %v; want %d, %q", r.status, r.body, r.err, tc.status, tc.body)
			}
			if len(s.carrier.calls) != tc.calls {
				t.Errorf("%d calls, want %d", len(s.carrier.calls), tc.calls)
			}
			if tc.status == 503 && r.header.Get("Retry-After") == "" {
				t.Error("the refusal does not say when to come back")
			}
			if tc.status >= 500 && tc.body == "" && r.header.Get("Signed") != "" {
				t.Error("a failure of the daemon's own bears a signature")
			}
		})
	}
}

// Guards against more attempts than the budget of retries allows.
func TestRetriesNeedABudget(t *testing.T) {
	s := newScene(t, []reply{{err: errReset}}, func(o *receiver.Options) { o.Retries = retries{false} })
	if r := s.get(t, "/safe/1"); r.status != 502 || len(s.carrier.calls) != 1 {
		t.Errorf("status %d, %d calls", r.status, len(s.carrier.calls))
	}
	s.wantResults(t, placer.Failed)
}

// Guards against requests that a host sends by decisions from before it stood
// still.
func TestOldDecisionsAreNotUsed(t *testing.T) {
	s := newScene(t, []reply{{status: 200, header: signed, body: "ok"}}, nil)
	s.waiter.stale = 1
	if r := s.get(t, "/once/1"); r.status != 200 || len(s.carrier.calls) != 1 {
		t.Errorf("status %d, %d calls", r.status, len(s.carrier.calls))
	}
	s.wantResults(t, placer.Unsent, placer.Complete)
}

// Guards against refusals that are wrong or say nothing.
func TestRequestsThatAreNotServed(t *testing.T) {
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
			o.Bodies = limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 50})
		}, 503, true},
		"host busy": {"/once/1", "k", "x", func(o *receiver.Options) { o.Room = room{full: true} }, 503, true},
		"overload":  {"/once/1", "k", "x", func(o *receiver.Options) { o.Waiter = &waiter{refuse: queuer.ReasonOverload} }, 503, true},
	} {
		s := newScene(t, nil, tc.change)
		r := s.request(context.Background(), t, tc.path, tc.key, tc.body)
		if r.status != tc.status || (r.header.Get("Retry-After") != "") != tc.retry || len(s.carrier.calls) != 0 {
			t.Errorf("%s: status %d, Retry-After %q, %d calls", name, r.status, r.header.Get("Retry-After"), len(s.carrier.calls))
		}
	}
}

// Load: callers that keep their connections to a host that is too small for them.
// Guards against answers that leave them there, and against closing the connections
// of callers that are served well.
func TestCallersOfABusyHostMove(t *testing.T) {
	for _, moving := range []bool{false, true} {
		s := newScene(t, []reply{{status: 200, header: signed, body: "x"}}, func(o *receiver.Options) { o.Room = room{moving: moving} })
		if r := s.get(t, "/safe/1"); r.status != 200 || r.closed != moving {
			t.Errorf("moving %t: status %d, connection closed %t", moving, r.status, r.closed)
		}
	}
}

// Guards against streams that look whole and are not.
func TestBrokenStreamIsVisiblyBroken(t *testing.T) {
	s := newScene(t, []reply{{status: 200, header: signed, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true}}, nil)
	r := s.get(t, "/stream/1")
	if r.err == nil || r.body != "id: 1\ndata: a\n\n" {
		t.Errorf("body %q, error %v: only whole events, and no end", r.body, r.err)
	}
	s.wantResults(t, placer.Failed)
}

// Guards against pieces that are missing, come twice or are joined when a stream
// goes on at another target.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	s := newScene(t, []reply{
		{status: 200, header: "Signed=first", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", broken: true},
		{status: 200, header: "Signed=second", body: "id: 3\ndata: c\n\n"},
	}, nil)
	r := s.get(t, "/resume/1")
	if r.err != nil || r.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" || r.header.Get("Signed") != "first" {
		t.Errorf("body %q, signature %q, error %v", r.body, r.header.Get("Signed"), r.err)
	}
	if after := s.carrier.calls[1].Header.Get("After"); after != "2" {
		t.Errorf("resumed after %q", after)
	}
	s.wantResults(t, placer.Failed, placer.Complete)
}

// Guards against events of two runs in one stream, from a target that was asked to
// go on and began again.
func TestStreamThatBeginsAgainIsNotJoined(t *testing.T) {
	s := newScene(t, []reply{
		{status: 200, header: "Signed=first", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", broken: true},
		{status: 200, header: "Signed=second", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
	}, nil)
	r := s.get(t, "/resume/1")
	if r.err == nil || r.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("body %q, error %v", r.body, r.err)
	}
	s.wantResults(t, placer.Failed, placer.Failed)
}

// Guards against a refusal in the middle of a stream.
func TestStreamThatCannotBeResumedIsBroken(t *testing.T) {
	s := newScene(t, []reply{
		{status: 200, header: signed, body: "id: 1\n\n", broken: true},
		{status: 500, header: signed, body: "failed"},
	}, nil)
	if r := s.get(t, "/resume/1"); r.err == nil || r.body != "id: 1\n\n" {
		t.Errorf("body %q, error %v", r.body, r.err)
	}
}

// Guards against targets that work on for callers that have left, and against
// cutting work that must not be repeated.
func TestCallerThatLeaves(t *testing.T) {
	s := newScene(t, []reply{{held: true}}, nil)
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan result, 1)
	go func() { left <- s.request(ctx, t, "/safe/1", "k", "x") }()
	<-s.carrier.started
	leave()
	<-s.carrier.cancelled
	<-left
	<-s.waiter.ended
	s.wantResults(t, placer.Cancelled)

	once := newScene(t, []reply{{held: true}}, func(o *receiver.Options) { o.Gate = gate{} })
	ctx, leave = context.WithCancel(context.Background())
	go func() { left <- once.request(ctx, t, "/once/1", "k", "x") }()
	<-once.carrier.started
	leave()
	<-left
	select {
	case <-once.carrier.cancelled:
		t.Error("work that must not be repeated was cut")
	default:
	}
}

// Guards against requests that reach a target after their caller has left, on a
// host that is late to notice it.
func TestCallerThatLeftBeforeItsRequestWasRead(t *testing.T) {
	s := newScene(t, nil, func(o *receiver.Options) { o.Left = func(*http.Request) bool { return true } })
	if r := s.get(t, "/once/1"); r.err == nil || len(s.carrier.calls) != 0 {
		t.Errorf("status %d, %d calls", r.status, len(s.carrier.calls))
	}
	s.wantResults(t, placer.Unsent)
}

// Guards against requests that are accepted during a stop and cut at its end.
func TestRequestsDuringAStop(t *testing.T) {
	for name, tc := range map[string]struct {
		gate   gate
		status int
	}{
		"early, time left":    {gate{time.Second, 10 * time.Minute, true}, 200},
		"early, no time":      {gate{time.Second, time.Second, true}, 503},
		"late, not certain":   {gate{5 * time.Second, 50 * time.Second, true}, 503},
		"late, cannot be cut": {gate{5 * time.Second, 61 * time.Second, true}, 200},
	} {
		s := newScene(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) { o.Gate = tc.gate })
		r := s.get(t, "/once/1")
		if r.status != tc.status {
			t.Errorf("%s: status %d", name, r.status)
		}
		if tc.status == 503 && r.header.Get("Retry-After") == "" {
			t.Errorf("%s: no time to come back", name)
		}
	}
}

// Guards against connections that callers go on using while the daemon stops.
func TestConnectionsAreClosedDuringAStop(t *testing.T) {
	s := newScene(t, []reply{{status: 200, header: signed, body: "ok"}}, func(o *receiver.Options) {
		o.Gate = gate{time.Second, 10 * time.Minute, true}
	})
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/once/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if !response.Close {
		t.Error("the answer does not close the connection")
	}
}
