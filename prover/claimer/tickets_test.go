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

func ticketed(id, ticket string) driver.Call {
	return driver.Call{ID: id, Ticket: ticket, Method: http.MethodPost}
}

var _ = ginkgo.Describe("P5: a request with a ticket runs at most once", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against two runs during an outage of the platform when every router gets the same ticket", func() {
		for _, outage := range []fault.Outage{fault.OutageRefuse, fault.OutageHang} {
			gomega.Expect(f.FaultPlatform(context.Background(), fault.Change{Outage: &outage})).To(gomega.Succeed())
			for _, d := range f.Daemons {
				c := ticketed(string(outage)+"-"+d.ID, f.Ticket(d.Caller))
				c.Duration = 50 * time.Millisecond
				everywhere(f, c, 2)
				gomega.Expect(f.Runs(c.ID)).To(gomega.Equal(1), c.ID)
				again := f.Send(f.Daemons[1].Caller, c)
				gomega.Expect(again.Whole()).To(gomega.BeTrue(), "%v", again)
			}
			f.Heal()
		}
		f.Judge()
	})

	ginkgo.It("guards against a second run after the death of the issuer, while the request runs and after its restart", func() {
		issuer := f.Daemons[2]
		c := ticketed("issuer-killed", f.Ticket(issuer.Caller))
		c.Duration = time.Second
		broken := f.Go(f.Daemons[0].Caller, c)
		f.Running(c.ID)
		issuer.Process().Kill()
		gomega.Expect((<-broken).Outcome).To(gomega.Equal(loader.OutcomeUnknown))
		during := f.Send(f.Daemons[0].Caller, c)
		gomega.Expect(during.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", during)
		gomega.Expect(issuer.Start()).To(gomega.Succeed())
		f.Settle()
		for _, r := range everywhere(f, c, 1) {
			gomega.Expect(r.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", r)
		}
		f.Judge()
		gomega.Expect(f.Runs(c.ID)).To(gomega.Equal(1))
	})

	ginkgo.It("guards against a run elsewhere while the issuer is cut off, and against two runs after it has rejoined", func() {
		issuer := f.Daemons[2]
		c := ticketed("issuer-cut", f.Ticket(issuer.Caller))
		c.Deadline = 10 * time.Second
		gomega.Expect(f.CutDataCentre("south")).To(gomega.Succeed())
		f.Forgotten(f.Daemons[0], issuer)
		far := f.Send(f.Daemons[0].Caller, c)
		gomega.Expect(far.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", far)
		gomega.Expect(f.Runs(c.ID)).To(gomega.BeZero())
		near := f.Send(issuer.Caller, c)
		gomega.Expect(near.Whole()).To(gomega.BeTrue(), "%v", near)
		gomega.Expect(f.JoinDataCentre("south")).To(gomega.Succeed())
		f.Settle()
		everywhere(f, c, 2)
		f.Judge()
		gomega.Expect(f.Runs(c.ID)).To(gomega.Equal(1))
	})

	ginkgo.It("guards against two runs while the issuer is paused", func() {
		issuer := f.Daemons[1]
		c := ticketed("issuer-paused", f.Ticket(issuer.Caller))
		issuer.Process().Pause()
		waiting := f.Go(f.Daemons[0].Caller, c)
		f.Forgotten(f.Daemons[2], issuer)
		gone := f.Send(f.Daemons[2].Caller, c)
		gomega.Expect(gone.Outcome).To(gomega.Equal(loader.OutcomeUnknown), "%v", gone)
		issuer.Process().Continue()
		<-waiting
		f.Settle()
		everywhere(f, c, 2)
		f.Judge()
		gomega.Expect(f.Runs(c.ID)).To(gomega.Equal(1))
	})
})
