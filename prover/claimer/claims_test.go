package claimer_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/prover/driver"
	"monsoondeck.example/provider"
)

// sendToAll sends a call through all routers at once, several times each, and
// returns all replies.
func sendToAll(f *driver.Fleet, c driver.Call, times int) []driver.Reply {
	var group sync.WaitGroup
	var mu sync.Mutex
	var out []driver.Reply
	for _, address := range f.Callers() {
		for range times {
			group.Go(func() {
				r := f.Send(address, c)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, r)
			})
		}
	}
	group.Wait()
	return out
}

// countClaims returns the number of claim rows in the table service.
func countClaims(f *driver.Fleet) int {
	t := provider.NewTable(provider.Options{URL: f.URL(emulator.KindTable, "")})
	rows, after := 0, ""
	for {
		list, err := t.List(context.Background(), "claim/", after, 100)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if len(list) == 0 {
			return rows
		}
		rows, after = rows+len(list), list[len(list)-1].Key
	}
}

var _ = ginkgo.Describe("P5: a request with an Idempotency-Key runs at most once", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against two runs when several routers get the same key at the same time", func() {
		for n := range 20 {
			c := driver.KeyedCall(fmt.Sprintf("same-time-%d", n))
			c.Duration = 20 * time.Millisecond
			sendToAll(f, c, 2)
			gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1), c.ID)
			again := f.Send(f.Daemons[n%3].Caller, c)
			gomega.Expect(again.Whole() && again.Replayed).To(gomega.BeTrue(), "%v", again)
		}
		f.Verify()
	})

	ginkgo.It("guards against a second run on the other side of a cut", func() {
		gomega.Expect(f.CutDataCentre("south")).To(gomega.Succeed())
		var calls []driver.Call
		var group sync.WaitGroup
		for n := range 6 {
			calls = append(calls, driver.KeyedCall(fmt.Sprintf("cut-%d", n)))
			calls[n].Deadline = 8 * time.Second
			group.Go(func() { sendToAll(f, calls[n], 1) })
		}
		group.Wait()
		gomega.Expect(f.ReconnectDataCentre("south")).To(gomega.Succeed())
		for _, c := range calls {
			sendToAll(f, c, 1)
		}
		f.Verify()
		for _, c := range calls {
			gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1), c.ID)
		}
	})

	ginkgo.It("guards against a second run by a router that lost its memory in a kill", func() {
		killed := f.Daemons[0]
		c := driver.KeyedCall("killed")
		c.Duration = time.Second
		broken := f.SendAsync(killed.Caller, c)
		f.WaitRunning(c.ID)
		killed.Process().Kill()
		gomega.Expect((<-broken).Err).To(gomega.HaveOccurred())
		gomega.Expect(killed.Start()).To(gomega.Succeed())
		f.WaitConverged()
		for _, r := range sendToAll(f, c, 2) {
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		}
		f.Verify()
		gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1))
	})

	ginkgo.It("guards against a second run, and against a claim that is lost, when the answer to the claim is lost", func() {
		lost := 12
		var group sync.WaitGroup
		gomega.Expect(f.SetFault(context.Background(), emulator.KindTable, "", fault.Change{LoseAnswers: &lost})).To(gomega.Succeed())
		for n := range 12 {
			group.Go(func() { f.Send(f.Daemons[n%3].Caller, driver.KeyedCall(fmt.Sprintf("lost-claim-%d", n))) })
		}
		group.Wait()
		f.Verify()
		for n := range 12 {
			c := driver.KeyedCall(fmt.Sprintf("lost-claim-%d", n))
			sendToAll(f, c, 1)
			gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1), c.ID)
		}
		f.Verify()
	})

	ginkgo.It("guards against a second run by a router that was paused between claim and dispatch past every lease", func() {
		f.WaitVersion(f.SetTargetState(configurer.StateDraining, f.ServiceIDs()...), f.Daemons...)
		paused, other := f.Daemons[0], f.Daemons[1]
		before := countClaims(f)
		c := driver.KeyedCall("paused")
		first := f.SendAsync(paused.Caller, c)
		gomega.Eventually(func() int { return countClaims(f) }, driver.Timeout, driver.PollInterval).Should(gomega.Equal(before + 1))
		paused.Process().Pause()
		f.WaitVersion(f.SetTargetState(configurer.StateActive, f.ServiceIDs()...), f.Daemons[1:]...)
		f.WaitMemberRemoved(other, paused)
		during := f.Send(other.Caller, c)
		gomega.Expect(during.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", during)
		gomega.Expect(f.CountRuns(c.ID)).To(gomega.BeZero())
		paused.Process().Continue()
		sendToAll(f, c, 2)
		gomega.Expect((<-first).Whole()).To(gomega.BeTrue())
		f.Verify()
		gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1))
	})

	ginkgo.It("guards against a run without a claim during an outage of the platform, also when a router is killed at the same time", func() {
		for i, outage := range []fault.Outage{fault.OutageRefuse, fault.OutageHang, fault.OutageAbort} {
			gomega.Expect(f.SetPlatformFault(context.Background(), fault.Change{Outage: &outage})).To(gomega.Succeed())
			c := driver.KeyedCall(fmt.Sprintf("outage-%d", i))
			killed := f.SendAsync(f.Daemons[2].Caller, c)
			f.Daemons[2].Process().Kill()
			<-killed
			r := f.Send(f.Daemons[0].Caller, c)
			gomega.Expect(r.Status).To(gomega.Equal(http.StatusServiceUnavailable), "%v", r)
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
			f.Heal()
			gomega.Expect(f.CountRuns(c.ID)).To(gomega.BeZero())
		}
		f.Verify()
	})

	ginkgo.It("guards against a second run when the target's answer is lost after the work was done", func() {
		lost := 3
		f.FaultTargets(fault.Change{LoseAnswers: &lost})
		for n := range 9 {
			c := driver.KeyedCall(fmt.Sprintf("lost-answer-%d", n))
			f.Send(f.Daemons[n%3].Caller, c)
			sendToAll(f, c, 1)
			gomega.Expect(f.CountRuns(c.ID)).To(gomega.BeNumerically("<=", 1), c.ID)
		}
		f.Verify()
	})
})
