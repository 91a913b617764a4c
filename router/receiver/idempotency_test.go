package receiver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"monsoondeck.example/deduplicator"
	"monsoondeck.example/provider"
	"monsoondeck.example/router/claimer"
	"monsoondeck.example/router/dispatcher"
	"monsoondeck.example/router/receiver"
)

// table is a table service in memory. faults are the errors that the next writes
// return after they have taken effect; nil is no error.
type table struct {
	provider.Table
	mutex       sync.Mutex
	rows        map[string]provider.Row
	revision    uint64
	faults      []error
	unavailable bool
}

func (t *table) Read(_ context.Context, key string) (provider.Row, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row, ok := t.rows[key]
	switch {
	case t.unavailable:
		return row, provider.ErrUnavailable
	case !ok:
		return row, provider.ErrNotFound
	}
	return row, nil
}

func (t *table) Transact(_ context.Context, conditions []provider.Condition, puts []provider.Row, deletes []string) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.unavailable {
		return provider.ErrUnavailable
	}
	for _, c := range conditions {
		if t.rows[c.Key].Revision != c.Revision {
			return provider.ErrConflict
		}
	}
	t.revision++
	for _, p := range puts {
		t.rows[p.Key] = provider.Row{Key: p.Key, Value: p.Value, Revision: t.revision}
	}
	for _, k := range deletes {
		delete(t.rows, k)
	}
	if len(t.faults) > 0 {
		err := t.faults[0]
		t.faults = t.faults[1:]
		return err
	}
	return nil
}

// withClaimer gives a router a claimer that uses the table, and tickets of the
// incarnation. Responses wait at most syncTimeout for the table.
func withClaimer(t *table, incarnation uint64, syncTimeout time.Duration) func(o *receiver.Options, _ *dispatcher.Options) {
	return func(o *receiver.Options, _ *dispatcher.Options) {
		c, wait := claimer.New(claimer.Options{Table: t, SyncTimeout: syncTimeout})
		DeferCleanup(wait)
		o.Claimer, o.Incarnation = c, incarnation
		o.Tickets = claimer.NewTickets(deduplicator.TicketSettings{Incarnation: incarnation})
	}
}

// countRuns counts the requests that reach a handler.
func countRuns(runs *atomic.Int32, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		h(w, r)
	}
}

// issuers resolves incarnations to the addresses of the daemons that issued
// tickets.
type issuers map[uint64]string

func (i issuers) Issuer(incarnation uint64) (receiver.Peer, error) {
	address, ok := i[incarnation]
	if !ok {
		return receiver.Peer{}, receiver.ErrIssuerGone
	}
	return receiver.Peer{Address: strings.TrimPrefix(address, "http://"), Authenticate: func(h http.Header) { h.Set("Monsoondeck-Fleet", "1") }}, nil
}

