package receiver_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
)

// stallingBody is a body that sends nothing until it is closed.
type stallingBody struct{ closed chan struct{} }

func (b stallingBody) Read([]byte) (int, error) { <-b.closed; return 0, courier.ErrBroken }
func (b stallingBody) Close() error             { close(b.closed); return nil }

// refusingClient is a receiver.TargetClient whose first target refuses the request with a body
// that never arrives.
type refusingClient struct {
	*targetClient
	refused bool
}

func (c *refusingClient) Do(ctx context.Context, t courier.Target, r courier.Request) (*courier.Response, error) {
	if c.refused {
		return c.targetClient.Do(ctx, t, r)
	}
	c.refused = true
	body := stallingBody{make(chan struct{})}
	context.AfterFunc(ctx, func() { _ = body.Close() }) // as the courier closes the connection
	return &courier.Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Run": {"1"}}, Length: 5, Body: io.NopCloser(body)}, nil
}

// Guards against a request that waits for the rest of a refusal until its time is over,
// although another target could run it.
func TestRefusalWhoseBodyStallsDelaysNoRequest(t *testing.T) {
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
		f := newFixture(t, []reply{{status: 200, header: signed, body: "id: 1\ndata: ok\n\n", delimited: true}}, func(o *receiver.Options) {
			o.TargetClient = &refusingClient{targetClient: o.TargetClient.(*targetClient)}
		})
		f.permitSource.expected = 10 * time.Minute                               // no attempt is cancelled as stalled
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second) // below the time limit of the route
		r := f.post(ctx, t, path, "k", "body")
		cancel()
		if r.status != http.StatusOK || r.err != nil {
			t.Errorf("%s: status %d, error %v", path, r.status, r.err)
		}
		f.wantResults(t, placer.Refused, placer.Complete)
	}
}
