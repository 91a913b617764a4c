package driver

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/generator/verifier"
)

// idleTime is how long the targets must have begun nothing before their record is
// read. A shorter time may miss late faults but never reports a false one.
const idleTime = time.Second

// Executions returns the executions that the targets have recorded.
func (f *Fleet) Executions() []oracle.Execution {
	ginkgo.GinkgoHelper()
	r, err := f.ReadRecord(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return r.Executions
}

// CountRuns returns how many runs of the call with an ID have begun.
func (f *Fleet) CountRuns(id string) int {
	n := 0
	for _, e := range f.Executions() {
		if e.CallerRequestID == id {
			n++
		}
	}
	return n
}

// WaitRunning waits until a run of the call with an ID has begun.
func (f *Fleet) WaitRunning(id string) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() int { return f.CountRuns(id) }, Timeout, PollInterval).Should(gomega.BeNumerically(">", 0), id)
}

// WaitIdle waits until the targets have run and begun nothing for idleTime, and
// returns all executions.
func (f *Fleet) WaitIdle() []oracle.Execution {
	ginkgo.GinkgoHelper()
	last, since := -1, time.Now()
	gomega.Eventually(func() bool {
		list := f.Executions()
		for _, e := range list {
			if e.State == oracle.StateRunning {
				last = -1
				return false
			}
		}
		if len(list) != last {
			last, since = len(list), time.Now()
		}
		return time.Since(since) >= idleTime
	}, Timeout, PollInterval).Should(gomega.BeTrue())
	return f.Executions()
}

// Verify compares the replies to calls and the results of loads with what the
// targets ran. It fails on wrong answers, on repeated runs of calls that are not
// repeatable, and on runs of calls whose every attempt was reported as not run or
// never sent. It returns the counts for further checks.
func (f *Fleet) Verify(loads ...[]loader.Result) verifier.Counts {
	ginkgo.GinkgoHelper()
	executions := f.WaitIdle()
	results := f.results()
	for _, l := range loads {
		results = append(results, l...)
	}
	c := verifier.Compare(results, executions)
	gomega.Expect([]int{c.Wrong, c.Duplicated, c.FalseNotRun}).To(gomega.Equal([]int{0, 0, 0}),
		"wrong, duplicated, reported notRun but ran: %v", c.Findings)
	return c
}

// results returns one result per call ID with the outcomes of all attempts.
func (f *Fleet) results() []loader.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []loader.Result
	for id, replies := range f.replies {
		r := loader.Result{ID: id, Outcome: loader.OutcomeUnsent}
		for _, x := range replies {
			r.Key, r.Account = x.Call.Key, x.Call.account()
			r.Repeatable = x.Call.repeatable()
			r.Outcomes = append(r.Outcomes, x.Outcome)
			if r.Outcome != loader.OutcomeComplete {
				r.Outcome, r.Status = x.Outcome, x.Status
			}
			if x.Outcome == loader.OutcomeComplete && x.Status == 200 && !x.Whole() {
				r.Wrong = errors.Newf("incomplete answer: %v, %.300q", x, x.Body)
			}
		}
		out = append(out, r)
	}
	return out
}

func (c Call) repeatable() bool {
	return c.Key == "" && c.Ticket == "" && !c.Once && c.Method != "POST"
}

// Metric returns the sum of a counter over all daemons.
func (f *Fleet) Metric(name string) float64 {
	ginkgo.GinkgoHelper()
	var sum float64
	for _, d := range f.Daemons {
		res, err := http.Get("http://" + d.Admin + "/metrics")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		lines := bufio.NewScanner(res.Body)
		for lines.Scan() {
			if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
				value, err := strconv.ParseFloat(text, 64)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				sum += value
			}
		}
		gomega.Expect(lines.Err()).NotTo(gomega.HaveOccurred())
		_ = res.Body.Close()
	}
	return sum
}

// WaitProduced waits until the targets have produced some units of service for the
// call with an ID.
func (f *Fleet) WaitProduced(id string, units float64) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() float64 {
		var sum float64
		for _, e := range f.Executions() {
			if e.CallerRequestID == id {
				sum += e.Units
			}
		}
		return sum
	}, Timeout, PollInterval).Should(gomega.BeNumerically(">=", units), id)
}
