package stopper_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/prover/driver"
)

// waitExited waits until the process of a daemon has exited.
func waitExited(d *launcher.Daemon) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(d.Process().Done(), driver.Timeout).Should(gomega.BeClosed(), d.ID)
}

// queuedConnections returns how many connections to put into the accept queue: so many
// that the daemon cannot accept them all by chance, but within the kernel's limit.
func queuedConnections() int {
	const maxConnections = 3500
	text, err := os.ReadFile("/proc/sys/net/core/somaxconn")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	limit, err := strconv.Atoi(strings.TrimSpace(string(text)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return min(maxConnections, limit/2+limit/4)
}

var _ = ginkgo.Describe("P7: a planned stop cuts no request in flight", ginkgo.Ordered, func() {
	var f *driver.Fleet
	ginkgo.BeforeEach(func() { f = shared.fleet })
	ginkgo.AfterEach(func() { f.Heal() })

	ginkgo.It("guards against cut requests while daemons are stopped and started one after another under load", func() {
		stop := f.StartLoad("rolling", 3)
		for _, d := range f.Daemons {
			d.Process().Terminate()
			waitExited(d)
			gomega.Expect(d.Start()).To(gomega.Succeed())
			f.WaitConverged()
		}
		counts := f.Verify(stop())
		gomega.Expect(counts.Broken).To(gomega.BeZero(), "%v", counts.Findings)
		gomega.Expect(counts.Completed).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("guards against cut streams that last longer than the lame-duck time, when all daemons stop during a platform outage", func() {
		var waiting []<-chan driver.Reply
		for n := range 6 {
			c := driver.StreamCall(fmt.Sprintf("long-%d", n), 900)
			waiting = append(waiting, f.SendAsync(f.Daemons[n%3].Caller, c))
			f.WaitProduced(c.ID, 10)
		}
		hang := fault.OutageHang
		gomega.Expect(f.SetPlatformFault(context.Background(), fault.Change{Outage: &hang})).To(gomega.Succeed())
		for _, d := range f.Daemons {
			d.Process().Terminate()
		}
		for _, w := range waiting {
			r := <-w
			gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v", r)
		}
		for _, d := range f.Daemons {
			waitExited(d)
		}
		f.Verify()
	})

	ginkgo.It("guards against reset connections that wait in the accept queue when the signal arrives, also without a lame-duck time", func() {
		for _, lameDuck := range []string{"0s", "1s"} {
			x := f.StartExtraDaemon("stopping-"+lameDuck, "north", "MONSOOND_LAME_DUCK="+lameDuck)
			var calls []driver.Call
			for n := range queuedConnections() {
				c := driver.Call{ID: fmt.Sprintf("queued-%s-%d", lameDuck, n), Method: http.MethodGet, Duration: time.Millisecond}
				if n%50 != 0 {
					c.Account = "nobody" // refused at once, which keeps the spec short
				}
				calls = append(calls, c)
			}
			x.Signal(syscall.SIGSTOP)
			read := f.QueueRequests(x.Caller, calls)
			x.Signal(syscall.SIGTERM)
			x.Signal(syscall.SIGCONT)
			for _, r := range read() {
				gomega.Expect(r.Err).NotTo(gomega.HaveOccurred(), "%v", r)
				gomega.Expect(r.Outcome).To(gomega.BeElementOf(loader.OutcomeComplete, loader.OutcomeNotRun), "%v", r)
			}
			gomega.Eventually(x.Done(), driver.Timeout).Should(gomega.BeClosed())
			gomega.Expect(x.ExitCode()).To(gomega.BeZero())
		}
		f.Verify()
	})

	ginkgo.It("guards against a stop that a second signal does not end, and against one that hides what it cut", func() {
		x := f.StartExtraDaemon("aborted", "north")
		c := driver.StreamCall("aborted", 3000)
		waiting := f.SendAsync(x.Caller, c)
		f.WaitProduced(c.ID, 10)
		x.Signal(syscall.SIGTERM)
		gomega.Eventually(func() (bool, error) {
			s, err := launcher.ReadStatus(context.Background(), x.Admin)
			return s.Ready, err
		}, driver.Timeout, driver.PollInterval).Should(gomega.BeFalse())
		x.Signal(syscall.SIGTERM)
		r := <-waiting
		gomega.Expect(r.Err).To(gomega.HaveOccurred())
		gomega.Eventually(x.Done(), driver.Timeout).Should(gomega.BeClosed())
		gomega.Expect(x.ExitCode()).To(gomega.Equal(1))
		gomega.Expect(x.Log()).To(gomega.ContainSubstring("cut=1"))
		f.FaultEngines(fault.Change{Restart: true})
		f.Verify()
	})
})
