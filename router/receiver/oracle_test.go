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

// told is what the callers of one order were told.
type told struct {
	complete, unknown, notRun int
	last                      string
}

var _ = Describe("outcomes under faults", func() {
	// Guards against any false outcome: it compares what callers were told with
	// what the targets recorded, while targets and table service fail at random.
	It("agree with the record of the targets", func() {
		t := &table{rows: map[string]provider.Row{}}
		record := oracle.New()
		var targets []configurer.Target
		var faults []*fault.Faults
		for _, id := range []string{"a", "b"} {
			s, err := service.New(service.Settings{ID: id, Name: "orders", Slots: 100}, record)
			Expect(err).NotTo(HaveOccurred())
			targets, faults = append(targets, configurer.Target{ID: id, Address: serve(s.ServeHTTP)}), append(faults, s.Faults())
		}
		var routers []*fixture
		for i := range 2 {
			f := newFixture(func(o *receiver.Options, d *dispatcher.Options) {
				withClaims(t, uint64(i+1), time.Millisecond)(o, d)
				retries(1<<20)(o, d)
			})
			f.waiter.targets = targets
			routers = append(routers, f)
		}
		var group sync.WaitGroup
		results := make([][]told, 8)
		for worker := range results {
			group.Go(func() {
				defer GinkgoRecover()
				random := rand.New(rand.NewPCG(1, uint64(worker)))
				for i := range 60 {
					breakSomething(random, t, faults[random.IntN(2)])
					results[worker] = append(results[worker], placeOrder(random, routers, fmt.Sprintf("o%d.%d", worker, i), i%3))
				}
			})
		}
		group.Wait()
		t.mutex.Lock()
		t.out = false
		t.mutex.Unlock()
		runs := map[string]int{}
		for _, e := range record.Executions() {
			runs[e.CallerRequestID]++
		}
		for worker, list := range results {
			for i, r := range list {
				id := fmt.Sprintf("o%d.%d", worker, i)
				if i%3 > 0 {
					Expect(runs[id]).To(BeNumerically("<=", 1), id)
				}
				if r.complete > 0 {
					Expect(runs[id]).To(BeNumerically(">=", 1), id)
				}
				if r.complete+r.unknown == 0 {
					Expect(runs[id]).To(BeZero(), "%s: %s", id, r.last)
				}
			}
		}
	})
})

// breakSomething sets faults for the next requests.
func breakSomething(random *rand.Rand, t *table, f *fault.Faults) {
	one, refuse := 1, random.IntN(4) == 0
	c := fault.Change{RefuseAll: &refuse}
	switch random.IntN(6) {
	case 0:
		c.LoseAnswers = &one
	case 1:
		c.ForeignIDs = &one
	}
	f.Apply(c)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.out = random.IntN(8) == 0
	if random.IntN(4) == 0 {
		t.faults = append(t.faults, provider.ErrUnknown)
	}
}

// placeOrder sends one order and counts the outcomes: kind 0 is repeatable,
// 1 is not, and 2 has a key and is sent three times.
func placeOrder(random *rand.Rand, routers []*fixture, id string, kind int) told {
	method, attempts, headers := "PUT", 1, []string(nil)
	if kind > 0 {
		method = "POST"
	}
	if kind == 2 {
		attempts, headers = 3, []string{"Idempotency-Key", id}
	}
	var r told
	for range attempts {
		res, body := routers[random.IntN(2)].do(method, "/services/orders/", "request="+id, headers...)
		r.last += fmt.Sprint(res.StatusCode, " ", body, "\n")
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
