package receiver_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
)

// slowDialer is a receiver.TargetClient for which it takes a while until a request can be
// written.
type slowDialer struct {
	receiver.TargetClient
	// dial runs before the request can be written. It may return an error of Do.
	dial func(ctx context.Context) error
}

func (d slowDialer) Do(ctx context.Context, t courier.Target, r courier.Request) (*courier.Response, error) {
	if err := d.dial(ctx); err != nil {
		return nil, err
	}
	return d.TargetClient.Do(ctx, t, r)
}

// counts returns the number of requests that were written and of those for a permit. Unlike the
// fields, they can be read while a handler may still run.
func (f *fixture) counts() (written, demands int) {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	f.permitSource.mutex.Lock()
	defer f.permitSource.mutex.Unlock()
	return len(f.client.requests), len(f.permitSource.demands)
}

// Guards against GONE: a request is written to its target although its caller has left, or its
// time has run out, since the target was chosen: while a connection was opened, or while other
// bodies were written.
func TestRequestThatIsNoLongerWantedIsNotWritten(t *testing.T) {
	const timeLeft = 500 * time.Millisecond
	answer := reply{status: 200, header: signed, body: "ok"}
	for _, tc := range []struct {
		name string
		// leaves is set if the caller closes its connection meanwhile, else too little time is
		// left afterwards.
		leaves bool
	}{{"caller left", true}, {"too little time is left", false}} {
		for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"} {
			t.Run(tc.name+path, func(t *testing.T) {
				t.Parallel()
				var left atomic.Bool
				var arrived time.Time
				f := newFixture(t, []reply{answer, answer}, func(o *receiver.Options) {
					o.CallerDisconnected = func(*http.Request) bool { return left.Load() }
					o.TargetClient = slowDialer{o.TargetClient, func(context.Context) error {
						if left.Store(tc.leaves); !tc.leaves {
							time.Sleep(time.Until(arrived.Add(time.Minute - 10*time.Millisecond)))
						}
						return nil
					}}
					if !tc.leaves {
						o.Arrived = func(*http.Request) time.Time {
							arrived = time.Now().Add(timeLeft - time.Minute)
							return arrived
						}
					}
				})
				r := f.postDefault(t, path)
				if tc.leaves && r.err == nil || !tc.leaves && r.status != http.StatusServiceUnavailable {
					t.Errorf("status %d, body %q, error %v", r.status, r.body, r.err)
				}
				written, demands := f.counts()
				if written != 0 {
					t.Errorf("%d requests were written", written)
				}
				if demands != 1 {
					t.Errorf("the request asked for a target %d times, want once", demands)
				}
				f.wantResults(t, placer.Unsent)
			})
		}
	}
}

// Guards against a target that counts as unreachable because a caller left, or its time ran out,
// while a connection to it was being opened.
func TestCancelledDialSaysNothingAboutTheTarget(t *testing.T) {
	for _, path := range []string{"/safe/1", "/stream/1"} {
		ctx, leave := context.WithCancel(context.Background())
		f := newFixture(t, nil, func(o *receiver.Options) {
			o.TargetClient = slowDialer{o.TargetClient, func(ctx context.Context) error {
				leave()
				<-ctx.Done()
				return courier.ErrNotSent
			}}
		})
		if r := f.post(ctx, t, path, "k", "body"); r.err == nil {
			t.Errorf("%s: status %d", path, r.status)
		}
		<-f.permitSource.ended
		f.wantResults(t, placer.Unsent)
	}
}
