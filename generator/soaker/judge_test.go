package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/platform/wire"
)

// success returns a complete response to a request of a route.
func success(r route) result {
	x := result{
		request: request{id: "1", name: "1", route: r}, daemon: &daemon{name: "h"}, status: http.StatusOK,
		header: http.Header{wire.FieldAttempt: {"1"}, wire.FieldSignature: {"s"}},
	}
	x.body = []byte(x.wantBody())
	return x
}

// ran returns a run of the request of success at an instance of a target.
func ran(r route, instance string) server.Run {
	return server.Run{Attempt: "1", Server: "t", Instance: instance, Service: r.service, Path: "/" + r.name + "/1", Account: "account-0", Complete: true}
}

// Guards against a soak that misses a violated guarantee, or that reports one that
// was kept.
func TestChecksReportViolatedGuarantees(t *testing.T) {
	resume, stream, read, write := routes()[0], routes()[1], routes()[2], routes()[3]
	broken := errors.New("connection reset")
	cases := map[string]struct {
		route  route
		change func(*result)
		runs   []server.Run
		want   string
	}{
		"served":                       {write, func(*result) {}, []server.Run{ran(write, "t-1")}, ""},
		"refused":                      {write, func(x *result) { x.status, x.header, x.body = 503, http.Header{}, nil }, nil, ""},
		"resumed elsewhere":            {resume, func(*result) {}, []server.Run{ran(resume, "t-1"), ran(resume, "u-1")}, ""},
		"read again after a refusal":   {read, func(x *result) { x.status, x.header = 503, http.Header{} }, []server.Run{ran(read, "t-1")}, ""},
		"body of another request":      {read, func(x *result) { x.body = []byte("answer to 2\n") }, nil, "wrong"},
		"id of another request":        {read, func(x *result) { x.header.Set(wire.FieldAttempt, "2") }, nil, "wrong"},
		"unsigned success":             {read, func(x *result) { x.header.Del(wire.FieldSignature) }, nil, "wrong"},
		"event missing":                {stream, func(x *result) { x.body = x.body[len(server.ResponseParts("1", engineEvents)[0]):] }, nil, "wrong"},
		"end missing":                  {stream, func(x *result) { x.body = x.body[:len(x.body)-3] }, nil, "wrong"},
		"cut response is not complete": {stream, func(x *result) { x.body, x.err = x.body[:len(x.body)-3], broken }, nil, ""},
		"events of two runs":           {resume, func(x *result) { x.body, x.err = append(x.body[:20:20], x.body...), broken }, nil, "wrong"},
		"ran twice":                    {write, func(*result) {}, []server.Run{ran(write, "t-1"), ran(write, "t-1")}, "duplicated"},
		"stream ran twice":             {stream, func(*result) {}, []server.Run{ran(stream, "t-1"), ran(stream, "u-1")}, "duplicated"},
		"status says not run, but ran": {write, func(x *result) { x.status, x.header = 503, http.Header{} }, []server.Run{ran(write, "t-1")}, "falseNotRun"},
		"denied":                       {read, func(x *result) { x.status, x.header = 404, http.Header{} }, nil, "denied"},
		"wrong service":                {read, func(*result) {}, []server.Run{ran(stream, "t-1")}, "misrouted"},
		"key passed on":                {read, func(*result) {}, []server.Run{func() server.Run { r := ran(read, "t-1"); r.Key = "k"; return r }()}, "misrouted"},
		"too many targets":             {read, func(*result) {}, []server.Run{ran(read, "t-1"), ran(read, "u-1"), ran(read, "v-1")}, "tooOften"},
	}
	for name, c := range cases {
		v := violations{}
		x := success(c.route)
		c.change(&x)
		v.checkResponse(x)
		v.checkRuns(x, c.runs)
		switch {
		case c.want == "" && len(v) > 0:
			t.Errorf("%s: %v", name, v)
		case c.want != "" && len(v[c.want]) == 0:
			t.Errorf("%s: %v, want %s", name, v, c.want)
		}
	}
}

// Guards against a fault elsewhere that excuses a lost request, and against a
// violation reported for a request that a fault has hit.
func TestFaultExcusesOnlyAffectedRequests(t *testing.T) {
	now := time.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	r := &run{faults: []interval{{subject: "h", from: at(10), to: at(12)}, {subject: "t", from: at(20), to: at(21)}, {subject: storeSubject, from: at(0)}}}
	cases := map[string]struct {
		daemon, target string
		from, to       float64
		want           bool
	}{
		"before":                {"h", "u", 1, 9, false},
		"during":                {"h", "u", 11, 11.1, true},
		"shortly after":         {"h", "u", 12.5, 14, true},
		"long after":            {"h", "u", 14, 15, false},
		"another daemon":        {"i", "u", 11, 12, false},
		"at the target":         {"i", "t", 19, 20.5, true},
		"another target":        {"i", "u", 19, 20.5, false},
		"fault of the store":    {"i", "u", 1, 2, false},
		"target long recovered": {"i", "t", 23, 24, false},
	}
	for name, c := range cases {
		x := result{daemon: &daemon{name: c.daemon}, start: at(c.from), end: at(c.to)}
		if got := r.excused(x, []server.Run{{Server: c.target}}); got != c.want {
			t.Errorf("%s: excused %t", name, got)
		}
	}
}
