package receiver_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"monsoondeck.example/router/dispatcher"
	"monsoondeck.example/router/receiver"
)

// withShortTimeouts lets the dispatcher give up targets and callers quickly.
func withShortTimeouts(_ *receiver.Options, d *dispatcher.Options) {
	d.ProgressInterval, d.ResponseTimeout, d.StallTimeout = 5*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond
	d.WriteTimeout = 20 * time.Millisecond
}

var _ = Describe("limiting", func() {
	silent := echoRequestID(func(w http.ResponseWriter, r *http.Request) {
		// The server detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/v1/") {
			streamEvents(w, 0, 2)
		}
		<-r.Context().Done()
	})

	// Guards against callers and slots that wait forever for a hung target.
	It("ends a request whose target never responds", func() {
		f := newFixture(withShortTimeouts, silent)
		res, body := f.do("POST", "/services/orders/", "x")
		expectError(res, body, 504, "targetStalled", dispatcher.Unknown)
		Expect(f.waiter.settlements()[0].Result).To(Equal(receiver.ResultFailed))
	})

	// Guards against a stalled stream that stays open or looks complete.
	It("ends a stalled stream with an error", func() {
		f := newFixture(withShortTimeouts, silent)
		res, err := http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", streamRequestBody))
		Expect(err).NotTo(HaveOccurred())
		body, err := readAll(res)
		Expect(body).To(ContainSubstring("targetStalled"))
		// On a slow machine the limit may pass before the first event.
		Expect(err != nil).To(Equal(res.StatusCode == 200))
	})

	// Guards against a write deadline that passes while the engine is silent:
	// HTTP/2 resets a stream at its deadline even when nothing is written.
	It("keeps a stream whose events are far apart", func() {
		f := newFixture(func(_ *receiver.Options, d *dispatcher.Options) { d.WriteTimeout = 10 * time.Millisecond }, echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
			streamEvents(w, 0, 1)
			time.Sleep(50 * time.Millisecond)
			streamEvents(w, 1, 2)
			_, _ = io.WriteString(w, streamEnd)
		}))
		res, err := h2c().Do(f.request("POST", "/v1/chat/completions", streamRequestBody))
		Expect(err).NotTo(HaveOccurred())
		body, err := readAll(res)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(ContainSubstring("[DONE]"))
	})

	// Guards against slots in use by callers that do not read.
	It("ends the request of a caller that does not read", func() {
		f := newFixture(func(_ *receiver.Options, d *dispatcher.Options) { d.WriteTimeout = 20 * time.Millisecond },
			echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/x-ndjson")
				for {
					if _, err := w.Write(make([]byte, 64<<10)); err != nil {
						return
					}
				}
			}))
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = io.WriteString(c, "GET /services/orders/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.waiter.settlements).Should(HaveLen(1))
		Expect(f.waiter.settlements()[0].Result).To(Equal(receiver.ResultCancelled))
	})

	// Guards against shard owners that learn the cost of a long request only at its
	// end.
	It("reports progress while a request runs", func() {
		f := newFixture(func(_ *receiver.Options, d *dispatcher.Options) { d.ProgressInterval = time.Millisecond }, respondWith(""))
		f.waiter.progress = make(chan float64, 1)
		f.waiter.targets[0].Address = startTarget(echoRequestID(func(http.ResponseWriter, *http.Request) {
			first := <-f.waiter.progress
			Expect(<-f.waiter.progress).To(BeNumerically(">", first))
		}))
		res, _ := f.do("GET", "/services/orders/", "")
		Expect(res.StatusCode).To(Equal(200))
	})

	// Guards against a ticket that is removed before it reaches its issuer because the
	// caller's Connection header names it; the issuer would run the request again.
	It("forwards the ticket even if Connection names it", func() {
		var seen http.Header
		f := newFixture(func(o *receiver.Options, _ *dispatcher.Options) {
			o.IssuerResolver = issuers{7: startTarget(echoRequestID(func(_ http.ResponseWriter, r *http.Request) { seen = r.Header }))}
		})
		_, _ = f.do("POST", "/services/orders/", "", "Monsoondeck-Ticket", "7.1", "Connection", "Monsoondeck-Ticket, Authorization")
		Expect(seen.Get("Monsoondeck-Ticket")).To(Equal("7.1"))
		Expect(seen.Get("Authorization")).To(Equal("Bearer secret"))
		Expect(seen.Get("Monsoondeck-Fleet")).To(Equal("1"))
	})

	// Guards against a target that sends a header without end, until the memory of the
	// daemon is used up.
	It("closes the connection of a target that sends a header without end", func() {
		const enough = 4 << 20
		sent := make(chan int, 1)
		f := newFixture(nil, func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			n, _ := c.Write([]byte("HTTP/1.1 200 OK\r\n"))
			field := []byte("X-Field: " + strings.Repeat("x", 1000) + "\r\n")
			for err == nil && n < enough {
				var written int
				written, err = c.Write(field)
				n += written
			}
			sent <- n
		})
		res, _ := f.do("GET", "/services/orders/", "")
		Expect(res.StatusCode).To(BeNumerically(">=", 400))
		Expect(<-sent).To(BeNumerically("<", enough))
	})

	It("counts responses to another request", func() {
		d, closeIdle := dispatcher.New(dispatcher.Options{})
		DeferCleanup(closeIdle)
		f := newFixture(nil, func(http.ResponseWriter, *http.Request) {})
		f.options.Dispatcher = d
		f.url = startRouter(receiver.New(f.options))
		_, _ = f.do("GET", "/services/orders/", "")
		Expect(d.Stats().MismatchedResponses).To(BeEquivalentTo(1))
	})
})