var _ = Describe("running at most once", func() {
	var t *table
	var runs atomic.Int32
	BeforeEach(func() {
		t = &table{rows: map[string]provider.Row{}}
		runs.Store(0)
	})
	// newRouters returns two routers that share one table and one target.
	newRouters := func(h http.HandlerFunc) (*fixture, *fixture) {
		a, b := newFixture(withClaimer(t, 1, time.Minute), countRuns(&runs, h)), newFixture(withClaimer(t, 2, time.Minute))
		b.waiter.targets = a.waiter.targets
		return a, b
	}
	order := func(f *fixture, id string, headers ...string) (*http.Response, string) {
		return f.do("POST", "/services/orders/", "one truck", append([]string{"X-Request-Id", id}, headers...)...)
	}

	// Guards against a second run when a request is repeated at another router.
	DescribeTable("sends the stored response to a repeat at another router", func(faults ...error) {
		a, b := newRouters(respondWith("truck 7"))
		t.faults = faults
		_, first := order(a, "r1", "Idempotency-Key", "k")
		res, second := order(b, "r2", "Idempotency-Key", "k")
		Expect([]string{first, second}).To(Equal([]string{"truck 7", "truck 7"}))
		Expect(res.Header.Get("X-Request-Id")).To(Equal("r2"))
		Expect(res.Header.Get("Monsoondeck-Replayed")).To(Equal("true"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	},
		Entry("no table fault"),
		Entry("lost response to the claim", provider.ErrUnknown),
		Entry("lost response to the write of the result", nil, provider.ErrUnknown),
	)

	// Guards against notRun for a repeat of a request that ran or may have run.
	DescribeTable("reports to a repeat what is known about the earlier run", func(h http.HandlerFunc, status int, code string, outcome dispatcher.Outcome) {
		a, b := newRouters(h)
		_, _ = order(a, "r1", "Idempotency-Key", "k")
		res, body := order(b, "r2", "Idempotency-Key", "k")
		expectError(res, body, status, code, outcome)
		Expect(runs.Load()).To(BeEquivalentTo(1))
	},
		Entry("broken connection", http.HandlerFunc(abortConnection), 409, "outcomeUnknown", dispatcher.Unknown),
		Entry("refused request", echoRequestID(refuseRequest), 409, "keySpent", dispatcher.NotRun),
		Entry("response too large to store", respondWith(strings.Repeat("x", 65<<10)), 410, "answerNotKept", dispatcher.Complete),
	)

	// Guards against a stored response that is sent to a different request.
	It("rejects a different request with the same key", func() {
		a, b := newRouters(respondWith("truck 7"))
		_, _ = order(a, "r1", "Idempotency-Key", "k")
		res, body := b.do("POST", "/services/orders/", "two trucks", "Idempotency-Key", "k")
		expectError(res, body, 422, "keyReused", dispatcher.NotRun)
	})

	// Guards against keys that stay claimed although the request never ran.
	DescribeTable("releases the claim of a request that was not sent", func(fail func(*fixture)) {
		a, b := newRouters(respondWith("truck 7"))
		reachable := a.waiter.targets
		b.waiter.targets = reachable
		fail(a)
		res, _ := order(a, "r1", "Idempotency-Key", "k")
		Expect(res.Header.Get("Monsoondeck-Outcome")).To(Equal("notRun"))
		_, body := order(b, "r2", "Idempotency-Key", "k")
		Expect(body).To(Equal("truck 7"))
	},
		Entry("queue full", func(f *fixture) { f.waiter.err = receiver.ErrQueueFull }),
		Entry("target unreachable", func(f *fixture) {
			f.waiter.targets = append(f.waiter.targets[:0:0], f.waiter.targets...)
			f.waiter.targets[0].Address = "127.0.0.1:1"
		}),
	)

	// Guards against runs without a claim during an outage of the table service, and
	// against tickets that need the table service.
	It("reports unknown for a key during an outage, even if its request has run, and runs a ticket once", func() {
		a, b := newRouters(respondWith("truck 7"))
		b.options.IssuerResolver = issuers{1: a.url}
		b.url = startRouter(receiver.New(b.options))
		res, body := order(a, "r0", "Idempotency-Key", "k")
		Expect(res.StatusCode).To(Equal(200), body)
		runs.Store(0)
		t.unavailable = true
		res, body = order(a, "r1", "Idempotency-Key", "k")
		expectError(res, body, 503, "claimUnavailable", dispatcher.Unknown)

		res, body = a.do("POST", "/v1/tickets", "")
		Expect(res.StatusCode).To(Equal(201))
		var issued struct{ Ticket string }
		Expect(json.Unmarshal([]byte(body), &issued)).To(Succeed())
		res, body = order(b, "r2", "Monsoondeck-Ticket", issued.Ticket)
		Expect(body).To(Equal("truck 7"))
		Expect(res.Header.Get("X-Request-Id")).To(Equal("r2"))
		Expect(res.Header.Get("Monsoondeck-Outcome")).To(Equal("complete"))
		_, body = order(a, "r3", "Monsoondeck-Ticket", issued.Ticket)
		Expect(body).To(Equal("truck 7"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a second run and against notRun when the issuer cannot tell
	// whether the request ran.
	It("reports unknown for a ticket whose issuer is gone or does not know it", func() {
		a, b := newRouters(respondWith("truck 7"))
		b.options.IssuerResolver = issuers{1: a.url, 5: "http://127.0.0.1:1", 6: a.url}
		b.url = startRouter(receiver.New(b.options))
		for _, ticket := range []string{"4.1", "5.1", "6.1", "1.1", "2.9"} {
			res, body := order(b, "r", "Monsoondeck-Ticket", ticket)
			code := map[string]string{"1.1": "outcomeUnknown", "2.9": "outcomeUnknown"}[ticket]
			if code == "" {
				code = "issuerGone"
			}
			expectError(res, body, 409, code, dispatcher.Unknown)
		}
		Expect(runs.Load()).To(BeZero())
	})

	// Guards against two runs by concurrent attempts with one key.
	It("runs one of many concurrent attempts", func() {
		a, b := newRouters(respondWith("truck 7"))
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() {
				defer GinkgoRecover()
				_, _ = order([]*fixture{a, b}[i%2], fmt.Sprint("r", i), "Idempotency-Key", "k")
			})
		}
		group.Wait()
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})
})
