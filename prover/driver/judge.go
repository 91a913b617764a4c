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

// quiet is how long the targets must have begun nothing before their record is
// read. It gives faults time to show; a shorter time hides them but blames nobody.
const quiet = time.Second

// Executions returns what the targets have recorded.
func (f *Fleet) Executions() []oracle.Execution {
	ginkgo.GinkgoHelper()
	r, err := f.Record(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return r.Executions
}

// Runs returns how often the call with an id has begun to run.
func (f *Fleet) Runs(id string) int {
	n := 0
	for _, e := range f.Executions() {
		if e.CallerRequestID == id {
			n++
		}
	}
	return n
}

// Running waits until the call with an id runs.
func (f *Fleet) Running(id string) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() int { return f.Runs(id) }, Limit, Pause).Should(gomega.BeNumerically(">", 0), id)
}

// Quiet waits until the targets run nothing and begin nothing.
func (f *Fleet) Quiet() []oracle.Execution {
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
		return time.Since(since) >= quiet
	}, Limit, Pause).Should(gomega.BeTrue())
	return f.Executions()
}

// Judge compares what callers were told by Send and by loads with what the
// targets ran, and fails on wrong answers, double runs of calls that must not
// run twice and runs of calls whose every attempt was told that it did not run.
// It returns the counts for further checks.
func (f *Fleet) Judge(loads ...[]loader.Result) verifier.Counts {
	ginkgo.GinkgoHelper()
	executions := f.Quiet()
	results := f.results()
	for _, l := range loads {
		results = append(results, l...)
	}
	c := verifier.Compare(results, executions)
	gomega.Expect([]int{c.Wrong, c.Duplicated, c.FalseNotRun}).To(gomega.Equal([]int{0, 0, 0}),
		"wrong, duplicated, told notRun but ran: %v", c.Findings)
	return c
}

// results returns one result per call with the outcomes of its attempts.
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
				r.Wrong = errors.Newf("not the whole answer: %v, %.300q", x, x.Body)
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

// Produced waits until a call has received some units of service.
func (f *Fleet) Produced(id string, units float64) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() float64 {
		var sum float64
		for _, e := range f.Executions() {
			if e.CallerRequestID == id {
				sum += e.Units
			}
		}
		return sum
	}, Limit, Pause).Should(gomega.BeNumerically(">=", units), id)
}
