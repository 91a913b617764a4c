package receiver_test

import (
	"testing"

	"monsoondeck.example/gateway/placer"
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
