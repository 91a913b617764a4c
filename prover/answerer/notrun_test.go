package answerer_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/injector"
	"monsoondeck.example/prover/driver"
)

// unkeyedCall returns a call that is not repeatable and has no key.
func unkeyedCall(id string) driver.Call { return driver.Call{ID: id, Method: http.MethodPost} }

var _ = ginkgo.Describe("P4: a request told notRun did not run", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against notRun for work that was done while the answer was lost on the way", func() {
		link := f.AddLinkedTarget()
		gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindLoseAnswer})).To(gomega.Succeed())
		for n, d := range f.Daemons {
			r := f.Send(d.Caller, unkeyedCall(fmt.Sprintf("lost-%d", n)))
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
			gomega.Expect(f.CountRuns(r.Call.ID)).To(gomega.Equal(1))
		}
		f.Verify()
	})

	ginkgo.It("guards against notRun for a request whose bytes were under way when the connection was reset", func() {
		link := f.AddLinkedTarget()
		for n, d := range f.Daemons {
			gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindFreeze})).To(gomega.Succeed())
			held := func() int { return link.Held(injector.Forward) }
			gomega.Eventually(held, driver.Timeout, driver.PollInterval).Should(gomega.BeZero())
			waiting := f.SendAsync(d.Caller, unkeyedCall(fmt.Sprintf("reset-%d", n)))
			gomega.Eventually(held, driver.Timeout, driver.PollInterval).Should(gomega.BeNumerically(">", 0))
			gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindCut})).To(gomega.Succeed())
			r := <-waiting
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		}
		f.Verify()
	})

	ginkgo.It("guards against notRun while one direction of the connection to the target is cut", func() {
		link := f.AddLinkedTarget()
		gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindCutOneWay, Direction: injector.Backward})).To(gomega.Succeed())
		c := unkeyedCall("one-way")
		waiting := f.SendAsync(f.Daemons[0].Caller, c)
		f.WaitRunning(c.ID)
		gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindCut})).To(gomega.Succeed())
		r := <-waiting
		gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		f.Verify()
	})

	ginkgo.It("guards against notRun for a request that a killed target had begun", func() {
		for n, d := range f.Daemons {
			c := unkeyedCall(fmt.Sprintf("target-killed-%d", n))
			c.Duration = driver.Timeout
			waiting := f.SendAsync(d.Caller, c)
			f.WaitRunning(c.ID)
			f.FaultTargets(fault.Change{Restart: true})
			r := <-waiting
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		}
		f.Verify()
	})

	ginkgo.It("guards against a run after the target refused the request and the caller was told notRun", func() {
		yes, no := true, false
		f.FaultTargets(fault.Change{RefuseAll: &yes})
		for n, d := range f.Daemons {
			r := f.Send(d.Caller, unkeyedCall(fmt.Sprintf("refused-%d", n)))
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeNotRun), "%v", r)
		}
		f.FaultTargets(fault.Change{RefuseAll: &no})
		f.Verify()
	})

	ginkgo.It("guards against a late run by a router that was paused past the deadlines and leases of its requests", func() {
		f.WaitVersion(f.SetTargetState(configurer.StateDraining, f.ServiceIDs()...), f.Daemons...)
		paused, other := f.Daemons[0], f.Daemons[1]
		const calls = 20
		var waiting []<-chan driver.Reply
		for n := range calls {
			c := unkeyedCall(fmt.Sprintf("late-%d", n))
			// At the end of the pause half of the calls have passed their deadline.
			c.Deadline = time.Second + time.Duration(n%2)*driver.Timeout
			waiting = append(waiting, f.SendAsync(paused.Caller, c))
		}
		f.WaitQueued(paused, calls/2)
		paused.Process().Pause()
		f.WaitVersion(f.SetTargetState(configurer.StateActive, f.ServiceIDs()...), f.Daemons[1:]...)
		f.WaitMemberRemoved(other, paused)
		paused.Process().Continue()
		for n, w := range waiting {
			r := <-w
			if n%2 == 0 {
				gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeNotRun), "%v", r)
			}
		}
		f.Verify()
	})

	ginkgo.It("guards against notRun for requests that ran, under load, while targets are killed, cut off and refuse, and a router is killed", func() {
		stop := f.StartLoad("p4", 4)
		yes, no, lost := true, false, 5
		for n := range 3 {
			gomega.Expect(f.CutDataCentre("east")).To(gomega.Succeed())
			f.FaultTargets(fault.Change{Restart: true, LoseAnswers: &lost})
			time.Sleep(400 * time.Millisecond)
			f.FaultTargets(fault.Change{RefuseAll: &yes})
			f.Daemons[n].Process().Kill()
			time.Sleep(400 * time.Millisecond)
			gomega.Expect(f.ReconnectDataCentre("east")).To(gomega.Succeed())
			f.FaultTargets(fault.Change{RefuseAll: &no, Restart: true})
			gomega.Expect(f.Daemons[n].Start()).To(gomega.Succeed())
			time.Sleep(400 * time.Millisecond)
		}
		counts := f.Verify(stop())
		gomega.Expect(counts.Completed).To(gomega.BeNumerically(">", 0))
		gomega.Expect(counts.Unknown).To(gomega.BeNumerically(">", 0))
	})
})
