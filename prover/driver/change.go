package driver

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/generator/loader"
)

// SetTargetState changes the state of targets and returns the accepted version.
func (f *Fleet) SetTargetState(s configurer.State, ids ...string) uint64 {
	ginkgo.GinkgoHelper()
	d := configurer.Delta{Author: "operator"}
	for _, id := range ids {
		t, ok := f.Config().Target(id)
		gomega.Expect(ok).To(gomega.BeTrue(), id)
		d.PutTargets = append(d.PutTargets, t.WithState(s))
	}
	return f.Change(d)
}

// Change commits a change of the configuration and returns its version.
func (f *Fleet) Change(d configurer.Delta) uint64 {
	ginkgo.GinkgoHelper()
	version, err := f.Commit(context.Background(), d, "change")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return version
}

// ServiceIDs returns the IDs of the servers of the plain service.
func (f *Fleet) ServiceIDs() []string {
	var out []string
	for _, s := range f.Deployment.Services {
		out = append(out, s.ID)
	}
	return out
}

// loadRound is the length of one run of a load. Loads end between rounds, because
// cancelling a run cuts its open requests.
const loadRound = time.Second

// StartLoad starts a load of all accounts through all routers. The returned
// function ends it and returns its results.
func (f *Fleet) StartLoad(name string, workers int) (stop func() []loader.Result) {
	ginkgo.GinkgoHelper()
	return f.StartLoadAt(name, workers, f.Callers()...)
}

// StartLoadAt starts a load of all accounts through some routers.
func (f *Fleet) StartLoadAt(name string, workers int, routers ...string) (stop func() []loader.Result) {
	ginkgo.GinkgoHelper()
	var accounts []loader.Account
	for _, a := range f.Deployment.Accounts {
		accounts = append(accounts, loader.Account{
			ID: a.ID, Key: a.Key, Share: a.Share, Routers: routers, Fallback: routers, Kinds: f.Deployment.Kinds, Workers: workers,
		})
	}
	return f.StartLoadOf(name, accounts)
}

// StartLoadOf starts a load of some accounts. The name makes request IDs and
// idempotency keys unique among the loads of a fleet.
func (f *Fleet) StartLoadOf(name string, accounts []loader.Account) (stop func() []loader.Result) {
	ginkgo.GinkgoHelper()
	ended := make(chan struct{})
	done := make(chan []loader.Result, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		var all []loader.Result
		for n := 0; ; n++ {
			select {
			case <-ended:
				done <- all
				return
			default:
				all = append(all, runRound(fmt.Sprintf("%s-%d", name, n), accounts)...)
			}
		}
	}()
	end := sync.OnceFunc(func() { close(ended) })
	ginkgo.DeferCleanup(end)
	return func() []loader.Result { end(); return <-done }
}

func runRound(name string, accounts []loader.Account) []loader.Result {
	accounts = slices.Clone(accounts)
	for i := range accounts {
		accounts[i].ID = name + "-" + accounts[i].ID
	}
	l, cleanup, err := loader.New(loader.Settings{Accounts: accounts, Seed: 1, Deadline: Timeout})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer cleanup()
	return l.Run(context.Background(), loadRound)
}
