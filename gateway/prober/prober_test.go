package prober_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/prober"
	"monsoondeck.example/reserver"
)

// protocol names targets in the field Instance.
type protocol struct{}

func (protocol) HealthCheckHeader(id string) http.Header { return http.Header{"Expect-Instance": {id}} }

func (protocol) InspectHealth(id string, _ int, h http.Header) courier.Match {
	switch h.Get("Instance") {
	case id:
		return courier.Own
	case "":
		return courier.Doubtful
	}
	return courier.Foreign
}

// serve answers health checks with the instance at the address until the returned function
// is called.
func serve(t testing.TB, address string, handler http.HandlerFunc) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(l) }() // returns when the server is closed
	closeServer := func() {
		_ = l.Close() // Serve may not have got it yet
		_ = s.Close()
	}
	t.Cleanup(closeServer)
	return l.Addr().String(), closeServer
}

// reserve returns an address that no other test takes while nothing listens there.
func reserve(t testing.TB) string {
	t.Helper()
	addresses, release, err := reserver.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addresses[0]
}

func instance(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance", id) }
}

// newProber returns a prober with a timeout that only a target without an answer reaches.
func newProber(t testing.TB, timeout time.Duration) (*prober.Prober, *courier.Client) {
	t.Helper()
	c, closeIdle := courier.New()
	t.Cleanup(closeIdle)
	return prober.New(prober.Options{Client: c, Protocol: protocol{}, Timeout: timeout}), c
}

const (
	longTimeout = time.Minute
	healthPath  = "/health"
)

// Guards against taking the end of a target for the end of its response, and against taking
// a sound target for gone.
func TestGone(t *testing.T) {
	for name, tc := range map[string]struct {
		// start returns the address of the target with the ID "i-1".
		start   func(t *testing.T) string
		path    string
		timeout time.Duration
		want    bool
	}{
		"runs": {func(t *testing.T) string {
			address, _ := serve(t, "127.0.0.1:0", instance("i-1"))
			return address
		}, healthPath, longTimeout, false},
		"refuses": {func(t *testing.T) string {
			return reserve(t)
		}, healthPath, longTimeout, true},
		"was restarted": {func(t *testing.T) string {
			address, end := serve(t, reserve(t), instance("i-1"))
			end()
			_, _ = serve(t, address, instance("i-2"))
			return address
		}, healthPath, longTimeout, true},
		"names no instance": {func(t *testing.T) string {
			address, _ := serve(t, "127.0.0.1:0", instance(""))
			return address
		}, healthPath, longTimeout, false},
		"does not answer": {func(t *testing.T) string {
			address, _ := serve(t, "127.0.0.1:0", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			return address
		}, healthPath, 50 * time.Millisecond, false},
		"answers without end": {func(t *testing.T) string {
			address, _ := serve(t, "127.0.0.1:0", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Instance", "i-1")
				for r.Context().Err() == nil {
					_, _ = w.Write(make([]byte, 4<<10))
				}
			})
			return address
		}, healthPath, longTimeout, false},
		"sends no HTTP": {func(t *testing.T) string { return rawTarget(t, "hello\r\n\r\n") }, healthPath, longTimeout, false},
		"closes every connection": {func(t *testing.T) string {
			return rawTarget(t, "")
		}, healthPath, 50 * time.Millisecond, false},
		"has no health check, runs": {func(t *testing.T) string {
			address, _ := serve(t, "127.0.0.1:0", instance("i-1"))
			return address
		}, "", longTimeout, false},
		"has no health check, refuses": {func(t *testing.T) string {
			return reserve(t)
		}, "", longTimeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, _ := newProber(t, tc.timeout)
			target := courier.Target{ID: "i-1", Address: tc.start(t)}
			if got := p.Gone(context.Background(), target, tc.path); got != tc.want {
				t.Errorf("gone: %t, want %t", got, tc.want)
			}
		})
	}
}

// rawTarget accepts connections, answers each request with the text and closes them.
func rawTarget(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a check that reaches the listener of a killed process, which the kernel
// closes after the connections: the connection then waits for a process that is gone.
func TestTargetThatIsEndingIsGone(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, c := newProber(t, longTimeout)
	gone := make(chan bool)
	go func() {
		gone <- p.Gone(context.Background(), courier.Target{ID: "i-1", Address: l.Addr().String()}, healthPath)
	}()
	for c.Stats.Dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the health check waits meanwhile in the queue of the listener
	_ = l.Close()
	if !<-gone {
		t.Error("the target counts as running")
	}
}

// heldClient is a target that answers its health checks when they are released.
type heldClient struct {
	arrived []time.Time
	release chan struct{}
}

func (*heldClient) Probe(context.Context, courier.Target) error { return nil }

func (c *heldClient) Do(context.Context, courier.Target, courier.Request) (*courier.Response, error) {
	c.arrived = append(c.arrived, time.Now())
	<-c.release
	return &courier.Response{Status: http.StatusOK, Header: http.Header{"Instance": {"i-1"}}, Body: http.NoBody}, nil
}

// Guards against a check for each of many responses that end at the same time, against
// using a check that began before the response ended, and against checks without a pause.
func TestChecksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &heldClient{release: make(chan struct{})}
		p := prober.New(prober.Options{Client: client, Protocol: protocol{}})
		target := courier.Target{ID: "i-1", Address: "127.0.0.1:1"}
		var group sync.WaitGroup
		check := func() {
			if p.Gone(context.Background(), target, healthPath) {
				t.Error("the target counts as gone")
			}
		}
		group.Go(check)
		synctest.Wait()
		for range 200 {
			group.Go(check)
		}
		synctest.Wait()
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		if p.Gone(cancelled, target, healthPath) {
			t.Error("the target counts as gone for a cancelled request")
		}
		client.release <- struct{}{}
		client.release <- struct{}{}
		group.Wait()
		time.Sleep(time.Second) // by the clock of the test; no further check may start
		if len(client.arrived) != 2 {
			t.Fatalf("%d health checks for 201 responses, want 2", len(client.arrived))
		}
		if pause := client.arrived[1].Sub(client.arrived[0]); pause < 5*time.Millisecond {
			t.Errorf("%v between two health checks", pause)
		}
	})
}

// BenchmarkGone reports how long the check of a target that runs delays the end of a
// response, at the median and at the 99th percentile: of single responses, and of so many
// that they share checks.
func BenchmarkGone(b *testing.B) {
	for name, pause := range map[string]time.Duration{"single": 6 * time.Millisecond, "500 per second": 2 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			address, _ := serve(b, "127.0.0.1:0", instance("i-1"))
			p, _ := newProber(b, longTimeout)
			target := courier.Target{ID: "i-1", Address: address}
			took := make([]time.Duration, b.N)
			var group sync.WaitGroup
			for i := range b.N {
				time.Sleep(pause)
				group.Go(func() {
					started := time.Now()
					if p.Gone(context.Background(), target, healthPath) {
						b.Error("the target counts as gone")
					}
					took[i] = time.Since(started)
				})
			}
			group.Wait()
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(p.Stats.Checks.Load())/float64(b.N), "checks/op")
		})
	}
}
