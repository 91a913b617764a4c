package receiver_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/tallier"
	"monsoondeck.example/gateway/versioner"
	"monsoondeck.example/limiter"
)

// benchClient is a receiver.TargetClient that returns a short response to each request.
type benchClient struct{ body []byte }

func (c benchClient) Do(context.Context, courier.Target, courier.Request) (*courier.Response, error) {
	return &courier.Response{Status: http.StatusOK, Header: http.Header{"Signed": {"s"}}, Length: int64(len(c.body)), Body: io.NopCloser(bytes.NewReader(c.body))}, nil
}

// discardWriter is an http.ResponseWriter without a connection.
type discardWriter struct {
	header http.Header
	status int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(status int)      { w.status = status }

// BenchmarkServe measures one request with the bodies of ordinary requests, and of large
// ones.
func BenchmarkServe(b *testing.B) {
	for name, size := range map[string]int{"12KB": 12 << 10, "1MB": 1 << 20} {
		for _, chunked := range []bool{false, true} {
			label := name
			if chunked {
				label += "Chunked"
			}
			b.Run(label, func(b *testing.B) {
				f := newBenchFixture(b, size)
				h := receiver.New(f)
				body := bytes.Repeat([]byte("x"), size)
				b.ReportAllocs()
				for b.Loop() {
					r := httptest.NewRequest(http.MethodPost, "/safe/1", bytes.NewReader(body))
					r.Host = "h.example"
					r.Header.Set("Key", "k")
					if chunked {
						r.ContentLength = -1
					}
					w := &discardWriter{header: http.Header{}}
					if h.ServeHTTP(w, r); w.status != http.StatusOK {
						b.Fatal("status ", w.status)
					}
				}
			})
		}
	}
}

// newBenchFixture returns the options of a receiver that accepts bodies of the size and
// gets one response for each.
func newBenchFixture(b *testing.B, size int) receiver.Options {
	b.Helper()
	config := resolver.New(resolver.Content{
		Version: 1,
		Routes: []resolver.Route{{
			Name: "safe", Host: "h.example", Prefix: "/safe/", MaxAttempts: 2, Destinations: []resolver.Destination{{Service: "s", Weight: 1}},
			Timeout: time.Minute, Objective: time.Minute,
		}},
		Services: []resolver.Service{{Name: "s"}},
		Accounts: []resolver.Account{{Name: "forge", Keys: []string{"k"}}},
		Limits:   resolver.Limits{BodyBytes: size},
	})
	return receiver.Options{
		StreamOrigins: &streamOrigins{began: map[versioner.Stream]versioner.Origin{}},
		Protocol:      protocol{}, Permits: &discardPermits{}, Configs: configs{&config}, TargetClient: benchClient{bytes.Repeat([]byte("y"), 2<<10)},
		RetryBudget: retryBudget{true}, ShutdownState: shutdownState{}, LoadShedder: loadShedder{}, Tally: tallier.New(8), Arrived: func(*http.Request) time.Time { return time.Now() }, CallerDisconnected: func(*http.Request) bool { return false }, ResetOnClose: func(*http.Request) {},
		Memory: limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 1 << 30}), Clock: clock, ChargeHeader: func(*http.Request, int, int) error { return nil }, Logger: slog.New(slog.DiscardHandler),
		Observe: func(receiver.Observation) {},
	}
}

// discardPermits is a permitSource that keeps no results.
type discardPermits struct{}

func (*discardPermits) Wait(context.Context, receiver.Demand) (receiver.Permit, error) {
	p := &discardPermit{}
	p.decision.Choice.Expected = time.Minute
	return p, nil
}

type discardPermit struct{ permit }

func (*discardPermit) ObserveLimit(placer.RequestLimit) {}
func (*discardPermit) End(placer.Result)                {}
