package gateway

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// newBusyMonitor returns a monitor of a host that refuses a share of its requests.
func newBusyMonitor(refusedShare float64) *overloadMonitor {
	m := newOverloadMonitor(0, 0, func() time.Duration { return 0 }, slog.New(slog.DiscardHandler))
	m.shareBits.Store(math.Float64bits(refusedShare))
	return m
}

// Load: ten times the requests that a host can serve, each on a new connection. Guards against
// requests that are refused after their connection was admitted: the host reads ten requests
// to serve one, and serves a hundredth instead of a tenth of what it is offered.
func TestRequestIsAdmittedWithItsConnection(t *testing.T) {
	m := newBusyMonitor(0.9)
	kept := 0
	var served atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if m.Admit(r, 1) {
			served.Add(1)
		}
	}))
	server.Config.ConnContext = withAdmission
	server.Start()
	defer server.Close()
	for range 200 {
		if m.shedConnection() != keepConnection {
			continue
		}
		kept++
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	if kept < 15 || kept > 25 || served.Load() != int64(kept) {
		t.Errorf("%d of 200 connections were kept and %d of their requests served, want 20 and all of these", kept, served.Load())
	}
}

// Guards against callers that get past the refused share by keeping a connection: only its
// first request, and only soon after the connection, is admitted with it.
func TestLaterRequestsOfAConnectionAreDecidedAnew(t *testing.T) {
	m := newBusyMonitor(1)
	request := func(ctx context.Context) *http.Request {
		return httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
	}
	ctx := withAdmission(t.Context(), &net.TCPConn{})
	if !m.Admit(request(ctx), 1) {
		t.Error("the first request was refused")
	}
	if m.Admit(request(ctx), 1) {
		t.Error("the second request was admitted")
	}
	old := context.WithValue(t.Context(), admissionKey{}, &connectionAdmission{accepted: time.Now().Add(-2 * admissionTime)})
	if m.Admit(request(old), 1) {
		t.Error("the first request of an old connection was admitted")
	}
	m.maxActive = 4
	if m.Admit(request(withAdmission(t.Context(), &net.TCPConn{})), 5) {
		t.Error("a request beyond the limit was admitted")
	}
}
