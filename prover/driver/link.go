package driver

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/injector"
)

// LinkedTarget is the ID of the target that AddLinkedTarget adds.
const LinkedTarget = "desk-linked"

// AddLinkedTarget adds a target behind a link of its own and drains the other
// servers of the plain service until the end of the spec. Faults of the link can
// also reset connections and lose answers.
func (f *Fleet) AddLinkedTarget() *injector.Link {
	ginkgo.GinkgoHelper()
	proxy, remove := injector.New()
	t, ok := f.Config().Target("desk-1")
	gomega.Expect(ok).To(gomega.BeTrue())
	l, err := proxy.Add(LinkedTarget, "127.0.0.1:0", t.Address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	t.ID, t.Address = LinkedTarget, l.Address()
	f.Change(configurer.Delta{Author: "operator", PutTargets: []configurer.Target{t.WithState(configurer.StateActive)}})
	f.WaitVersion(f.SetTargetState(configurer.StateDraining, f.ServiceIDs()...), f.Daemons...)
	ginkgo.DeferCleanup(func() {
		f.SetTargetState(configurer.StateActive, f.ServiceIDs()...)
		f.WaitVersion(f.Change(configurer.Delta{Author: "operator", RemoveTargets: []string{LinkedTarget}}), f.Daemons...)
		remove()
	})
	return l
}
