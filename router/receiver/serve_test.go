package receiver_test

import (
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"monsoondeck.example/router/receiver"
)

// streamEvents writes token events from offset to n, then [DONE].
func streamEvents(w http.ResponseWriter, from, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < n; i++ {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", i)
		w.(http.Flusher).Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

var _ = Describe("serving", func() {
	It("passes a model stream on whole, with the outcome as trailer and last event", func() {
		f := newFixture(nil, echo(func(w http.ResponseWriter, _ *http.Request) { streamEvents(w, 0, 3) }))
		res, body := f.do("POST", "/v1/chat/completions", askStream, "X-Request-Id", "r1")
		Expect(res.StatusCode).To(Equal(200))
		Expect(res.Header.Get("X-Request-Id")).To(Equal("r1"))
		Expect(res.Trailer.Get("Monsoondeck-Outcome")).To(Equal("complete"))
		Expect(body).To(ContainSubstring("t2"))
		Expect(body).To(HaveSuffix("data: [DONE]\n\nevent: outcome\ndata: {\"outcome\":\"complete\",\"requestId\":\"r1\"}\n\n"))
		Eventually(f.waiter.settlements).Should(HaveLen(1))
		s := f.waiter.settlements()[0]
		Expect(s.Result).To(Equal(receiver.ResultComplete))
		Expect(s.Units).To(BeNumerically(">=", 3))
	})
	It("passes a service call on with path, query, method and body", func() {
		f := newFixture(nil, echo(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			w.WriteHeader(201)
			fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, b, r.Header.Get("Monsoondeck-Account"))
		}))
		res, body := f.do("POST", "/services/orders/a%2Fb/c?d=e", "x", "Authorization", "Bearer secret")
		Expect(res.StatusCode).To(Equal(201))
		Expect(res.Header.Get("Monsoondeck-Outcome")).To(Equal("complete"))
		Expect(body).To(Equal("POST /a%2Fb/c?d=e x acme"))
	})
})
