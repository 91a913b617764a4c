package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/wire"
)

func startService(t *testing.T) (*Service, *oracle.Oracle, string) {
	t.Helper()
	o := oracle.New()
	s, err := New(Settings{ID: "s1", Name: "orders", Slots: 1}, o)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, o, server.URL
}

// Guards against an oracle that does not record an execution whose response was
// lost, or does not count the repeated request as a duplicate.
func TestLostResponseAndRetryAreRecorded(t *testing.T) {
	s, o, url := startService(t)
	one := 1
	s.Faults().Apply(fault.Change{LoseAnswers: &one})
	for range 2 {
		r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/orders", strings.NewReader("order "+wire.Directive{Request: "q1", Duration: 2 * time.Millisecond}.String()))
		r.GetBody = nil // keeps the transport from retrying the request by itself
		r.Header.Set(wire.HeaderIdempotencyKey, "k1")
		if res, err := http.DefaultClient.Do(r); err == nil {
			_ = res.Body.Close()
		}
	}
	x := o.Executions()
	if len(x) != 2 || x[0].State != oracle.StateComplete || x[0].CallerRequestID != "q1" || x[0].Units <= 0 {
		t.Fatalf("executions %+v", x)
	}
	if d := o.Duplicates(); d.IdempotencyKeys != 1 || d.CallerRequestIDs != 1 {
		t.Fatalf("duplicates %+v", d)
	}
}

// Guards against a request that stops when its client disconnects. A real order
// service completes the order, so an emulator that stops would hide duplicates.
func TestRequestCompletesAfterClientDisconnects(t *testing.T) {
	_, o, url := startService(t)
	ctx, cancel := context.WithCancel(t.Context())
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, url+"/?"+wire.Directive{Request: "q1", Duration: 50 * time.Millisecond}.String(), nil)
	go func() {
		for len(o.Executions()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if res, err := http.DefaultClient.Do(r); err == nil {
		t.Fatalf("answered with %d", res.StatusCode)
	}
	for o.Executions()[0].State == oracle.StateRunning {
		time.Sleep(time.Millisecond)
	}
	if x := o.Executions(); x[0].State != oracle.StateComplete {
		t.Fatalf("executions %+v", x)
	}
}
