package inspector_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/prover/driver"
	"monsoondeck.example/provider"
)

// rename changes the name of an account and returns the version.
func rename(f *driver.Fleet, name string) uint64 {
	ginkgo.GinkgoHelper()
	a, _ := f.Config().Account("account-1")
	a.Name = name
	return f.Change(configurer.Delta{Author: "operator", PutAccounts: []configurer.Account{a}})
}

// staleReads is the time in which every poller reads the platform a few times.
const staleReads = 3 * time.Second

// snapshotsEvery is the number of changes between snapshots.
const snapshotsEvery = 200

var _ = ginkgo.Describe("P8: an accepted configuration is in force everywhere and never reverts", ginkgo.Ordered, func() {
	var f *driver.Fleet
	var reverted func() []string
	ginkgo.BeforeEach(func() { f = shared.fleet; reverted = f.Watch() })
	ginkgo.AfterEach(func() {
		f.Heal()
		gomega.Expect(reverted()).To(gomega.BeEmpty())
	})

	ginkgo.It("guards against older versions after kills and one-way cuts while changes are made", func() {
		for n, d := range f.Daemons {
			muted := f.Daemons[(n+1)%3]
			gomega.Expect(muted.CutOutgoing()).To(gomega.Succeed())
			d.Process().Kill()
			for m := range 5 {
				rename(f, fmt.Sprintf("kill-%d-%d", n, m))
			}
			gomega.Expect(d.Start()).To(gomega.Succeed())
			rename(f, fmt.Sprintf("kill-%d-last", n))
			gomega.Expect(muted.JoinOutgoing()).To(gomega.Succeed())
			f.Settle()
		}
	})

	ginkgo.It("guards against an older version that a data centre brings back after a cut, and against one that stops serving", func() {
		south := f.Daemons[2]
		before := f.Config().Version()
		gomega.Expect(f.CutDataCentre("south")).To(gomega.Succeed())
		f.Forgotten(f.Daemons[0], south)
		f.InForce(rename(f, "during the cut"), f.Daemons[:2]...)
		s, err := south.Status(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.ConfigVersion).To(gomega.Equal(before))
		// Calls that are sent to a target beyond the cut wait there, because the
		// proxy keeps connections open; the others must be served.
		served := make(chan driver.Reply, 12)
		var group sync.WaitGroup
		for n := range cap(served) {
			group.Go(func() { served <- f.Send(south.Caller, driver.Stream(fmt.Sprintf("in-the-cut-%d", n), 5)) })
		}
		gomega.Expect((<-served).Whole()).To(gomega.BeTrue())
		gomega.Expect(f.JoinDataCentre("south")).To(gomega.Succeed())
		group.Wait()
		f.Settle()
		f.Judge()
	})

	ginkgo.It("guards against stale reads of the table service, also by a daemon that starts without memory", func() {
		stale, fresh := 15000, 0
		for n, d := range f.Daemons[:2] {
			for m := range 5 {
				rename(f, fmt.Sprintf("stale-%d-%d", n, m))
			}
			f.InForce(f.Config().Version(), f.Daemons...)
			gomega.Expect(f.Fault(context.Background(), emulator.KindTable, "", fault.Change{StaleReadMs: &stale})).To(gomega.Succeed())
			d.Process().Kill()
			gomega.Expect(d.Start()).To(gomega.Succeed())
			time.Sleep(staleReads)
			f.Settle()
			gomega.Expect(f.Fault(context.Background(), emulator.KindTable, "", fault.Change{StaleReadMs: &fresh})).To(gomega.Succeed())
		}
	})

	ginkgo.It("guards against a lost or doubled change when two operators race through monsoonctl", func() {
		tool := f.NewTool("haruka", "ren")
		for n := range 4 {
			verb := []string{"drain", "undrain"}[n%2]
			// A command that lost the last race has not changed its target, so every
			// round starts from a known state.
			from := []configurer.State{configurer.StateActive, configurer.StateDraining}[n%2]
			f.SetState(from, "desk-1", "desk-2")
			lost := 2 * (n / 2)
			gomega.Expect(f.Fault(context.Background(), emulator.KindTable, "", fault.Change{LoseAnswers: &lost})).To(gomega.Succeed())
			before := f.Config().Version()
			var codes [2]int
			var group sync.WaitGroup
			for i, operator := range []string{"haruka", "ren"} {
				group.Go(func() { codes[i] = tool.Run(operator, "target", verb, fmt.Sprintf("desk-%d", i+1), "--yes") })
			}
			group.Wait()
			none := 0
			gomega.Expect(f.Fault(context.Background(), emulator.KindTable, "", fault.Change{LoseAnswers: &none})).To(gomega.Succeed())
			gomega.Expect(f.Reload(context.Background())).To(gomega.Succeed())
			accepted := 0
			for i, code := range codes {
				t, _ := f.Config().Target(fmt.Sprintf("desk-%d", i+1))
				done := t.State == map[string]configurer.State{"drain": configurer.StateDraining, "undrain": configurer.StateActive}[verb]
				switch code {
				case 0:
					gomega.Expect(done).To(gomega.BeTrue(), "%s of desk-%d was accepted but is not in force", verb, i+1)
					accepted++
				case 3: // told of the other operator's change
				default:
					// With lost answers the tool may fail or not know; never without.
					gomega.Expect(lost).To(gomega.BeNumerically(">", 0), "exit code %d", code)
				}
			}
			gomega.Expect(f.Config().Version() - before).To(gomega.BeNumerically(">=", accepted))
			if lost == 0 {
				gomega.Expect(accepted).To(gomega.BeNumerically(">=", 1), "both operators lost")
				gomega.Expect(f.Config().Version() - before).To(gomega.BeEquivalentTo(accepted))
			}
			f.Settle()
		}
		f.SetState(configurer.StateActive, f.Desks()...)
	})

	ginkgo.It("guards against a changed configuration or none during a platform outage, also in a daemon that starts during it", func() {
		version := rename(f, "before the outage")
		f.Settle()
		for _, outage := range []fault.Outage{fault.OutageRefuse, fault.OutageHang} {
			gomega.Expect(f.FaultPlatform(context.Background(), fault.Change{Outage: &outage})).To(gomega.Succeed())
			f.Daemons[0].Process().Kill()
			gomega.Expect(f.Daemons[0].Start()).To(gomega.Succeed())
			f.InForce(version, f.Daemons...)
			r := f.Send(f.Daemons[0].Caller, driver.Stream("outage-"+string(outage), 5))
			gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v", r)
			f.Heal()
		}
		f.Judge()
	})

	ginkgo.It("guards against a lost configuration when the newest snapshot is damaged and all daemons lose their memory", func() {
		for n := range snapshotsEvery + 10 {
			rename(f, fmt.Sprintf("change-%d", n))
		}
		f.Settle()
		keys, err := provider.NewObjects(provider.Options{URL: f.URL(emulator.KindObjects, "")}).List(context.Background(), "config/snapshot/")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(keys).NotTo(gomega.BeEmpty())
		r, err := http.NewRequest(http.MethodPut, f.URL(emulator.KindObjects, "")+"/v1/objects/"+keys[len(keys)-1], bytes.NewReader([]byte("damaged")))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		res, err := http.DefaultClient.Do(r)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(res.Body.Close()).To(gomega.Succeed())
		gomega.Expect(res.StatusCode).To(gomega.Equal(http.StatusNoContent))
		for _, d := range f.Daemons {
			d.Process().Kill()
		}
		for _, d := range f.Daemons {
			gomega.Expect(d.Start()).To(gomega.Succeed())
		}
		f.Settle()
	})
})
