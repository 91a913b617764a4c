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

// event is the i-th token event.
func event(i int) string {
	return fmt.Sprintf("data: {\"id\":\"c1\",\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", i)
}

// streamEvents writes token events from one to another and flushes each.
func streamEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < to; i++ {
		fmt.Fprint(w, event(i))
		w.(http.Flusher).Flush()
	}
}

const done = "data: [DONE]\n\n"

// end is how an engine ends a stream.
const end = "data: {\"id\":\"c1\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" + done

func outcomeEvent(id string) string {
	return "event: outcome\ndata: {\"outcome\":\"complete\",\"requestId\":\"" + id + "\"}\n\n"
}

// readAll reads a body that may end with an error.
func readAll(res *http.Response) (string, error) {
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return string(b), err
}

// tokens is a stream of n events; it breaks before event broken (negative:
// never) unless the request resumes, which it honours if resumes is true. If
// not, it begins a new completion as an engine does that ignores the headers.
func tokens(n, broken int, resumes bool) http.HandlerFunc {
	return echo(func(w http.ResponseWriter, r *http.Request) {
		from := 0
		if offset := r.Header.Get("X-Resume-Offset"); offset != "" && resumes {
			Expect(r.Header.Get("X-Resume-Request")).NotTo(Equal(r.Header.Get("X-Request-Id")))
			from, _ = strconv.Atoi(offset)
			streamEvents(w, from, n)
			fmt.Fprint(w, end)
			return
		} else if offset != "" {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, strings.ReplaceAll(event(0)+event(1), "c1", "c2")+done)
			return
		}
		if broken >= 0 {
			streamEvents(w, 0, broken)
			fmt.Fprint(w, event(broken)[:10]) // half an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		streamEvents(w, 0, n)
		fmt.Fprint(w, end)
	})
}

var _ = Describe("streaming", func() {
	for name, client := range map[string]*http.Client{"HTTP/1.1": http.DefaultClient, "h2c": h2c()} {
		It("passes a stream on whole, with the outcome as trailer and last event, over "+name, func() {
			f := newFixture(nil, tokens(3, -1, false))
			res, err := client.Do(f.request("POST", "/v1/chat/completions", askStream, "X-Request-Id", "r1"))
			Expect(err).NotTo(HaveOccurred())
			body, err := readAll(res)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(event(0) + event(1) + event(2) + end + outcomeEvent("r1")))
			Expect(res.Trailer.Get("Monsoondeck-Outcome")).To(Equal("complete"))
			Eventually(f.waiter.settlements).Should(HaveLen(1))
			Expect(f.waiter.settlements()[0].Units).To(BeNumerically("~", 3+0.1*f.waiter.asked[0].Estimate, 3))
		})

		// Guards against a broken answer that looks whole.
		It("ends a broken stream visibly over "+name, func() {
			f := newFixture(retries(9), tokens(5, 2, false), tokens(5, -1, false))
			res, err := client.Do(f.request("POST", "/v1/chat/completions", askStream))
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
	It("does not take a stream without [DONE] for complete", func() {
		f := newFixture(nil, echo(func(w http.ResponseWriter, _ *http.Request) { streamEvents(w, 0, 2) }))
		res, err := http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", askStream))
		Expect(err).NotTo(HaveOccurred())
		body, err := readAll(res)
		Expect(err).To(HaveOccurred())
		Expect(body).To(ContainSubstring("event: error"))
	})

	// Guards against events that wait for later ones.
	It("flushes each event before the next one exists", func() {
		next := make(chan int)
		f := newFixture(nil, echo(func(w http.ResponseWriter, _ *http.Request) {
			for i := range next {
				streamEvents(w, i, i+1)
			}
			fmt.Fprint(w, done)
		}))
		res, err := func() (*http.Response, error) {
			go func() { next <- 0 }()
			return http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", askStream))
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
		Expect(string(rest)).To(HavePrefix(done))
	})

	// Guards against lost, repeated or reordered tokens after a resume.
	DescribeTable("resumes a broken stream of a repeatable request from the last token", func(broken int) {
		f := newFixture(retries(1), tokens(6, broken, true), tokens(6, broken, true))
		res, body := f.do("POST", "/v1/chat/completions", askStream, "X-Request-Id", "r")
		Expect(body).To(Equal(event(0) + event(1) + event(2) + event(3) + event(4) + event(5) + end + outcomeEvent("r")))
		Expect(res.Trailer.Get("Monsoondeck-Outcome")).To(Equal("complete"))
	}, Entry("after one", 1), Entry("after three", 3), Entry("after all", 6))

	// Guards against a protocol of resume that the stand-in engine does not speak.
	It("resumes a stream of the stand-in engine", func() {
		e, stop, err := engine.New(engine.Settings{ID: "a", Model: "model", Slots: 1, TokensPerSecond: 1000, ResumeWindow: time.Minute}, oracle.New())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		breaks, after := 1, 3
		e.Faults().Apply(fault.Change{BreakStreams: &breaks, BreakAfterTokens: &after})
		f := newFixture(nil, e.ServeHTTP)
		_, body := f.do("POST", "/v1/chat/completions", strings.Replace(askStream, "hi", "request=abc&tokens=5", 1))
		for i := range 5 {
			Expect(strings.Count(body, wire.Token("abc", i))).To(Equal(1), body)
		}
	})

	// Guards against a second run of a non-repeatable request by a resume.
	It("does not resume a non-repeatable request", func() {
		f := newFixture(nil, tokens(6, 3, true))
		res, err := http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", askStream, "Monsoondeck-Repeatable", "false"))
		Expect(err).NotTo(HaveOccurred())
		_, err = readAll(res)
		Expect(err).To(HaveOccurred())
	})

	// Guards against costs that ignore the engine's own count.
	DescribeTable("charges what the engine reports", func(stream bool) {
		const usage = `"usage":{"prompt_tokens":40,"completion_tokens":7,"prompt_tokens_details":{"cached_tokens":10}}`
		f := newFixture(nil, echo(func(w http.ResponseWriter, _ *http.Request) {
			if stream {
				streamEvents(w, 0, 2)
				fmt.Fprint(w, "data: {\"choices\":[],"+usage+"}\n\n"+done)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprint(w, "{"+usage+"}")
		}))
		_, _ = f.do("POST", "/v1/chat/completions", ask)
		Eventually(f.waiter.settlements).Should(HaveLen(1))
		Expect(f.waiter.settlements()[0].Units).To(BeNumerically("~", 10, 1e-9))
		// Guards against limits that shrink because a whole answer takes longer
		// than the objective for the first token.
		Expect(f.waiter.settlements()[0].FirstToken > 0).To(Equal(stream))
	}, Entry("stream", true), Entry("whole", false))

	// Guards against a large answer whose break is hidden by the router.
	It("aborts a large answer that breaks", func() {
		f := newFixture(nil, echo(func(w http.ResponseWriter, _ *http.Request) {
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

func h2c() *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: &p}}
}
