package engine

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/wire"
)

// startEngine starts an engine, at a token rate that keeps tests short, and a
// server for it, of which it returns the URL.
func startEngine(t *testing.T, change func(*Settings)) (*Engine, *oracle.Oracle, string) {
	t.Helper()
	s := Settings{ID: "e1", Model: "m", Slots: 2, TokensPerSecond: 500, CacheTokens: 64}
	if change != nil {
		change(&s)
	}
	o := oracle.New()
	e, cleanup, err := New(s, o)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(e)
	t.Cleanup(func() { cleanup(); server.Close() })
	return e, o, server.URL
}

func post(t *testing.T, url, id, directive string, stream bool, header ...string) *http.Response {
	t.Helper()
	body := `{"model":"m","max_tokens":1000,"messages":[{"role":"user","content":"hello ` + directive + `"}]`
	if stream {
		body += `,"stream":true`
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body+"}"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(wire.HeaderRequestID, id)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

func read(t *testing.T, r io.Reader) string {
	t.Helper()
	b, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against responses that lack tokens or carry the ID of another request.
func TestResponseIsCompleteAndCarriesRequestID(t *testing.T) {
	_, o, url := startEngine(t, nil)
	res := post(t, url, "r1", "request=abc&tokens=5", false, wire.HeaderAccount, "acme")
	if body := read(t, res.Body); !strings.Contains(body, wire.Answer("abc", 5)) || res.Header.Get(wire.HeaderRequestID) != "r1" {
		t.Fatalf("body %s, header %v", body, res.Header)
	}
	x := o.Executions()
	if len(x) != 1 || x[0].State != oracle.StateComplete || x[0].CallerRequestID != "abc" || x[0].Account != "acme" || x[0].Units < 5 {
		t.Fatalf("executions %+v", x)
	}
}

// Guards against several tokens in one event: callers measure the time between
// tokens by the events.
func TestStreamHasOneEventPerToken(t *testing.T) {
	_, _, url := startEngine(t, nil)
	body := read(t, post(t, url, "r1", "request=abc&tokens=7", true).Body)
	if n := strings.Count(body, `"content":`); n != 7 || !strings.HasSuffix(body, "data: [DONE]\n\n") || !strings.Contains(body, `"completion_tokens":7`) {
		t.Fatalf("%d tokens in %s", n, body)
	}
}

// Guards against refused requests that run, and against refusals that the client
// cannot tell from other failures.
func TestFullQueueRefusesWithoutRunning(t *testing.T) {
	e, o, url := startEngine(t, func(s *Settings) { s.Slots = 1; s.TokensPerSecond = 10 })
	first := post(t, url, "r1", "request=a&tokens=900", true)
	res := post(t, url, "r2", "request=b&tokens=1", false)
	if res.StatusCode != http.StatusTooManyRequests || res.Header.Get(wire.HeaderRefused) != "true" {
		t.Fatalf("status %d, header %v", res.StatusCode, res.Header)
	}
	_ = first.Body.Close()
	for e.Load().Running != 0 {
		time.Sleep(time.Millisecond)
	}
	if x := o.Executions(); len(x) != 1 || x[0].State != oracle.StateAborted {
		t.Fatalf("executions %+v", x)
	}
}

// Guards against an aborted stream that looks complete.
func TestRestartBreaksStreams(t *testing.T) {
	e, o, url := startEngine(t, nil)
	res := post(t, url, "r1", "request=a&tokens=900", true)
	if _, err := bufio.NewReader(res.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	e.restart()
	if b, err := io.ReadAll(res.Body); err == nil || strings.Contains(string(b), "[DONE]") {
		t.Fatalf("the aborted stream ended without an error: %s", b)
	}
	if x := o.Executions(); x[0].State != oracle.StateAborted || e.Load().Incarnation != 2 {
		t.Fatalf("executions %+v, load %+v", x, e.Load())
	}
}

// Guards against a cache that reports uncached tokens as cached or exceeds its
// capacity.
func TestCacheCountsWholeBlocksWithinCapacity(t *testing.T) {
	c := newCache(2*blockTokens, 0)
	words := strings.Fields(strings.Repeat("w ", 3*blockTokens+5))
	if p := c.lookupAndStore(newPrompt(words[:2*blockTokens])); p.cached != 0 {
		t.Fatalf("cached %d on first use", p.cached)
	}
	if p := c.lookupAndStore(newPrompt(words[:2*blockTokens+3])); p.cached != 2*blockTokens {
		t.Fatalf("cached %d on second use", p.cached)
	}
	c.lookupAndStore(newPrompt(words))
	if c.tokens() != 2*blockTokens {
		t.Fatalf("cache holds %d tokens", c.tokens())
	}
}
