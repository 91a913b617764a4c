package receiver_test

import (
	"testing"

	"monsoondeck.example/gateway/placer"
)

// Guards against LOST: a stream whose target broke off ended after three refusals, within a
// second, although its caller would have waited for longer.
func TestBrokenStreamWaitsForRoomAsLongAsItsCaller(t *testing.T) {
	t.Parallel()
	f := newSilenceFixture(t, []reply{
		{status: 200, header: signed, body: "id: 1\ndata: a\n\n", broken: true, delimited: true},
		{status: 200, header: signed, body: "id: 2\ndata: b\n\n", delimited: true},
	})
	f.permitSource.fullFor = 5
	if r := f.postDefault(t, "/resume/1"); r.err != nil || r.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("body %q, error %v", r.body, r.err)
	}
	f.wantResults(t, placer.Broken, placer.Complete)
}
