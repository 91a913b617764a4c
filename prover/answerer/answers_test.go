package answerer_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/wire"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/prover/driver"
)

// visiblyBroken reports whether a caller can see that the stream is incomplete and
// has received nothing but the beginning of its own answer.
func visiblyBroken(r driver.Reply) bool {
	return r.Outcome != loader.OutcomeComplete && r.Err != nil && !strings.Contains(r.Body, "[DONE]") &&
		strings.Contains(r.Body, "event: error") && strings.HasPrefix(wire.Answer(r.Call.ID, r.Call.Tokens), r.Tokens())
}

var _ = ginkgo.Describe("P3: every caller receives the whole answer to its own request", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against answers that go to another caller when targets answer with foreign ids and in another order", func() {
		wrong := f.Metric("monsoond_wrong_answers_total")
		stop := f.StartLoad("crossed", 4)
		for range 4 {
			foreign := 3
			f.FaultTargets(fault.Change{ForeignIDs: &foreign})
			time.Sleep(300 * time.Millisecond)
		}
		counts := f.Verify(stop())
		gomega.Expect(f.Metric("monsoond_wrong_answers_total")).To(gomega.BeNumerically(">", wrong))
		gomega.Expect(counts.Completed).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("guards against mixed answers when later requests are answered first", func() {
		var waiting []<-chan driver.Reply
		for n := range 24 {
			c := driver.Call{ID: fmt.Sprintf("order-%d", n), Method: http.MethodGet, Duration: time.Duration(24-n) * 20 * time.Millisecond}
			waiting = append(waiting, f.SendAsync(f.Daemons[n%3].Caller, c))
		}
		for _, w := range waiting {
			r := <-w
			gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v", r)
		}
		f.Verify()
	})

	ginkgo.It("guards against lost or doubled tokens where a broken stream is resumed", func() {
		resumed := f.Metric("monsoond_streams_resumed_total")
		for n := range 6 {
			breaks, after := 1, 3+n
			f.FaultEngines(fault.Change{BreakStreams: &breaks, BreakAfterTokens: &after})
			r := f.Send(f.Daemons[n%3].Caller, driver.StreamCall(fmt.Sprintf("resumed-%d", n), 40))
			gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v %q", r, r.Body)
		}
		gomega.Expect(f.Metric("monsoond_streams_resumed_total")).To(gomega.BeNumerically(">=", resumed+6))
		f.Verify()
	})

	ginkgo.It("guards against a broken stream that looks whole when it must not be resumed", func() {
		breaks, after := 1, 5
		for n, d := range f.Daemons {
			f.FaultEngines(fault.Change{BreakStreams: &breaks, BreakAfterTokens: &after})
			c := driver.StreamCall(fmt.Sprintf("broken-%d", n), 40)
			c.Once = true
			r := f.Send(d.Caller, c)
			gomega.Expect(visiblyBroken(r)).To(gomega.BeTrue(), "%v %q", r, r.Body)
		}
		f.Verify()
	})

	ginkgo.It("guards against a stream that looks whole, or begins again, after the engine was killed", func() {
		for n, d := range f.Daemons {
			c := driver.StreamCall(fmt.Sprintf("engine-killed-%d", n), 1000)
			waiting := f.SendAsync(d.Caller, c)
			f.WaitProduced(c.ID, 10)
			f.FaultEngines(fault.Change{Restart: true})
			r := <-waiting
			gomega.Expect(visiblyBroken(r)).To(gomega.BeTrue(), "%v", r)
		}
		f.Verify()
	})

	ginkgo.It("guards against a stream that looks whole after its router was killed", func() {
		c := driver.StreamCall("router-killed", 1000)
		waiting := f.SendAsync(f.Daemons[1].Caller, c)
		f.WaitProduced(c.ID, 10)
		f.Daemons[1].Process().Kill()
		r := <-waiting
		gomega.Expect(r.Err).To(gomega.HaveOccurred())
		gomega.Expect(r.Body).NotTo(gomega.ContainSubstring("[DONE]"))
		f.FaultEngines(fault.Change{Restart: true})
		f.Verify()
	})

	ginkgo.It("guards against answers that are lost or mixed when they arrive late, after two-way and one-way cuts and a pause", func() {
		cuts := map[string][2]func() error{
			"two-way": {func() error { return f.CutDataCentre("east") }, func() error { return f.ReconnectDataCentre("east") }},
			"one-way": {f.Daemons[0].CutOutgoing, f.Daemons[0].ReconnectOutgoing},
			"paused": {func() error { f.Daemons[0].Process().Pause(); return nil },
				func() error { f.Daemons[0].Process().Continue(); return nil }},
		}
		for name, cut := range cuts {
			var waiting []<-chan driver.Reply
			var last driver.Call
			for n := range 12 {
				last = driver.StreamCall(fmt.Sprintf("%s-%d", name, n), 60)
				waiting = append(waiting, f.SendAsync(f.Daemons[n%3].Caller, last))
			}
			f.WaitRunning(last.ID)
			gomega.Expect(cut[0]()).To(gomega.Succeed())
			time.Sleep(4 * time.Second)
			gomega.Expect(cut[1]()).To(gomega.Succeed())
			for _, w := range waiting {
				r := <-w
				gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v", r)
			}
			f.Heal()
		}
		f.Verify()
	})
})
