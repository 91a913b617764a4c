package claimer_test

import (
	"context"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/prover/driver"
)

func ticketCall(id, ticket string) driver.Call {
	return driver.Call{ID: id, Ticket: ticket, Method: http.MethodPost}
}

var _ = ginkgo.Describe("P5: a request with a ticket runs at most once", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against two runs during an outage of the platform when every router gets the same ticket", func() {
		for _, outage := range []fault.Outage{fault.OutageRefuse, fault.OutageHang} {
			gomega.Expect(f.SetPlatformFault(context.Background(), fault.Change{Outage: &outage})).To(gomega.Succeed())
			for _, d := range f.Daemons {
				c := ticketCall(string(outage)+"-"+d.ID, f.RequestTicket(d.Caller))
				c.Duration = 50 * time.Millisecond
				sendToAll(f, c, 2)
				gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1), c.ID)
				again := f.Send(f.Daemons[1].Caller, c)
				gomega.Expect(again.Whole()).To(gomega.BeTrue(), "%v", again)
			}
			f.Heal()
		}
		f.Verify()
	})

	ginkgo.It("guards against a second run after the death of the issuer, while the request runs and after its restart", func() {
		issuer := f.Daemons[2]
		c := ticketCall("issuer-killed", f.RequestTicket(issuer.Caller))
		c.Duration = time.Second
		broken := f.SendAsync(f.Daemons[0].Caller, c)
		f.WaitRunning(c.ID)
		issuer.Process().Kill()
		gomega.Expect((<-broken).Outcome).To(gomega.Equal(loader.OutcomeUnknown))
		during := f.Send(f.Daemons[0].Caller, c)
		gomega.Expect(during.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", during)
		gomega.Expect(issuer.Start()).To(gomega.Succeed())
		f.WaitConverged()
		for _, r := range sendToAll(f, c, 1) {
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		}
		f.Verify()
		gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1))
	})

	ginkgo.It("guards against a run elsewhere while the issuer is cut off, and against two runs after it has rejoined", func() {
		issuer := f.Daemons[2]
		c := ticketCall("issuer-cut", f.RequestTicket(issuer.Caller))
		c.Deadline = 10 * time.Second
		gomega.Expect(f.CutDataCentre("south")).To(gomega.Succeed())
		f.WaitMemberRemoved(f.Daemons[0], issuer)
		remote := f.Send(f.Daemons[0].Caller, c)
		gomega.Expect(remote.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", remote)
		gomega.Expect(f.CountRuns(c.ID)).To(gomega.BeZero())
		local := f.Send(issuer.Caller, c)
		gomega.Expect(local.Whole()).To(gomega.BeTrue(), "%v", local)
		gomega.Expect(f.ReconnectDataCentre("south")).To(gomega.Succeed())
		f.WaitConverged()
		sendToAll(f, c, 2)
		f.Verify()
		gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1))
	})

	ginkgo.It("guards against two runs while the issuer is paused", func() {
		issuer := f.Daemons[1]
		c := ticketCall("issuer-paused", f.RequestTicket(issuer.Caller))
		issuer.Process().Pause()
		waiting := f.SendAsync(f.Daemons[0].Caller, c)
		f.WaitMemberRemoved(f.Daemons[2], issuer)
		gone := f.Send(f.Daemons[2].Caller, c)
		gomega.Expect(gone.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", gone)
		issuer.Process().Continue()
		<-waiting
		f.WaitConverged()
		sendToAll(f, c, 2)
		f.Verify()
		gomega.Expect(f.CountRuns(c.ID)).To(gomega.Equal(1))
	})
})
