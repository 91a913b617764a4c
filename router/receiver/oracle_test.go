package receiver_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/service"
	"monsoondeck.example/provider"
	"monsoondeck.example/router/dispatcher"
	"monsoondeck.example/router/receiver"
)

// callerOutcomes counts the outcomes reported to the caller of one order.
type callerOutcomes struct {
	complete, unknown, notRun int
	// responses lists status and body of each response.
	responses string
}

var _ = Describe("outcomes under faults", func() {
	// Guards against false outcomes: it compares the outcomes reported to callers
	// with the runs that the targets recorded, while the targets and the table service
	// fail at random.
	It("agree with the record of the targets", func() {
		t := &table{rows: map[string]provider.Row{}}
		record := oracle.New()
		var targets []configurer.Target
		var faults []*fault.Faults
		for _, id := range []string{"a", "b"} {
			s, err := service.New(service.Settings{ID: id, Name: "orders", Slots: 100}, record)
			Expect(err).NotTo(HaveOccurred())
			targets, faults = append(targets, configurer.Target{ID: id, Address: startTarget(s.ServeHTTP)}), append(faults, s.Faults())
		}
		var routers []*fixture
		for i := range 2 {
			f := newFixture(func(o *receiver.Options, d *dispatcher.Options) {
				// Each router has its own incarnation. Responses wait at most 1 ms for the
				// table; later tries to write to it run in the background.
				withClaimer(t, uint64(i+1), time.Millisecond)(o, d)
				withRetryBudget(1<<20)(o, d)
			})
			f.waiter.targets = targets
			routers = append(routers, f)
		}
		var group sync.WaitGroup
		results := make([][]callerOutcomes, 8)
		for worker := range results {
			group.Go(func() {
				defer GinkgoRecover()
				random := rand.New(rand.NewPCG(1, uint64(worker)))
				for i := range 60 {
					injectFaults(random, t, faults[random.IntN(2)])
					// The kinds of placeOrder take turns.
					results[worker] = append(results[worker], placeOrder(random, routers, fmt.Sprintf("o%d.%d", worker, i), i%3))
				}
			})
		}
		group.Wait()
		// Lets the background writes of the claimers succeed; the cleanup waits for them.
		t.mutex.Lock()
		t.unavailable = false
		t.mutex.Unlock()
		runs := map[string]int{}
		for _, e := range record.Executions() {
			runs[e.CallerRequestID]++
		}
		for worker, list := range results {
			for i, r := range list {
				id := fmt.Sprintf("o%d.%d", worker, i)
				// Only a repeatable order (kind 0) may run more than once.
				if i%3 > 0 {
					Expect(runs[id]).To(BeNumerically("<=", 1), id)
				}
				// A response reported as complete needs a run.
				if r.complete > 0 {
					Expect(runs[id]).To(BeNumerically(">=", 1), id)
				}
				// An order that was always reported as not run must not have run.
				if r.complete+r.unknown == 0 {
					Expect(runs[id]).To(BeZero(), "%s: %s", id, r.responses)
				}
			}
		}
	})
})

// injectFaults sets random faults for the next requests.
func injectFaults(random *rand.Rand, t *table, f *fault.Faults) {
	faultCount, refuse := 1, random.IntN(4) == 0
	c := fault.Change{RefuseAll: &refuse}
	switch random.IntN(6) {
	case 0:
		c.LoseAnswers = &faultCount
	case 1:
		c.ForeignIDs = &faultCount
	}
	f.Apply(c)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unavailable = random.IntN(8) == 0
	if random.IntN(4) == 0 {
		t.faults = append(t.faults, provider.ErrUnknown)
	}
}

// placeOrder sends one order and counts the reported outcomes. An order of kind 0
// is repeatable, one of kind 1 is not, and one of kind 2 has an idempotency key and
// is sent three times.
func placeOrder(random *rand.Rand, routers []*fixture, id string, kind int) callerOutcomes {
	method, attempts, headers := "PUT", 1, []string(nil)
	if kind > 0 {
		method = "POST"
	}
	if kind == 2 {
		attempts, headers = 3, []string{"Idempotency-Key", id}
	}
	var r callerOutcomes
	for range attempts {
		res, body := routers[random.IntN(2)].do(method, "/services/orders/", "request="+id, headers...)
		r.responses += fmt.Sprint(res.StatusCode, " ", body, "\n")
		switch dispatcher.Outcome(res.Header.Get("Monsoondeck-Outcome")) {
		case dispatcher.Complete:
			var a service.Answer
			Expect(json.Unmarshal([]byte(body), &a)).To(Succeed(), body)
			Expect(a.Request).To(Equal(id), "answer of another request")
			r.complete++
		case dispatcher.Unknown:
			r.unknown++
		case dispatcher.NotRun:
			r.notRun++
		}
	}
	return r
}
