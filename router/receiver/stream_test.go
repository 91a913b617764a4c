package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"monsoondeck.example/emulator/engine"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/wire"
	"monsoondeck.example/router/receiver"
)

// event returns the i-th token event.
func event(i int) string {
	return fmt.Sprintf("data: {\"id\":\"c1\",\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", i)
}

// streamEvents writes the token events from index from up to but not including
// index to, and flushes each.
func streamEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < to; i++ {
		fmt.Fprint(w, event(i))
		w.(http.Flusher).Flush()
	}
}

// doneEvent is the last event of an engine's stream.
const doneEvent = "data: [DONE]\n\n"

// streamEnd is the end of a stream as engines send it.
const streamEnd = "data: {\"id\":\"c1\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" + doneEvent

// outcomeEvent returns the event with which the router ends a complete stream.
func outcomeEvent(id string) string {
	return "event: outcome\ndata: {\"outcome\":\"complete\",\"requestId\":\"" + id + "\"}\n\n"
}

// readAll reads a body that may end with an error.
func readAll(res *http.Response) (string, error) {
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return string(b), err
}

// tokenStream is an engine that streams n events. The stream breaks before event
// breakAt, or never if breakAt is negative. A request to resume continues at its
// offset if resumes is true; otherwise it gets the first events of a new
// completion, as from an engine that ignores the resume headers.
func tokenStream(n, breakAt int, resumes bool) http.HandlerFunc {
	return echoRequestID(func(w http.ResponseWriter, r *http.Request) {
		from := 0
		if offset := r.Header.Get("X-Resume-Offset"); offset != "" && resumes {
			Expect(r.Header.Get("X-Resume-Request")).NotTo(Equal(r.Header.Get("X-Request-Id")))
			from, _ = strconv.Atoi(offset)
			streamEvents(w, from, n)
			fmt.Fprint(w, streamEnd)
			return
		} else if offset != "" {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, strings.ReplaceAll(event(0)+event(1), "c1", "c2")+doneEvent)
			return
		}
		if breakAt >= 0 {
			streamEvents(w, 0, breakAt)
			fmt.Fprint(w, event(breakAt)[:10]) // an incomplete event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		streamEvents(w, 0, n)
		fmt.Fprint(w, streamEnd)
	})
}

