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

// renameAccount commits a new name of account-1 and returns the version.
func renameAccount(f *driver.Fleet, name string) uint64 {
	ginkgo.GinkgoHelper()
	a, _ := f.Config().Account("account-1")
	a.Name = name
	return f.Change(configurer.Delta{Author: "operator", PutAccounts: []configurer.Account{a}})
}

// staleReadTime is long enough for every poller to read the platform a few times.
const staleReadTime = 3 * time.Second

// snapshotInterval is the number of changes between two snapshots.
const snapshotInterval = 200

var _ = ginkgo.Describe("P8: an accepted configuration is in force everywhere and never reverts", ginkgo.Ordered, func() {
	var f *driver.Fleet
	var reverted func() []string
	ginkgo.BeforeEach(func() { f = shared.fleet; reverted = f.WatchVersions() })
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
				renameAccount(f, fmt.Sprintf("kill-%d-%d", n, m))
			}
			gomega.Expect(d.Start()).To(gomega.Succeed())
			renameAccount(f, fmt.Sprintf("kill-%d-last", n))
			gomega.Expect(muted.ReconnectOutgoing()).To(gomega.Succeed())
			f.WaitConverged()
		}
	})

	ginkgo.It("guards against an older version that a data centre brings back after a cut, and against one that stops serving", func() {
		south := f.Daemons[2]
		before := f.Config().Version()
		gomega.Expect(f.CutDataCentre("south")).To(gomega.Succeed())
		f.WaitMemberRemoved(f.Daemons[0], south)
		f.WaitVersion(renameAccount(f, "during the cut"), f.Daemons[:2]...)
		s, err := south.Status(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.ConfigVersion).To(gomega.Equal(before))
		// Calls to a target beyond the cut hang, because the proxy keeps connections
		// open. The others must be served.
		served := make(chan driver.Reply, 12)
		var group sync.WaitGroup
		for n := range cap(served) {
			group.Go(func() { served <- f.Send(south.Caller, driver.StreamCall(fmt.Sprintf("in-the-cut-%d", n), 5)) })
		}
		gomega.Expect((<-served).Whole()).To(gomega.BeTrue())
		gomega.Expect(f.ReconnectDataCentre("south")).To(gomega.Succeed())
		group.Wait()
		f.WaitConverged()
		f.Verify()
	})

	ginkgo.It("guards against stale reads of the table service, also by a daemon that starts without memory", func() {
		stale, fresh := 15000, 0
		for n, d := range f.Daemons[:2] {
			for m := range 5 {
				renameAccount(f, fmt.Sprintf("stale-%d-%d", n, m))
			}
			f.WaitVersion(f.Config().Version(), f.Daemons...)
			gomega.Expect(f.SetFault(context.Background(), emulator.KindTable, "", fault.Change{StaleReadMs: &stale})).To(gomega.Succeed())
			d.Process().Kill()
			gomega.Expect(d.Start()).To(gomega.Succeed())
			time.Sleep(staleReadTime)
			f.WaitConverged()
			gomega.Expect(f.SetFault(context.Background(), emulator.KindTable, "", fault.Change{StaleReadMs: &fresh})).To(gomega.Succeed())
		}
	})

	ginkgo.It("guards against a lost or doubled change when two operators race through monsoonctl", func() {
		tool := f.NewCLI("haruka", "ren")
		for n := range 4 {
			verb := []string{"drain", "undrain"}[n%2]
			// The command that lost the last race has not changed its target, so every
			// round sets the state that it starts from.
			from := []configurer.State{configurer.StateActive, configurer.StateDraining}[n%2]
			f.SetTargetState(from, "desk-1", "desk-2")
			lost := 2 * (n / 2)
			gomega.Expect(f.SetFault(context.Background(), emulator.KindTable, "", fault.Change{LoseAnswers: &lost})).To(gomega.Succeed())
			before := f.Config().Version()
			var codes [2]int
			var group sync.WaitGroup
			for i, operator := range []string{"haruka", "ren"} {
				group.Go(func() { codes[i] = tool.Run(operator, "target", verb, fmt.Sprintf("desk-%d", i+1), "--yes") })
			}
			group.Wait()
			none := 0
			gomega.Expect(f.SetFault(context.Background(), emulator.KindTable, "", fault.Change{LoseAnswers: &none})).To(gomega.Succeed())
			gomega.Expect(f.Reload(context.Background())).To(gomega.Succeed())
			accepted := 0
			for i, code := range codes {
				t, _ := f.Config().Target(fmt.Sprintf("desk-%d", i+1))
				done := t.State == map[string]configurer.State{"drain": configurer.StateDraining, "undrain": configurer.StateActive}[verb]
				switch code {
				case 0:
					gomega.Expect(done).To(gomega.BeTrue(), "%s of desk-%d was accepted but is not in force", verb, i+1)
					accepted++
				case 3: // conflict with the other operator's change
				default:
					// Only with lost answers may the tool fail or not know the outcome.
					gomega.Expect(lost).To(gomega.BeNumerically(">", 0), "exit code %d", code)
				}
			}
			gomega.Expect(f.Config().Version() - before).To(gomega.BeNumerically(">=", accepted))
			if lost == 0 {
				gomega.Expect(accepted).To(gomega.BeNumerically(">=", 1), "both operators lost")
				gomega.Expect(f.Config().Version() - before).To(gomega.BeEquivalentTo(accepted))
			}
			f.WaitConverged()
		}
		f.SetTargetState(configurer.StateActive, f.ServiceIDs()...)
	})

	ginkgo.It("guards against a changed configuration or none during a platform outage, also in a daemon that starts during it", func() {
		version := renameAccount(f, "before the outage")
		f.WaitConverged()
		for _, outage := range []fault.Outage{fault.OutageRefuse, fault.OutageHang} {
			gomega.Expect(f.SetPlatformFault(context.Background(), fault.Change{Outage: &outage})).To(gomega.Succeed())
			f.Daemons[0].Process().Kill()
			gomega.Expect(f.Daemons[0].Start()).To(gomega.Succeed())
			f.WaitVersion(version, f.Daemons...)
			r := f.Send(f.Daemons[0].Caller, driver.StreamCall("outage-"+string(outage), 5))
			gomega.Expect(r.Whole()).To(gomega.BeTrue(), "%v", r)
			f.Heal()
		}
		f.Verify()
	})

	ginkgo.It("guards against a lost configuration when the newest snapshot is damaged and all daemons lose their memory", func() {
		for n := range snapshotInterval + 10 {
			renameAccount(f, fmt.Sprintf("change-%d", n))
		}
		f.WaitConverged()
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
		f.WaitConverged()
	})
})
