package receiver_test

import (
	"slices"
	"strings"
	"testing"

	"monsoondeck.example/gateway/placer"
)

// Guards against the end of a target that is taken for the end of its response: the kernel
// closes the connections of a killed process as a target does after a complete response.
func TestResponseThatEndsWithItsTargetIsIncomplete(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	part := reply{status: 200, header: signed, body: "part"}
	whole := reply{status: 200, header: signed, body: "whole"}
	stream := reply{status: 200, header: signed, body: events}
	large := strings.Repeat("x", 300<<10)
	broken, repeated, complete := []placer.Result{placer.Broken}, []placer.Result{placer.Broken, placer.Complete}, []placer.Result{placer.Complete}
	for name, tc := range map[string]struct {
		path    string
		replies []reply
		// status is 0 if the caller's connection is broken off.
		status  int
		body    string
		broken  bool
		sent    int
		results []placer.Result
	}{
		"stream":                  {"/stream/1", []reply{stream}, 200, events, true, 1, broken},
		"resumable stream":        {"/resume/1", []reply{stream, {status: 200, header: signed, body: "id: 2\ndata: b\n\n"}}, 200, events + "id: 2\ndata: b\n\n", false, 2, repeated},
		"response":                {"/once/1", []reply{part}, 502, "", false, 1, broken},
		"idempotent response":     {"/safe/1", []reply{part, whole}, 200, "whole", false, 2, repeated},
		"large response":          {"/safe/1", []reply{{status: 200, header: signed, body: large}}, 200, large, true, 1, broken},
		"error, idempotent":       {"/safe/1", []reply{{status: 500, header: signed, body: "part"}, whole}, 200, "whole", false, 2, repeated},
		"stream with a length":    {"/stream/1", []reply{{status: 200, header: signed, body: events, delimited: true}}, 200, events, false, 1, complete},
		"response with a length":  {"/once/1", []reply{{status: 200, header: signed, body: "whole", delimited: true}}, 200, "whole", false, 1, complete},
		"large one with a length": {"/safe/1", []reply{{status: 200, header: signed, body: large, delimited: true}}, 200, large, false, 1, complete},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tc.replies, nil)
			f.checker.gone = []string{"t0"}
			r := f.postDefault(t, tc.path)
			if r.status != tc.status || (r.err != nil) != tc.broken || tc.body != "" && r.body != tc.body {
				t.Errorf("status %d, %d bytes, error %v; want %d, %d bytes, broken off: %t", r.status, len(r.body), r.err, tc.status, len(tc.body), tc.broken)
			}
			if len(f.client.requests) != tc.sent {
				t.Errorf("%d requests sent, want %d", len(f.client.requests), tc.sent)
			}
			f.wantResults(t, tc.results...)
			checks := f.checker.checked()
			if tc.replies[0].delimited != (len(checks) == 0) || !tc.replies[0].delimited && checks[0] != "t0/health" {
				t.Errorf("checks of targets: %q", checks)
			}
		})
	}
}

// Guards against a complete response that is withheld because it ends with its connection.
func TestResponseOfARunningTargetIsComplete(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	for path, body := range map[string]string{"/stream/1": "id: 1\ndata: a\n\n", "/once/1": "whole", "/safe/1": large} {
		f := newFixture(t, []reply{{status: 200, header: signed, body: body}}, nil)
		if r := f.postDefault(t, path); r.err != nil || r.status != 200 || r.body != body {
			t.Errorf("%s: status %d, %d bytes, error %v", path, r.status, len(r.body), r.err)
		}
		f.wantResults(t, placer.Complete)
		if checks := f.checker.checked(); !slices.Equal(checks, []string{"t0/health"}) {
			t.Errorf("%s: checks of targets: %q", path, checks)
		}
	}
}
