package driver

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/injector"
)

// Linked is the target whose connections go through the link of Link.
const Linked = "desk-linked"

// Link adds a target behind a link of its own, whose faults also reset
// connections and lose answers, and drains the other servers of the plain
// service until the end of the spec.
func (f *Fleet) Link() *injector.Link {
	ginkgo.GinkgoHelper()
	proxy, remove := injector.New()
	t, ok := f.Config().Target("desk-1")
	gomega.Expect(ok).To(gomega.BeTrue())
	l, err := proxy.Add(Linked, "127.0.0.1:0", t.Address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	t.ID, t.Address = Linked, l.Address()
	f.Change(configurer.Delta{Author: "operator", PutTargets: []configurer.Target{t.WithState(configurer.StateActive)}})
	f.InForce(f.SetState(configurer.StateDraining, f.Desks()...), f.Daemons...)
	ginkgo.DeferCleanup(func() {
		f.SetState(configurer.StateActive, f.Desks()...)
		f.InForce(f.Change(configurer.Delta{Author: "operator", RemoveTargets: []string{Linked}}), f.Daemons...)
		remove()
	})
	return l
}
