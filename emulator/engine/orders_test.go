package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/emulator/weights"
)

func sendOrder(t *testing.T, url, body string) int {
	t.Helper()
	res, err := http.Post(url+"/v1/orders", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// Guards against an engine that accepts an old fencing token, so that an owner that
// was paused overrides its successor, and against one that refuses old tokens
// although it is configured to ignore them.
func TestOldFencingTokenIsRefusedOrIgnored(t *testing.T) {
	for ignore, want := range map[bool]int{false: http.StatusConflict, true: http.StatusAccepted} {
		e, _, url := startEngine(t, func(s *Settings) { s.IgnoreFence = ignore })
		sendOrder(t, url, `{"fence":7,"order":"role","role":"standby"}`)
		if got := sendOrder(t, url, `{"fence":6,"order":"role","role":"serve"}`); got != want {
			t.Errorf("ignore %v: status %d, want %d", ignore, got, want)
		}
		if res := post(t, url, "r1", "tokens=1", false); (res.StatusCode == http.StatusOK) != ignore {
			t.Errorf("ignore %v: status %d from an engine in role %s", ignore, res.StatusCode, e.Load().Role)
		}
	}
}

// Guards against load reports that lack the models being loaded or the fence: the
// owner then cannot tell a load in progress from a lost order, or which fencing
// tokens the engine refuses.
func TestLoadReportHasLoadingModelsAndFence(t *testing.T) {
	store := weights.New(weights.Settings{LoadTime: time.Hour})
	e, _, url := startEngine(t, func(s *Settings) { s.Weights = store })
	sendOrder(t, url, `{"fence":4,"order":"load","model":"n"}`)
	if l := e.Load(); strings.Join(l.Loading, " ") != "n" || strings.Join(l.Models, " ") != "m" || l.Fence != 4 || !l.RefusesOldFence {
		t.Fatalf("report %+v", l)
	}
}

// Guards against a load beyond the rate limit of the weight store that is reported
// as done.
func TestRateLimitedLoadLeavesModelUnloaded(t *testing.T) {
	store := weights.New(weights.Settings{LoadsPerSecond: 1e-6, LoadTime: time.Millisecond})
	e, _, url := startEngine(t, func(s *Settings) { s.Weights = store })
	for _, m := range []string{"first", "second"} {
		sendOrder(t, url, `{"fence":1,"order":"load","model":"`+m+`"}`)
		for loading := true; loading; time.Sleep(time.Millisecond) {
			e.mu.Lock()
			loaded, known := e.orders.models[m]
			loading = known && !loaded
			e.mu.Unlock()
		}
	}
	if got := strings.Join(e.Load().Models, " "); got != "first m" {
		t.Fatalf("loaded models: %s", got)
	}
}

// Guards against load reports that are more recent than LoadLag.
func TestLoadReportsLag(t *testing.T) {
	e, _, url := startEngine(t, func(s *Settings) { s.LoadLag = time.Hour; s.TokensPerSecond = 1 })
	stream := post(t, url, "r1", "tokens=9", true)
	defer func() { _ = stream.Body.Close() }()
	if e.Load().Running != 1 || e.reportedLoad(time.Now()).Running != 0 {
		t.Fatalf("load %+v, reported %+v", e.Load(), e.reportedLoad(time.Now()))
	}
	if got := e.reportedLoad(time.Now().Add(2 * time.Hour)); got.Running != 1 {
		t.Fatalf("reported after the lag: %+v", got)
	}
}

// Guards against dropped events that leave no gap in the sequence numbers, and
// against events that become visible before the lag.
func TestCacheEventsHaveGapsAndLag(t *testing.T) {
	c, now := newCache(64*blockTokens, 3), time.Now()
	for i := range 6 {
		c.store(uint64(i))
	}
	got, _ := json.Marshal(c.log.after(1, now.Add(time.Minute), time.Second))
	if want := `[{"sequence":2,"kind":"stored","block":"1"},{"sequence":4,"kind":"stored","block":"3"},{"sequence":5,"kind":"stored","block":"4"}]`; string(got) != want {
		t.Fatalf("events %s", got)
	}
	if early := c.log.after(0, now, time.Second); len(early) != 0 {
		t.Fatalf("events before the lag: %+v", early)
	}
}
