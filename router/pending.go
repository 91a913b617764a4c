package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRequestTimeout is how long a stop waits for the first requests of accepted
	// connections. It equals the time after which http.Server.Shutdown treats a
	// connection without a request as idle.
	firstRequestTimeout      = 5 * time.Second
	firstRequestPollInterval = 2 * time.Millisecond
	idlePollInterval         = 20 * time.Millisecond
)

// idleGracePeriod is how long a connection must have been idle before a stop
// closes it. A response that began before the stop has no Connection: close
// header, so its caller may reuse the connection at once.
const idleGracePeriod = 3 * time.Second

// connectionTracker tracks the open connections of a server: how many have not sent
// a request yet, and since when the others have been idle. Once Shutdown has been
// called, http.Server closes a connection on which it reads another request, without
// a response. A graceful stop therefore waits for both before it calls Shutdown.
type connectionTracker struct {
	// awaitingFirstRequest is the number of open connections whose first request has
	// not reached the handler.
	awaitingFirstRequest atomic.Int64
	// connections maps each open net.Conn to its *trackedConn.
	connections sync.Map
}

// trackedConn is the state of one open connection.
type trackedConn struct {
	// requestSeen is set when the first request has reached the handler or the
	// connection has ended. awaitingFirstRequest does not count the connection then.
	requestSeen atomic.Bool
	// idleSince is the time in Unix nanoseconds at which the last request ended; 0
	// before the first request ends and while a request is in flight.
	idleSince atomic.Int64
}

// connectionKey is the context key of the trackedConn of a request.
type connectionKey struct{}

// attach makes the server report its connections to the tracker.
func (t *connectionTracker) attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		tc := &trackedConn{}
		t.awaitingFirstRequest.Add(1)
		t.connections.Store(c, tc)
		return context.WithValue(ctx, connectionKey{}, tc)
	}
	s.ConnState = t.stateChanged
}

// stateChanged is the http.Server.ConnState hook.
func (t *connectionTracker) stateChanged(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		if tc, ok := t.connections.LoadAndDelete(c); ok {
			t.markRequestSeen(tc.(*trackedConn))
		}
		return
	}
	tc, ok := t.connections.Load(c)
	switch {
	case !ok:
	case state == http.StateIdle:
		tc.(*trackedConn).idleSince.Store(time.Now().UnixNano())
	default:
		tc.(*trackedConn).idleSince.Store(0)
	}
}

// requestStarted is called when a request has reached the handler.
func (t *connectionTracker) requestStarted(r *http.Request) {
	if tc, ok := r.Context().Value(connectionKey{}).(*trackedConn); ok {
		t.markRequestSeen(tc)
	}
}

// markRequestSeen sets requestSeen and stops counting the connection in
// awaitingFirstRequest.
func (t *connectionTracker) markRequestSeen(tc *trackedConn) {
	if !tc.requestSeen.Swap(true) {
		t.awaitingFirstRequest.Add(-1)
	}
}

// waitForFirstRequests waits until every open connection has sent a request, at
// most firstRequestTimeout.
func (t *connectionTracker) waitForFirstRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstRequestTimeout)
	defer cancel()
	ticker := time.NewTicker(firstRequestPollInterval)
	defer ticker.Stop()
	for t.awaitingFirstRequest.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// allIdle reports whether no request is in flight and every connection has been
// idle for idleGracePeriod. Connections that have never sent a request are ignored.
func (t *connectionTracker) allIdle() bool {
	idleBefore := time.Now().Add(-idleGracePeriod).UnixNano()
	idle := true
	t.connections.Range(func(_, value any) bool {
		tc := value.(*trackedConn)
		idleSince := tc.idleSince.Load()
		idle = !tc.requestSeen.Load() || idleSince != 0 && idleSince <= idleBefore
		return idle
	})
	return idle
}

// waitUntilIdle waits until allIdle reports true or the context ends.
func (t *connectionTracker) waitUntilIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !t.allIdle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
