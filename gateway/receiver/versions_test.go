package receiver_test

import (
	"net/http"
	"strings"
	"testing"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/versioner"
)

// Guards against ORDER: a stream that goes on at another software version than the one that
// sent its first event, and against a stream without any event that is bound to a version.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		first reply
		want  placer.VersionLimit
	}{
		"after an event":   {reply{status: 200, header: signed, body: "id: 1\ndata: a\n\n", broken: true}, placer.OnlyVersion("v1")},
		"after a comment":  {reply{status: 200, header: signed, body: ": wait\n\n", broken: true}, placer.VersionLimit{}},
		"after the header": {reply{status: 200, header: signed, broken: true}, placer.VersionLimit{}},
		"without response": {reply{err: errReset}, placer.VersionLimit{}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, []reply{tc.first, {status: 200, header: signed, body: "id: 2\ndata: b\n\n"}}, nil)
			f.permitSource.versions = []string{"v1", "v1"}
			f.postDefault(t, "/resume/1")
			if len(f.permitSource.demands) != 2 {
				t.Fatalf("%d demands, want 2", len(f.permitSource.demands))
			}
			if got := f.permitSource.demands[0].Request.Version; got.Limited() {
				t.Errorf("first demand limited to %+v, want no limit", got)
			}
			if got := f.permitSource.demands[1].Request.Version; got != tc.want {
				t.Errorf("second demand limited to %+v, want %+v", got, tc.want)
			}
		})
	}
}

// takeUp returns the header of a request that takes up a stream after its first event.
func takeUp(attempt string) map[string]string {
	return map[string]string{"Id": "second", "Key": "k", "After": "1", "Resumes": attempt}
}

// Guards against ORDER: a caller takes up a stream, and gets the rest of it from another
// software version than the one that began it.
func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	stream := versioner.StreamOf("forge", "first")
	found := func(version, service string, remembered bool) map[versioner.Stream]receiver.StreamOrigin {
		return map[versioner.Stream]receiver.StreamOrigin{stream: {Origin: versioner.Origin{Service: service, Version: version}, Known: true, Remembered: remembered}}
	}
	for name, tc := range map[string]struct {
		origins   map[versioner.Stream]receiver.StreamOrigin
		attempt   string
		refusal   string
		continues bool
	}{
		"remembered":             {found("v1", "s", true), "first", "", true},
		"certain":                {found("v1", "s", false), "first", "", false},
		"another stream":         {found("v1", "s", true), "other", "streamVersionUnknown", false},
		"no stream named":        {found("v1", "s", true), "", "streamVersionUnknown", false},
		"at a service of before": {found("v1", "old", true), "first", "streamVersionGone", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, []reply{{status: 200, header: signed, body: "id: 2\ndata: b\n\n"}}, nil)
			f.origins.origins, f.permitSource.versions = tc.origins, []string{"v1"}
			r := f.postWith(t, "/resume/1", takeUp(tc.attempt))
			if tc.refusal != "" {
				if r.status != http.StatusServiceUnavailable || !containsCode(r.body, tc.refusal) || len(f.permitSource.demands) != 0 {
					t.Errorf("status %d, body %q, %d demands; want a refusal at once with %s", r.status, r.body, len(f.permitSource.demands), tc.refusal)
				}
				return
			}
			if r.status != http.StatusOK || r.err != nil {
				t.Fatalf("status %d, error %v, want the rest of the stream", r.status, r.err)
			}
			d := f.permitSource.demands[0]
			if d.Request.Version != placer.OnlyVersion("v1") || d.Continues != tc.continues {
				t.Errorf("demand limited to %+v, continues %v; want v1 and %v", d.Request.Version, d.Continues, tc.continues)
			}
			if got := f.origins.began[stream]; got != (versioner.Origin{Service: "s", Version: "v1"}) {
				t.Errorf("the stream is remembered at %+v, want v1", got)
			}
		})
	}
}

// Guards against take-ups of a take-up, and against streams that no daemon remembers: only
// the attempt with the first event counts.
func TestStreamIsRememberedByItsFirstEvent(t *testing.T) {
	f := newFixture(t, []reply{{status: 200, header: signed, body: "id: 1\ndata: a\n\n"}, {status: 200, header: signed, body: "data: x\n\n"}, {status: 500, header: signed}}, nil)
	f.permitSource.versions = []string{"v2", "v2", "v2"}
	f.postWith(t, "/resume/1", map[string]string{"Id": "first", "Key": "k"})
	f.postWith(t, "/stream/1", map[string]string{"Id": "not resumable", "Key": "k"})
	f.postWith(t, "/resume/1", map[string]string{"Id": "failed", "Key": "k"})
	if want := versioner.StreamOf("forge", "first"); len(f.origins.began) != 1 || f.origins.began[want].Version != "v2" {
		t.Errorf("remembered %+v, want only the stream of the first attempt at v2", f.origins.began)
	}
}

// Guards against a stream that cannot go on being held until its caller leaves.
func TestTakeUpWithoutATargetOfItsVersionIsRefused(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.permitSource.refuse = queuer.ReasonVersion
	if r := f.postWith(t, "/resume/1", takeUp("first")); r.status != http.StatusServiceUnavailable || !containsCode(r.body, "streamVersionGone") {
		t.Errorf("status %d, body %q, want a refusal", r.status, r.body)
	}
}

func containsCode(body, code string) bool { return strings.Contains(body, `"code":"`+code+`"`) }
