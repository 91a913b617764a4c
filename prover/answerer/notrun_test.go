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

// change returns a call that is not repeatable and has no key.
func change(id string) driver.Call { return driver.Call{ID: id, Method: http.MethodPost} }

var _ = ginkgo.Describe("P4: a request told notRun did not run", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against notRun for work that was done while the answer was lost on the way", func() {
		link := f.Link()
		gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindLoseAnswer})).To(gomega.Succeed())
		for n, d := range f.Daemons {
			r := f.Send(d.Caller, change(fmt.Sprintf("lost-%d", n)))
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
			gomega.Expect(f.Runs(r.Call.ID)).To(gomega.Equal(1))
		}
		f.Judge()
	})

	ginkgo.It("guards against notRun for a request whose bytes were under way when the connection was reset", func() {
		link := f.Link()
		for n, d := range f.Daemons {
			gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindFreeze})).To(gomega.Succeed())
			held := func() int { return link.Held(injector.Forward) }
			gomega.Eventually(held, driver.Limit, driver.Pause).Should(gomega.BeZero())
			waiting := f.Go(d.Caller, change(fmt.Sprintf("reset-%d", n)))
			gomega.Eventually(held, driver.Limit, driver.Pause).Should(gomega.BeNumerically(">", 0))
			gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindCut})).To(gomega.Succeed())
			r := <-waiting
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		}
		f.Judge()
	})

	ginkgo.It("guards against notRun while one direction of the connection to the target is cut", func() {
		link := f.Link()
		gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindCutOneWay, Direction: injector.Backward})).To(gomega.Succeed())
		c := change("one-way")
		waiting := f.Go(f.Daemons[0].Caller, c)
		f.Running(c.ID)
		gomega.Expect(link.SetFault(injector.Fault{Kind: injector.KindCut})).To(gomega.Succeed())
		r := <-waiting
		gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		f.Judge()
	})

	ginkgo.It("guards against notRun for a request that a killed target had begun", func() {
		for n, d := range f.Daemons {
			c := change(fmt.Sprintf("target-killed-%d", n))
			c.Duration = driver.Limit
			waiting := f.Go(d.Caller, c)
			f.Running(c.ID)
			f.FaultTargets(fault.Change{Restart: true})
			r := <-waiting
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		}
		f.Judge()
	})

	ginkgo.It("guards against a run after the target refused the request and the caller was told notRun", func() {
		yes, no := true, false
		f.FaultTargets(fault.Change{RefuseAll: &yes})
		for n, d := range f.Daemons {
			r := f.Send(d.Caller, change(fmt.Sprintf("refused-%d", n)))
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeNotRun), "%v", r)
		}
		f.FaultTargets(fault.Change{RefuseAll: &no})
		f.Judge()
	})

	ginkgo.It("guards against a late run by a router that was paused past the deadlines and leases of its requests", func() {
		f.InForce(f.SetState(configurer.StateDraining, f.Desks()...), f.Daemons...)
		paused, other := f.Daemons[0], f.Daemons[1]
		const calls = 20
		var waiting []<-chan driver.Reply
		for n := range calls {
			c := change(fmt.Sprintf("late-%d", n))
			// Requests of half the calls have passed their deadline at the end of the
			// pause; those of the others have not.
			c.Deadline = time.Second + time.Duration(n%2)*driver.Limit
			waiting = append(waiting, f.Go(paused.Caller, c))
		}
		f.Waiting(paused, calls/2)
		paused.Process().Pause()
		f.InForce(f.SetState(configurer.StateActive, f.Desks()...), f.Daemons[1:]...)
		f.Forgotten(other, paused)
		paused.Process().Continue()
		for n, w := range waiting {
			r := <-w
			if n%2 == 0 {
				gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeNotRun), "%v", r)
			}
		}
		f.Judge()
	})

	ginkgo.It("guards against notRun for requests that ran, under load, while targets are killed, cut off and refuse, and a router is killed", func() {
		stop := f.Load("p4", 4)
		yes, no, lost := true, false, 5
		for n := range 3 {
			gomega.Expect(f.CutDataCentre("east")).To(gomega.Succeed())
			f.FaultTargets(fault.Change{Restart: true, LoseAnswers: &lost})
			time.Sleep(400 * time.Millisecond)
			f.FaultTargets(fault.Change{RefuseAll: &yes})
			f.Daemons[n].Process().Kill()
			time.Sleep(400 * time.Millisecond)
			gomega.Expect(f.JoinDataCentre("east")).To(gomega.Succeed())
			f.FaultTargets(fault.Change{RefuseAll: &no, Restart: true})
			gomega.Expect(f.Daemons[n].Start()).To(gomega.Succeed())
			time.Sleep(400 * time.Millisecond)
		}
		counts := f.Judge(stop())
		gomega.Expect(counts.Completed).To(gomega.BeNumerically(">", 0))
		gomega.Expect(counts.Unknown).To(gomega.BeNumerically(">", 0))
	})
})
