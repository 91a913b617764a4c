package inspector_test

import (
	"fmt"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/prover/driver"
)

const (
	// floodWorkers is many times the number of slots (24).
	floodWorkers = 240
	// maxOvertakes is the limit on the requests of the flood that begin while one
	// request of a small account waits: far more than with a fair queue, and half
	// as many as with a first-come, first-served queue.
	maxOvertakes = floodWorkers / 2
	answerTokens = 100 // about a second of streaming
)

// startFlood keeps requests of one account queued at all routers until the returned
// function is called.
func startFlood(f *driver.Fleet, name string) (stop func()) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	for n := range floodWorkers {
		group.Go(func() {
			for m := 0; ; m++ {
				select {
				case <-ended:
					return
				default:
					f.Send(f.Daemons[n%3].Caller, driver.StreamCall(fmt.Sprintf("%s-%d-%d", name, n, m), answerTokens))
				}
			}
		})
	}
	end := sync.OnceFunc(func() { close(ended) })
	ginkgo.DeferCleanup(end)
	return func() { end(); group.Wait() }
}

// countFloodStarts counts the requests of the flooding account that have begun.
func countFloodStarts(f *driver.Fleet) int {
	n := 0
	for _, e := range f.Executions() {
		if e.Account == "account-1" {
			n++
		}
	}
	return n
}

// expectAnswered sends requests of small accounts one after another, and fails when
// limit or more requests of the flood begin before one is answered.
func expectAnswered(f *driver.Fleet, name string, limit int) {
	ginkgo.GinkgoHelper()
	for n := range 6 {
		before := countFloodStarts(f)
		c := driver.StreamCall(fmt.Sprintf("%s-%d", name, n), 5)
		c.Account = fmt.Sprintf("account-%d", 2+n%3)
		r := f.Send(f.Daemons[n%3].Caller, c)
		gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v", r)
		gomega.Expect(countFloodStarts(f)-before).To(gomega.BeNumerically("<", limit), "%v was overtaken", r)
	}
}

var _ = ginkgo.Describe("P2: no client account starves", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against small accounts that wait behind a flood, in and right after a partition", func() {
		stop := startFlood(f, "flood")
		f.WaitQueued(f.Daemons[0], floodWorkers/6)
		expectAnswered(f, "connected", maxOvertakes)
		gomega.Expect(f.CutDataCentre("south")).To(gomega.Succeed())
		f.WaitMemberRemoved(f.Daemons[0], f.Daemons[2])
		expectAnswered(f, "partitioned", maxOvertakes)
		gomega.Expect(f.ReconnectDataCentre("south")).To(gomega.Succeed())
		expectAnswered(f, "rejoined", maxOvertakes)
		stop()
		f.Verify()
	})
})
