package server_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/emulator/storer"
	"monsoondeck.example/platform/wire"
)

func startServer(t *testing.T, events int) (*server.Server, *storer.Store, string) {
	t.Helper()
	l := httptest.NewUnstartedServer(nil)
	address := l.Listener.Addr().String()
	l.Close()
	store := storer.New()
	s := server.New(server.Options{Name: "t", Service: "s", Address: address, Advertised: address, Slots: 1, Events: events, EventInterval: time.Millisecond, Registry: store})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Crash)
	return s, store, address
}

func sendAttempt(t *testing.T, address, expect, after string) (int, http.Header, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/p/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(wire.FieldAttempt, "1")
	r.Header.Set(wire.FieldExpectTarget, expect)
	if after != "" {
		r.Header.Set(wire.FieldLastEvent, after)
	}
	// Every call uses a new connection: on a reused one, the extra response to the
	// call before would be taken for the response to this call.
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(b), err
}

// Guards against an emulated target that runs requests meant for another instance,
// or does not record a run.
func TestServerRecordsRuns(t *testing.T) {
	s, store, address := startServer(t, 3)
	if keys := store.Keys(wire.TargetsTable); len(keys) != 1 || keys[0] != s.InstanceID() {
		t.Fatalf("entries %v", keys)
	}
	status, header, _, err := sendAttempt(t, address, "other", "")
	if err != nil || status != http.StatusMisdirectedRequest || header.Get(wire.FieldNotRun) == "" || len(s.Runs()) != 0 {
		t.Fatalf("%d %v %v", status, header, err)
	}
	status, header, body, err := sendAttempt(t, address, s.InstanceID(), "")
	if err != nil || status != 200 || header.Get(wire.FieldSignature) == "" || body != strings.Join(server.ResponseParts("1", 3), "") {
		t.Fatalf("%d %v %q %v", status, header, body, err)
	}
	if _, _, body, _ = sendAttempt(t, address, s.InstanceID(), "1"); body != server.ResponseParts("1", 3)[2] {
		t.Errorf("resumed after event 1 with %q", body)
	}
	if runs := s.Runs(); len(runs) != 2 || !runs[0].Complete || runs[1].After != "1" {
		t.Errorf("runs %+v", runs)
	}
	old := s.InstanceID()
	s.DeregisterAndStop()
	if err := s.Start(); err != nil || s.InstanceID() == old || len(store.Keys(wire.TargetsTable)) != 1 {
		t.Errorf("%v, instance %s after %s, entries %v", err, s.InstanceID(), old, store.Keys(wire.TargetsTable))
	}
}

// Guards against a response that looks complete although it is not: a caller that
// closes its half of the connection cancels the request, and the handler stops in
// the middle of the response.
func TestHalfClosedConnectionBreaksResponse(t *testing.T) {
	s, _, address := startServer(t, 400)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "POST /p/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Expect-Instance: %s\r\nContent-Length: 1\r\n\r\nx", s.InstanceID()); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err == nil && strings.HasSuffix(string(b), "\r\n0\r\n\r\n") {
		t.Error("the response ends as if it were complete")
	}
}

// Guards against kinds of faults that have no effect.
func TestFaultsTakeEffect(t *testing.T) {
	s, _, address := startServer(t, 4)
	whole := strings.Join(server.ResponseParts("1", 4), "")
	for _, kind := range append(server.FaultKinds(), server.FaultTornHead, server.FaultSilent) {
		if kind == server.FaultHang {
			continue // ends only when the caller disconnects
		}
		for s.ActiveRequests() > 0 { // the previous run may end after the caller has read its response
			time.Sleep(time.Millisecond)
		}
		s.SetFault(server.Fault{Kind: kind, Share: 1, Factor: 2})
		status, header, body, err := sendAttempt(t, address, s.InstanceID(), "")
		if kind == server.FaultTornHead && err == nil {
			t.Errorf("%s: whole head %d %v", kind, status, header)
		}
		intact := err == nil && status == 200 && body == whole && header.Get(wire.FieldAttempt) == "1"
		// Slow responses are intact, and a second one is visible only on the connection.
		if intact != (kind == server.FaultSlow || kind == server.FaultSilent || kind == server.FaultExtra) {
			t.Errorf("%s: %d %v %q %v", kind, status, header, body, err)
		}
	}
	for s.ActiveRequests() > 0 { // does not end if a fault leaves a run unfinished
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request that was meant to crash its target and does not, or that
// crashes it again when the stream resumes elsewhere.
func TestFaultOfPath(t *testing.T) {
	s, _, address := startServer(t, 4)
	s.Crash()
	crashing := 0
	s = server.New(server.Options{
		Name: "t", Service: "s", Address: address, Advertised: address, Slots: 1, Events: 4, Registry: storer.New(),
		FaultFor: func(string) server.Fault { return server.Fault{Kind: server.FaultCrash} }, Crashing: func() { crashing++ },
	})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Crash)
	if status, _, _, err := sendAttempt(t, address, s.InstanceID(), "1"); err != nil || status != 200 || crashing != 0 {
		t.Fatalf("resumed: %d %v, %d crashes", status, err, crashing)
	}
	status, _, _, err := sendAttempt(t, address, s.InstanceID(), "")
	if runs := s.Runs(); err == nil || s.Running() || crashing != 1 || !runs[1].Lost || runs[1].Fault != server.FaultCrash {
		t.Errorf("%d %v, %d crashes, running %t, runs %+v", status, err, crashing, s.Running(), runs)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		_ = c.Close()
		t.Error("the crashed server accepts connections")
	}
}

// Guards against a server that cannot start again at its address, because a child
// process between fork and exec still holds a copy of the closed listener.
func TestRestartWhileProcessesAreStarted(t *testing.T) {
	s, _, _ := startServer(t, 0)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				_ = exec.Command("true").Run()
			}
		}
	}()
	defer func() { close(stop); <-stopped }()
	for i := range 500 {
		s.Crash()
		if err := s.Start(); err != nil {
			t.Fatalf("start %d: %v", i, err)
		}
	}
}

// Guards against runs whose events are not counted, so that a check of the versions of a
// stream does not find the run that began it.
func TestEventsOfRunsAreCounted(t *testing.T) {
	for kind, want := range map[server.Kind]int{server.FaultNone: 4, server.FaultExtra: 4, server.FaultUnframed: 2, server.FaultTruncate: 2, server.FaultGarbage: 0, server.FaultError: 0} {
		t.Run("fault "+string(kind), func(t *testing.T) {
			s, _, address := startServer(t, 4)
			s.SetFault(server.Fault{Kind: kind, Share: 1})
			_, _, _, _ = sendAttempt(t, address, s.InstanceID(), "") // faults end it in many ways
			if runs := s.Runs(); len(runs) != 1 || runs[0].Events != want {
				t.Errorf("runs %+v, want one with %d events", runs, want)
			}
		})
	}
}
