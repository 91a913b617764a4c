package fault

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/emulator/wire"
)

func startServer(t *testing.T) (*Faults, string) {
	t.Helper()
	f := New()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/control" {
			f.ServeControl(w, r)
			return
		}
		if f.Gate(w, r) {
			w.WriteHeader(http.StatusNoContent)
		}
	}))
	t.Cleanup(server.Close)
	return f, server.URL
}

func postControl(t *testing.T, url, body string, want int) {
	t.Helper()
	res, err := http.Post(url+"/v1/control", "application/json", strings.NewReader(body))
	if err != nil || res.StatusCode != want {
		t.Fatalf("%s: %v %v", body, res, err)
	}
	_ = res.Body.Close()
}

// Guards against kinds of outages that clients cannot tell apart, or that do not end.
func TestOutages(t *testing.T) {
	_, url := startServer(t)
	// On a reused connection the transport would retry an aborted request.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	postControl(t, url, `{"outage":"refuse"}`, http.StatusNoContent)
	res, err := client.Get(url)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(wire.HeaderRefused) != "true" {
		t.Fatalf("refuse: %v %v", res, err)
	}
	_ = res.Body.Close()
	postControl(t, url, `{"outage":"abort"}`, http.StatusNoContent)
	if res, err := client.Get(url); err == nil {
		t.Fatalf("abort: %v", res)
	}
	postControl(t, url, `{"outage":"hang"}`, http.StatusNoContent)
	done := make(chan error)
	go func() { _, err := client.Get(url); done <- err }()
	select {
	case err := <-done:
		t.Fatalf("hang: the request ended during the outage: %v", err)
	case <-time.After(5 * hangPollInterval):
	}
	postControl(t, url, `{"outage":"none"}`, http.StatusNoContent)
	if err := <-done; err == nil {
		t.Fatal("hang: a request made during the outage got a response")
	}
	if res, err = client.Get(url); err != nil || res.StatusCode != http.StatusNoContent {
		t.Fatalf("none: %v %v", res, err)
	}
	_ = res.Body.Close()
}

// Guards against faults that affect more requests than asked for, changes that reset
// other faults, and misspelt names of faults that are ignored.
func TestControlChangesOnlyWhatItNames(t *testing.T) {
	f, url := startServer(t)
	postControl(t, url, `{"loseAnswers":2,"slowdown":3}`, http.StatusNoContent)
	postControl(t, url, `{"foreignIds":1}`, http.StatusNoContent)
	postControl(t, url, `{"looseAnswers":9}`, http.StatusBadRequest)
	lost := []bool{f.TakeLostAnswer(), f.TakeLostAnswer(), f.TakeLostAnswer()}
	if !lost[0] || !lost[1] || lost[2] || f.Slowdown() != 3 || !f.TakeForeignID() || f.TakeForeignID() {
		t.Fatalf("lost %v, slowdown %v", lost, f.Slowdown())
	}
}
