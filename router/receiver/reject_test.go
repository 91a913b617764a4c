package receiver_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/router/dispatcher"
	"monsoondeck.example/router/receiver"
)

// expectError checks an error reply: status, code, outcome and request id.
func expectError(res *http.Response, body string, status int, code string, outcome dispatcher.Outcome) {
	GinkgoHelper()
	var e struct {
		Error struct{ Code, Message, RequestID, Outcome string }
	}
	Expect(json.Unmarshal([]byte(body), &e)).To(Succeed(), body)
	Expect(e.Error.Code).To(Equal(code), body)
	Expect(res.StatusCode).To(Equal(status))
	Expect(res.Header.Get("Monsoondeck-Outcome")).To(Equal(string(outcome)))
	Expect(e.Error.Outcome).To(Equal(string(outcome)))
	Expect(e.Error.RequestID).To(Equal(res.Header.Get("X-Request-Id")))
	Expect(e.Error.RequestID).NotTo(BeEmpty())
}

// withSmallLimits makes bodies and headers small enough to exceed.
func withSmallLimits(o *receiver.Options, _ *dispatcher.Options) {
	o.MaxBodyBytes, o.MaxHeaderBytes, o.MaxBufferedBytes = 1000, 2000, 5000
}

var _ = Describe("rejecting", func() {
	failIfReached := func(http.ResponseWriter, *http.Request) { Fail("the target was reached") }

	// Guards against missing or unspecific rejections, and against requests that reach
	// a target although notRun is reported.
	DescribeTable("rejects an invalid request with a 4xx status and notRun", func(method, path, body string, status int, code string, headers ...string) {
		f := newFixture(withSmallLimits, failIfReached)
		res, reply := f.do(method, path, body, headers...)
		expectError(res, reply, status, code, dispatcher.NotRun)
		Expect(f.waiter.settlements()).To(BeEmpty())
	},
		Entry("no key", "POST", "/v1/chat/completions", completionRequestBody, 401, "noKey", "Authorization", ""),
		Entry("unknown key", "POST", "/v1/chat/completions", completionRequestBody, 401, "unknownKey", "Authorization", "Bearer x"),
		Entry("unknown model", "POST", "/v1/chat/completions", `{"model":"m","messages":[1]}`, 404, "unknownModel"),
		Entry("service as model", "POST", "/v1/chat/completions", `{"model":"orders","messages":[1]}`, 404, "unknownModel"),
		Entry("pool that the account may not use", "POST", "/v1/chat/completions", `{"model":"private","messages":[1]}`, 403, "poolNotAllowed"),
		Entry("unknown service", "GET", "/services/none/x", "", 404, "unknownService"),
		Entry("unknown path", "GET", "/x", "", 404, "unknownPath"),
		Entry("wrong method", "GET", "/v1/chat/completions", "", 405, "method"),
		Entry("truncated JSON", "POST", "/v1/chat/completions", completionRequestBody[:20], 400, "badJson"),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"model"}`, 400, "badRequest"),
		Entry("large body", "POST", "/services/orders/", strings.Repeat("x", 1001), 413, "bodyTooLarge"),
		Entry("large header", "GET", "/services/orders/", "", 431, "headerTooLarge", "X", strings.Repeat("x", 2000)),
		Entry("bad deadline", "GET", "/services/orders/", "", 400, "badDeadline", "Monsoondeck-Deadline-Ms", "-1"),
		Entry("bad repeatable", "GET", "/services/orders/", "", 400, "badRepeatable", "Monsoondeck-Repeatable", "maybe"),
		Entry("long key", "POST", "/services/orders/", "", 400, "badKey", "Idempotency-Key", strings.Repeat("k", 257)),
		Entry("bad ticket", "POST", "/services/orders/", "", 400, "badTicket", "Monsoondeck-Ticket", "x"),
		Entry("bad id", "GET", "/services/orders/", "", 400, "badRequestId", "X-Request-Id", "a b"),
	)

	// Guards against notRun when an earlier attempt with the key may have run.
	It("reports unknown if a key cannot be claimed", func() {
		f := newFixture(withSmallLimits, failIfReached)
		r := f.request("POST", "/services/orders/", "")
		r.Header.Set("Idempotency-Key", "k")
		res, body := send(r)
		expectError(res, body, 503, "claimUnavailable", dispatcher.Unknown)
	})

	// Guards against a chunked body that is buffered without bound.
	It("rejects a large body of unknown length", func() {
		f := newFixture(withSmallLimits, failIfReached)
		r := f.request("POST", "/services/orders/", "")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 5000))), -1
		res, body := send(r)
		expectError(res, body, 413, "bodyTooLarge", dispatcher.NotRun)
	})

	// Guards against callers that occupy memory and connections by sending slowly.
	It("rejects a body that does not arrive in time and closes the connection", func() {
		f := newFixture(func(o *receiver.Options, _ *dispatcher.Options) { o.BodyTimeout = 50 * time.Millisecond }, failIfReached)
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = io.WriteString(c, "POST /services/orders/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 9\r\n\r\nab")
		Expect(err).NotTo(HaveOccurred())
		reply, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply)).To(And(HavePrefix("HTTP/1.1 408"), ContainSubstring(`"outcome":"notRun"`)))
	})

	// Guards against a body that is requested from an unauthenticated caller.
	It("sends 100 Continue only after authentication", func() {
		f := newFixture(nil, echoRequestID(func(http.ResponseWriter, *http.Request) {}))
		for key, first := range map[string]string{"secret": "HTTP/1.1 100", "wrong": "HTTP/1.1 401"} {
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			_, err = io.WriteString(c, "POST /services/orders/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+
				"\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			line := make([]byte, len(first))
			_, err = io.ReadFull(c, line)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(line)).To(Equal(first))
		}
	})

	It("responds with 503 and notRun while there is no configuration", func() {
		f := newFixture(func(o *receiver.Options, _ *dispatcher.Options) { o.ConfigSource = configs{configurer.Config{}} }, failIfReached)
		res, body := f.do("GET", "/services/orders/", "")
		expectError(res, body, 503, "noConfiguration", dispatcher.NotRun)
	})

	// Guards against a wrong status or outcome when a request gets no permit.
	DescribeTable("reports why a request got no permit", func(err error, status int, code string) {
		f := newFixture(nil, failIfReached)
		f.waiter.err = errors.Wrap(err, "wait")
		res, body := f.do("GET", "/services/orders/", "")
		expectError(res, body, status, code, dispatcher.NotRun)
	},
		Entry("queue full", receiver.ErrQueueFull, 429, "queueFull"),
		Entry("deadline", receiver.ErrDeadlinePassed, 504, "deadline"),
		Entry("removed", receiver.ErrAccountRemoved, 403, "accountRemoved"),
		Entry("stopping", receiver.ErrStopping, 503, "stopping"),
	)
})
