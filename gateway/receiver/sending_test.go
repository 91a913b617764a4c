package receiver_test

import (
	"net/http"
	"slices"
	"testing"

	"monsoondeck.example/gateway/courier"
)

// Guards against a request that waits several times for the same target, which reads its
// bodies slowly, while others could serve it.
func TestTargetThatReadsSlowlyIsExcluded(t *testing.T) {
	f := newFixture(t, []reply{{err: courier.ErrSendingFull}, {status: http.StatusOK, header: signed, body: "ok"}}, nil)
	if r := f.postDefault(t, "/safe/1"); r.status != http.StatusOK {
		t.Fatalf("status %d, want 200", r.status)
	}
	if excluded := f.permitSource.demands[1].Request.Excluded; !slices.Equal(excluded, []string{"t0"}) {
		t.Errorf("the second attempt excludes %v, want t0", excluded)
	}
}
