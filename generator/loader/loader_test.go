package loader

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/engine"
	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/service"
)

// stream builds a streamed response as a router sends it.
func stream(events ...string) io.Reader {
	var b strings.Builder
	for _, e := range events {
		switch {
		case strings.HasPrefix(e, "event: "):
			b.WriteString(e + "\n\n")
		default:
			b.WriteString("data: " + e + "\n\n")
		}
	}
	return strings.NewReader(b.String())
}

func token(text string) string { return `{"choices":[{"delta":{"content":"` + text + `"}}]}` }

const ending = `{"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`

// Guards against a check that accepts foreign, short or reordered responses, which
// would invalidate every measurement.
func TestStreamCheckRejectsWrongResponses(t *testing.T) {
	own := `event: outcome` + "\n" + `data: {"outcome":"complete","requestId":"r"}`
	foreign := `event: outcome` + "\n" + `data: {"outcome":"complete","requestId":"s"}`
	for name, test := range map[string]struct {
		events []string
		want   error
	}{
		"whole":          {[]string{token("r:0 "), token("r:1 "), ending, "[DONE]", own}, nil},
		"merged tokens":  {[]string{token("r:0 r:1 "), ending, "[DONE]"}, nil},
		"short":          {[]string{token("r:0 "), ending, "[DONE]"}, ErrWrong},
		"long":           {[]string{token("r:0 "), token("r:1 "), token("r:2 "), ending, "[DONE]"}, ErrWrong},
		"reordered":      {[]string{token("r:1 "), token("r:0 "), ending, "[DONE]"}, ErrWrong},
		"foreign":        {[]string{token("s:0 "), token("s:1 "), ending, "[DONE]"}, ErrWrong},
		"no usage":       {[]string{token("r:0 "), token("r:1 "), "[DONE]"}, ErrWrong},
		"after the end":  {[]string{token("r:0 "), token("r:1 "), ending, "[DONE]", token("r:2 ")}, ErrWrong},
		"foreign result": {[]string{token("r:0 "), token("r:1 "), ending, "[DONE]", foreign}, ErrWrong},
		"cut":            {[]string{token("r:0 "), token("r:1 "), ending}, ErrTruncated},
		"error event":    {[]string{token("r:0 "), "event: error\ndata: {}"}, ErrTruncated},
	} {
		s := streamChecker{request: "r", tokens: 2, start: time.Now(), first: &Histogram{}, between: &Histogram{}}
		if err := s.check(stream(test.events...)); !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}

// outcomeWriter adds the header with the outcome to a response.
type outcomeWriter struct {
	http.ResponseWriter
	started bool
}

func (w *outcomeWriter) WriteHeader(status int) {
	outcome := OutcomeComplete
	if status != http.StatusOK {
		outcome = OutcomeNotRun
	}
	w.Header().Set(headerOutcome, string(outcome))
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *outcomeWriter) Write(b []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController flush the response.
func (w *outcomeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// startRouter starts a minimal router, which strips the path prefix of services and
// states the outcome, and returns its address.
func startRouter(t *testing.T, e, s http.Handler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("/services/orders/", http.StripPrefix("/services/orders", s))
	mux.Handle("/", e)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&outcomeWriter{ResponseWriter: w}, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a load generator that loses requests or whose request ids do not
// reach the oracle.
func TestEveryRequestIsCheckedAndRecorded(t *testing.T) {
	o := oracle.New()
	e, cleanup, err := engine.New(engine.Settings{ID: "e", Model: "m", Slots: 8, TokensPerSecond: 1000, QueueLimit: 100}, o)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	s, err := service.New(service.Settings{ID: "s", Name: "orders", Slots: 8, QueueLimit: 100}, o)
	if err != nil {
		t.Fatal(err)
	}
	router := startRouter(t, e, s)
	kinds := []Kind{
		{Name: "stream", Pool: "m", Frequency: 2, Stream: true, MeanTokens: 5, MaxTokens: 20, PromptWords: 3},
		{Name: "whole", Pool: "m", Frequency: 1, MeanTokens: 5, MaxTokens: 20, PrefixWords: 20},
		{Name: "read", Pool: "orders", Frequency: 1, Service: true, Method: http.MethodGet, Path: "/stock", MeanDuration: time.Millisecond},
		{Name: "write", Pool: "orders", Frequency: 1, Service: true, Method: http.MethodPost, Path: "/orders", Keyed: true, MeanDuration: time.Millisecond},
	}
	unreachable := "127.0.0.1:1"
	// One account is closed-loop (Workers), the other open-loop (Rate).
	l, closeIdle, err := New(Settings{Seed: 1, Accounts: []Account{
		{ID: "closed", Key: "k", Routers: []string{unreachable}, Fallback: []string{router}, Kinds: kinds, Workers: 2, Latency: true},
		{ID: "open", Key: "k", Routers: []string{router}, Kinds: kinds, Rate: 50},
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer closeIdle()
	results := l.Run(t.Context(), 300*time.Millisecond)
	runs := map[string]int{}
	for _, x := range o.Executions() {
		runs[x.CallerRequestID]++
	}
	for _, r := range results {
		// In this test exactly the calls without an idempotency key are repeatable.
		if r.Outcome != OutcomeComplete || r.Wrong != nil || runs[r.ID] != 1 || r.Repeatable == (r.Key != "") {
			t.Errorf("%+v, %d runs", r, runs[r.ID])
		}
	}
	if len(results) == 0 || len(results) != len(o.Executions()) || l.FirstToken.Count() == 0 {
		t.Fatalf("%d results, %d executions, %d first tokens", len(results), len(o.Executions()), l.FirstToken.Count())
	}
}

// Guards against quantiles with an error of more than one bucket.
func TestHistogramQuantile(t *testing.T) {
	var h Histogram
	for i := range 1000 {
		h.Add(time.Duration(i+1) * time.Millisecond)
	}
	for q, want := range map[float64]time.Duration{0.5: 500 * time.Millisecond, 0.95: 950 * time.Millisecond, 1: time.Second} {
		if got := h.Quantile(q); got < want || float64(got) > float64(want)*histogramGrowth {
			t.Errorf("quantile %v: %v, want %v", q, got, want)
		}
	}
}
