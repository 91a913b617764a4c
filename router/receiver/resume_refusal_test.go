package receiver_test

import (
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("resuming at a busy engine", func() {
	// Guards against a broken stream that ends with the first refusal of its resume, although
	// more resumes are allowed.
	It("tries again after the engine refused to resume", func() {
		engine, refusals := tokenStream(4, 2, true), atomic.Int32{}
		f := newFixture(nil, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Resume-Offset") != "" && refusals.Add(1) == 1 {
				echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("X-Request-Refused", "true")
					w.WriteHeader(http.StatusTooManyRequests)
				})(w, r)
				return
			}
			engine(w, r)
		})
		res, err := http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", streamRequestBody, "X-Request-Id", "r"))
		Expect(err).NotTo(HaveOccurred())
		body, err := readAll(res)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(0) + event(1) + event(2) + event(3) + streamEnd + outcomeEvent("r")))
	})
})