var _ = Describe("streaming", func() {
	for name, client := range map[string]*http.Client{"HTTP/1.1": http.DefaultClient, "h2c": h2c()} {
		It("forwards a complete stream, with the outcome as trailer and last event, over "+name, func() {
			f := newFixture(nil, tokenStream(3, -1, false))
			res, err := client.Do(f.request("POST", "/v1/chat/completions", streamRequestBody, "X-Request-Id", "r1"))
			Expect(err).NotTo(HaveOccurred())
			body, err := readAll(res)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(event(0) + event(1) + event(2) + streamEnd + outcomeEvent("r1")))
			Expect(res.Trailer.Get("Monsoondeck-Outcome")).To(Equal("complete"))
			Eventually(f.waiter.settlements).Should(HaveLen(1))
			Expect(f.waiter.settlements()[0].Units).To(BeNumerically("~", 3+0.1*f.waiter.requests[0].EstimatedUnits, 3))
		})

		// Guards against a broken stream that looks complete.
		It("ends a broken stream with an error over "+name, func() {
			f := newFixture(withRetryBudget(9), tokenStream(5, 2, false), tokenStream(5, -1, false))
			res, err := client.Do(f.request("POST", "/v1/chat/completions", streamRequestBody))
			Expect(err).NotTo(HaveOccurred())
			body, err := readAll(res)
			Expect(err).To(HaveOccurred())
			Expect(body).To(HavePrefix(event(0) + event(1) + "event: error\ndata: {\"error\":{\"code\":\"targetBroken\""))
			Expect(body).NotTo(ContainSubstring("[DONE]"))
			Expect(body).To(ContainSubstring(`"outcome":"unknown"`))
			Expect(res.Trailer.Get("Monsoondeck-Outcome")).To(BeEmpty())
		})
	}

	// Guards against an engine that ends a stream early but cleanly.
	It("treats a stream without [DONE] as broken", func() {
		f := newFixture(nil, echoRequestID(func(w http.ResponseWriter, _ *http.Request) { streamEvents(w, 0, 2) }))
		res, err := http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", streamRequestBody))
		Expect(err).NotTo(HaveOccurred())
		body, err := readAll(res)
		Expect(err).To(HaveOccurred())
		Expect(body).To(ContainSubstring("event: error"))
	})

	// Guards against events that are buffered until later ones arrive.
	It("flushes each event before the next one exists", func() {
		next := make(chan int)
		f := newFixture(nil, echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
			for i := range next {
				streamEvents(w, i, i+1)
			}
			fmt.Fprint(w, doneEvent)
		}))
		res, err := func() (*http.Response, error) {
			go func() { next <- 0 }()
			return http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", streamRequestBody))
		}()
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(res.Body)
		for i := range 5 {
			line, err := reader.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line + "\n").To(Equal(event(i)))
			_, err = reader.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			if i < 4 {
				next <- i + 1
			}
		}
		close(next)
		rest, err := io.ReadAll(reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(HavePrefix(doneEvent))
	})

	// Guards against lost, repeated or reordered tokens after a resume.
	DescribeTable("resumes a broken stream of a repeatable request after the last token", func(breakAt int) {
		f := newFixture(withRetryBudget(1), tokenStream(6, breakAt, true), tokenStream(6, breakAt, true))
		res, body := f.do("POST", "/v1/chat/completions", streamRequestBody, "X-Request-Id", "r")
		Expect(body).To(Equal(event(0) + event(1) + event(2) + event(3) + event(4) + event(5) + streamEnd + outcomeEvent("r")))
		Expect(res.Trailer.Get("Monsoondeck-Outcome")).To(Equal("complete"))
	}, Entry("after one token", 1), Entry("after three tokens", 3), Entry("after all tokens", 6))

	// Guards against differences between the resume protocols of the router and the
	// emulated engine.
	It("resumes a stream of the emulated engine", func() {
		e, stop, err := engine.New(engine.Settings{ID: "a", Model: "model", Slots: 1, TokensPerSecond: 1000, ResumeWindow: time.Minute}, oracle.New())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		breaks, after := 1, 3
		e.Faults().Apply(fault.Change{BreakStreams: &breaks, BreakAfterTokens: &after})
		f := newFixture(nil, e.ServeHTTP)
		_, body := f.do("POST", "/v1/chat/completions", strings.Replace(streamRequestBody, "hi", "request=abc&tokens=5", 1))
		for i := range 5 {
			Expect(strings.Count(body, wire.Token("abc", i))).To(Equal(1), body)
		}
	})

	// Guards against a second run of a non-repeatable request by a resume.
	It("does not resume a non-repeatable request", func() {
		f := newFixture(nil, tokenStream(6, 3, true))
		res, err := http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", streamRequestBody, "Monsoondeck-Repeatable", "false"))
		Expect(err).NotTo(HaveOccurred())
		_, err = readAll(res)
		Expect(err).To(HaveOccurred())
	})

	// Guards against costs that ignore the token counts that the engine reports.
	DescribeTable("charges the usage that the engine reports", func(stream bool) {
		const usage = `"usage":{"prompt_tokens":40,"completion_tokens":7,"prompt_tokens_details":{"cached_tokens":10}}`
		f := newFixture(nil, echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
			if stream {
				streamEvents(w, 0, 2)
				fmt.Fprint(w, "data: {\"choices\":[],"+usage+"}\n\n"+doneEvent)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprint(w, "{"+usage+"}")
		}))
		_, _ = f.do("POST", "/v1/chat/completions", completionRequestBody)
		Eventually(f.waiter.settlements).Should(HaveLen(1))
		Expect(f.waiter.settlements()[0].Units).To(BeNumerically("~", 10, 1e-9))
		// A response that is not streamed takes longer than the objective for the first
		// token; if it were measured, the concurrency limits would shrink.
		Expect(f.waiter.settlements()[0].FirstToken > 0).To(Equal(stream))
	}, Entry("streamed", true), Entry("not streamed", false))

	// Guards against a broken large response that the router completes.
	It("aborts a large response that breaks", func() {
		f := newFixture(nil, echoRequestID(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "200000")
			fmt.Fprint(w, strings.Repeat("x", 100000))
		}))
		res, err := http.DefaultClient.Do(f.request("GET", "/services/orders/", ""))
		Expect(err).NotTo(HaveOccurred())
		_, err = readAll(res)
		Expect(err).To(HaveOccurred())
		Expect(f.waiter.settlements()[0].Result).To(Equal(receiver.ResultFailed))
	})
})

// h2c returns a client that uses HTTP/2 without TLS.
func h2c() *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: &p}}
}
