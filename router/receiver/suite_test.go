package receiver_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/router/dispatcher"
	"monsoondeck.example/router/receiver"
)

func TestReceiver(t *testing.T) {
	RegisterFailHandler(Fail)
	// With the default of one second, results would depend on the speed of the machine.
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "receiver")
}

// waiter grants the first target that a request does not exclude, and records the
// requests and settlements.
type waiter struct {
	mutex    sync.Mutex
	targets  []configurer.Target
	err      error
	requests []receiver.PermitRequest
	settled  []receiver.Settlement
	// expiring is the number of the next permits that expire before dispatch.
	expiring int
	// progress receives the units of Progress if it is not nil.
	progress chan float64
}

func (w *waiter) Wait(_ context.Context, r receiver.PermitRequest) (receiver.Permit, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests = append(w.requests, r)
	if w.err != nil {
		return nil, w.err
	}
	for _, t := range w.targets {
		if !slices.Contains(r.Exclude, t.ID) {
			return &permit{w: w, target: t}, nil
		}
	}
	return nil, receiver.ErrDeadlinePassed
}

func (w *waiter) settlements() []receiver.Settlement {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]receiver.Settlement(nil), w.settled...)
}

type permit struct {
	w      *waiter
	target configurer.Target
}

func (p *permit) Target() configurer.Target { return p.target }
func (p *permit) Progress(units float64) {
	select {
	case p.w.progress <- units:
	default:
	}
}

func (p *permit) Settle(s receiver.Settlement) {
	p.w.mutex.Lock()
	defer p.w.mutex.Unlock()
	p.w.settled = append(p.w.settled, s)
}

func (p *permit) CheckValid() error {
	p.w.mutex.Lock()
	defer p.w.mutex.Unlock()
	if p.w.expiring > 0 {
		p.w.expiring--
		return receiver.ErrPermitExpired
	}
	return nil
}

type configs struct{ config configurer.Config }

func (c configs) Current() (configurer.Config, bool) { return c.config, c.config.Version() > 0 }

// echoRequestID wraps the handler of a target so that it returns the request id,
// as every target must.
func echoRequestID(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		f(w, r)
	}
}

// fixture is a router and its targets, listening on local sockets.
type fixture struct {
	url     string
	waiter  *waiter
	options receiver.Options
}

// newFixture starts a router with an engine pool "model" and a service pool
// "orders", and one target for each handler. Both pools use these targets. change
// may modify the options of the router and its dispatcher.
func newFixture(change func(o *receiver.Options, d *dispatcher.Options), handlers ...http.HandlerFunc) *fixture {
	f := &fixture{waiter: &waiter{}}
	d := dispatcher.Options{DialTimeout: time.Minute}
	f.options = receiver.Options{Waiter: f.waiter}
	for i, h := range handlers {
		f.waiter.targets = append(f.waiter.targets, configurer.Target{ID: string(rune('a' + i)), Address: startTarget(h)})
	}
	c, err := configurer.New(1, []configurer.Account{{
		ID: "acme", Share: 1, KeyHashes: []string{configurer.KeyHash("secret")}, Pools: []string{"model", "orders"},
	}}, []configurer.Target{
		{ID: "e", Address: "127.0.0.1:1", Kind: configurer.KindEngine, Pools: []string{"model", "private"}, Slots: 1},
		{ID: "s", Address: "127.0.0.1:1", Kind: configurer.KindService, Pools: []string{"orders"}, Slots: 1},
	}, nil)
	Expect(err).NotTo(HaveOccurred())
	f.options.ConfigSource = configs{c}
	if change != nil {
		change(&f.options, &d)
	}
	var closeIdle func()
	f.options.Dispatcher, closeIdle = func() (receiver.Dispatcher, func()) { return dispatcher.New(d) }()
	DeferCleanup(closeIdle)
	f.url = startRouter(receiver.New(f.options))
	return f
}

// startTarget starts a target and returns its host:port.
func startTarget(h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

// startRouter serves the handler of a router and returns its URL.
func startRouter(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := receiver.NewServer(h, slog.New(slog.DiscardHandler))
	go func() {
		defer GinkgoRecover()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			Fail(err.Error())
		}
	}()
	DeferCleanup(s.Close)
	return "http://" + l.Addr().String()
}

// request returns a request to the router with a valid key. headers holds names
// and values in turn.
func (f *fixture) request(method, path, body string, headers ...string) *http.Request {
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	// Without GetBody the client cannot itself repeat a request with an
	// Idempotency-Key.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// do sends a request and returns the response and its body.
func (f *fixture) do(method, path, body string, headers ...string) (*http.Response, string) {
	return send(f.request(method, path, body, headers...))
}

func send(r *http.Request) (*http.Response, string) {
	res, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	return res, string(b)
}

// Bodies of model requests with a prompt of one message and at most 5 tokens.
const completionRequestBody = `{"model":"model","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`
const streamRequestBody = `{"model":"model","stream":true,"messages":[{"role":"user","content":"hi"}],"max_tokens":5}`
