package inspector_test

import (
	"fmt"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/prover/driver"
)

const (
	// flooders is many times the number of slots (24).
	flooders = 240
	// overtakes is how many requests of the flood may begin while one request of
	// a small account waits: far more than a fair queue lets pass, and half of
	// what a first-come queue does.
	overtakes = flooders / 2
	answerLen = 100 // tokens, about a second
)

// flood keeps requests of one account waiting at all routers until the returned
// function is called.
func flood(f *driver.Fleet, name string) (stop func()) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	for n := range flooders {
		group.Go(func() {
			for m := 0; ; m++ {
				select {
				case <-ended:
					return
				default:
					f.Send(f.Daemons[n%3].Caller, driver.Stream(fmt.Sprintf("%s-%d-%d", name, n, m), answerLen))
				}
			}
		})
	}
	end := sync.OnceFunc(func() { close(ended) })
	ginkgo.DeferCleanup(end)
	return func() { end(); group.Wait() }
}

// floodStarts counts the requests of the flooding account that have begun.
func floodStarts(f *driver.Fleet) int {
	n := 0
	for _, e := range f.Executions() {
		if e.Account == "account-1" {
			n++
		}
	}
	return n
}

// answered sends one request after the other and fails when one is not answered
// before the flood has received too much.
func answered(f *driver.Fleet, name string, limit int) {
	ginkgo.GinkgoHelper()
	for n := range 6 {
		before := floodStarts(f)
		c := driver.Stream(fmt.Sprintf("%s-%d", name, n), 5)
		c.Account = fmt.Sprintf("account-%d", 2+n%3)
		r := f.Send(f.Daemons[n%3].Caller, c)
		gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v", r)
		gomega.Expect(floodStarts(f)-before).To(gomega.BeNumerically("<", limit), "%v was overtaken", r)
	}
}

var _ = ginkgo.Describe("P2: no client account starves", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against small accounts that wait behind a flood, in and right after a partition", func() {
		stop := flood(f, "flood")
		f.Waiting(f.Daemons[0], flooders/6)
		answered(f, "connected", overtakes)
		gomega.Expect(f.CutDataCentre("south")).To(gomega.Succeed())
		f.Forgotten(f.Daemons[0], f.Daemons[2])
		answered(f, "partitioned", overtakes)
		gomega.Expect(f.JoinDataCentre("south")).To(gomega.Succeed())
		answered(f, "rejoined", overtakes)
		stop()
		f.Judge()
	})
})
