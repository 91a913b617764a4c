package stopper_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator/hosts"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/prover/driver"
)

const (
	// idleTime is how long a target must have begun nothing to count as drained.
	idleTime = 2 * time.Second
	// watchTime is the least time for which a drained target is then watched.
	watchTime = 3 * time.Second
	// drainedTarget is the target that the specs drain.
	drainedTarget = "desk-1"
)

// countStarts returns the number of calls that a target has begun, and those of all
// other targets of the plain service.
func countStarts(f *driver.Fleet, target string) (at, others int) {
	for _, e := range f.Executions() {
		switch {
		case e.Target == target:
			at++
		case e.Pool == driver.ServicePool:
			others++
		}
	}
	return at, others
}

// describeState lists the executions of the targets, with times since the given
// one, and the state of the daemons, for the message of a failed spec.
func describeState(f *driver.Fleet, since time.Time) string {
	var b strings.Builder
	for _, e := range f.Executions() {
		fmt.Fprintf(&b, "\n%s %s as %s: arrived %v, began %v, ended %v", e.Target, e.CallerRequestID, e.RequestID,
			e.Arrived.Sub(since), e.Start.Sub(since), e.End.Sub(since))
	}
	for _, d := range f.Daemons {
		s, err := launcher.ReadStatus(context.Background(), d.Admin)
		fmt.Fprintf(&b, "\n%s: incarnation %x, version %d (%v)", d.ID, s.Incarnation, s.ConfigVersion, err)
	}
	return b.String()
}

// expectNoNewWork waits until a target gets no new work, then checks that it gets
// none while other targets do. Only driver.Timeout limits the first wait.
func expectNoNewWork(f *driver.Fleet, target string) {
	ginkgo.GinkgoHelper()
	last, since := -1, time.Now()
	gomega.Eventually(func() bool {
		if at, _ := countStarts(f, target); at != last {
			last, since = at, time.Now()
		}
		return time.Since(since) >= idleTime
	}, driver.Timeout, driver.PollInterval).Should(gomega.BeTrue(), "%s still gets new work", target)
	before, others := countStarts(f, target)
	began := time.Now()
	// The others may get no work until the shards of a lost daemon have moved.
	gomega.Eventually(func() bool {
		after, othersAfter := countStarts(f, target)
		gomega.Expect(after-before).To(gomega.BeZero(), "%s gets new work again: %s", target, describeState(f, began))
		return othersAfter > others && time.Since(began) >= watchTime
	}, driver.Timeout, driver.PollInterval).Should(gomega.BeTrue(), "the others get no work")
}

// waitNewWork waits until a target gets new work.
func waitNewWork(f *driver.Fleet, target string) {
	ginkgo.GinkgoHelper()
	before, _ := countStarts(f, target)
	gomega.Eventually(func() int {
		at, _ := countStarts(f, target)
		return at
	}, driver.Timeout, driver.PollInterval).Should(gomega.BeNumerically(">", before), "%s gets no work", target)
}

var _ = ginkgo.Describe("P6: a target that is leaving receives no new work", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() {
		f.SetTargetState(configurer.StateActive, f.ServiceIDs()...)
		f.Heal()
	})

	ginkgo.It("guards against new work after a drain by configuration, and against cut work, while a daemon is killed", func() {
		stop := f.StartLoad("drain", 2)
		waitNewWork(f, drainedTarget)
		c := driver.Call{ID: "in-flight", Method: http.MethodPost, Duration: 4 * time.Second}
		var waiting []<-chan driver.Reply
		for n := range 6 {
			c.ID = fmt.Sprintf("in-flight-%d", n)
			waiting = append(waiting, f.SendAsync(f.Daemons[1+n%2].Caller, c))
		}
		f.SetTargetState(configurer.StateDraining, drainedTarget)
		f.Daemons[0].Process().Kill()
		expectNoNewWork(f, drainedTarget)
		for _, w := range waiting {
			r := <-w
			gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v", r)
		}
		f.SetTargetState(configurer.StateActive, drainedTarget)
		waitNewWork(f, drainedTarget)
		f.Verify(stop())
	})

	ginkgo.It("guards against new work for a host that the host list marks as leaving, and against none after it came back", func() {
		stop := f.StartLoad("leaving", 2)
		waitNewWork(f, drainedTarget)
		t, _ := f.Config().Target(drainedTarget)
		setHostState := func(state string, incarnation uint64) {
			gomega.Expect(f.SetHosts(context.Background(), []hosts.Host{
				{Address: t.Address, DataCentre: t.DataCentre, Role: "target", State: state, Incarnation: incarnation},
			})).To(gomega.Succeed())
		}
		setHostState("leaving", 1)
		expectNoNewWork(f, drainedTarget)
		setHostState("live", 2)
		waitNewWork(f, drainedTarget)
		// A stale list still marks the old host as leaving while the configuration
		// names the new incarnation.
		setHostState("leaving", 3)
		expectNoNewWork(f, drainedTarget)
		t.Incarnation = 4
		f.Change(configurer.Delta{Author: "operator", PutTargets: []configurer.Target{t}})
		waitNewWork(f, drainedTarget)
		f.Verify(stop())
	})

	ginkgo.It("guards against new work from a daemon that cannot reach the platform", func() {
		const nowhere = "http://127.0.0.1:1"
		x := f.StartExtraDaemon("isolated", "south", "MONSOOND_TABLE_URL="+nowhere, "MONSOOND_OBJECTS_URL="+nowhere, "MONSOOND_HOSTS_URL="+nowhere)
		stop := f.StartLoadAt("isolated", 2, x.Caller)
		waitNewWork(f, drainedTarget)
		f.SetTargetState(configurer.StateDraining, drainedTarget)
		expectNoNewWork(f, drainedTarget)
		f.SetTargetState(configurer.StateActive, drainedTarget)
		waitNewWork(f, drainedTarget)
		f.Verify(stop())
	})

	ginkgo.It("guards against new work from a data centre that was cut off during the drain and has rejoined", func() {
		gomega.Expect(f.CutDataCentre("south")).To(gomega.Succeed())
		f.WaitMemberRemoved(f.Daemons[0], f.Daemons[2])
		version := f.SetTargetState(configurer.StateDraining, drainedTarget)
		f.WaitVersion(version, f.Daemons[:2]...)
		gomega.Expect(f.ReconnectDataCentre("south")).To(gomega.Succeed())
		stop := f.StartLoadAt("rejoined", 2, f.Daemons[2].Caller)
		expectNoNewWork(f, drainedTarget)
		f.Verify(stop())
	})
})
