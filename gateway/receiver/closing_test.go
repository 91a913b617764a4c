package receiver_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/platform"
)

// platformHeaders is the minimal protocol with the rule of the platform for the header
// fields of responses.
type platformHeaders struct{ protocol }

func (platformHeaders) CopyResponseHeader(to, from http.Header) {
	platform.Protocol{}.CopyResponseHeader(to, from)
}

// Guards against connections that callers keep using while the daemon stops or its host is
// overloaded: the header of the target's response must not replace the daemon's own
// Connection field.
func TestConnectionsAreClosedDuringAStop(t *testing.T) {
	closing := map[string]func(*receiver.Options){
		"stop": func(o *receiver.Options) {
			o.ShutdownState = shutdownState{since: time.Second, left: 10 * time.Minute, stopping: true}
		},
		"overload": func(o *receiver.Options) { o.LoadShedder = loadShedder{closeConnections: true} },
		"neither":  func(*receiver.Options) {},
	}
	replies := map[string]reply{
		"/once/1":   {status: 200, header: signed + ";Connection=keep-alive", body: "ok"},
		"/safe/1":   {status: 200, header: signed, body: strings.Repeat("x", 300<<10)},
		"/stream/1": {status: 200, header: signed + ";Connection=keep-alive", body: "id: 1\ndata: a\n\n"},
	}
	for name, change := range closing {
		for path, r := range replies {
			f := newFixture(t, []reply{r}, func(o *receiver.Options) {
				o.Protocol = platformHeaders{}
				change(o)
			})
			got := f.post(context.Background(), t, path, "k", "body")
			if got.status != 200 || got.err != nil || got.closed != (name != "neither") {
				t.Errorf("%s, %s: status %d, error %v, closes the connection: %t", name, path, got.status, got.err, got.closed)
			}
		}
	}
}

// Guards against callers that keep using a connection because their request began before the
// stop signal: each response that begins after the signal closes its connection.
func TestResponsesDuringAStopCloseTheirConnection(t *testing.T) {
	for path, r := range map[string]reply{
		"/once/1":   {status: 200, header: signed, body: "ok", delimited: true},
		"/safe/1":   {status: 200, header: signed, body: strings.Repeat("x", 300<<10), delimited: true},
		"/stream/1": {status: 200, header: signed, body: "id: 1\ndata: a\n\n", delimited: true},
		"/new/1":    {err: errReset},
	} {
		for _, stops := range []bool{false, true} {
			state := &stopSwitch{}
			if stops {
				state.after = shutdownState{since: time.Second, left: 10 * time.Minute, stopping: true}
			}
			f := newFixture(t, []reply{r}, func(o *receiver.Options) { o.ShutdownState, o.Protocol = state, platformHeaders{} })
			f.permitSource.onWait = func(int) { state.advanced.Store(true) }
			if got := f.postDefault(t, path); got.err != nil || got.closed != stops {
				t.Errorf("%s, stops: %t: status %d, error %v, closes the connection: %t", path, stops, got.status, got.err, got.closed)
			}
		}
	}
}
