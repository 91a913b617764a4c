package driver_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/engine"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/table"
	"monsoondeck.example/emulator/weights"
	"monsoondeck.example/orderer"
	"monsoondeck.example/orderer/driver"
	"monsoondeck.example/provider"
)

func TestDriver(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "driver")
}

const eventuallyTimeout = 30 * time.Second

var clock = func(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Since(start) }
}(time.Now())

// fleet is an emulated platform whose engines are divided among owners.
type fleet struct {
	set     *emulator.Set
	targets []orderer.Target
}

func newFleet(engines int, ignore bool, models []string, store weights.Settings) (*fleet, func(), error) {
	s := emulator.Settings{
		Table:   &emulator.TableSettings{Listen: "127.0.0.1:0", Settings: table.Settings{ReadsPerSecond: 2000, WritesPerSecond: 500}},
		Weights: &emulator.WeightsSettings{Listen: "127.0.0.1:0", Settings: store},
	}
	for i := range engines {
		s.Engines = append(s.Engines, emulator.EngineSettings{Listen: "127.0.0.1:0", Settings: engine.Settings{
			ID: fmt.Sprintf("e%d", i), Model: "base", Slots: 1, TokensPerSecond: 100, IgnoreFence: ignore,
		}})
	}
	set, cleanup, err := emulator.New(s)
	f := &fleet{set: set}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		f.targets = append(f.targets, orderer.Target{ID: id, Address: set.Address(emulator.KindEngine, id), Models: models})
	}
	return f, cleanup, err
}

type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// source is a daemon's view of what it owns; while frozen, it does not renew.
type source struct {
	mu     sync.Mutex
	owned  orderer.Ownership
	frozen bool
}

func (s *source) Ownership() orderer.Ownership {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.frozen {
		s.owned.RenewedAt = clock()
	}
	return s.owned
}

func (s *source) set(targets []orderer.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned.Targets = targets
}

// startDriver starts a driver for every owners-th engine from the given rank.
func (f *fleet) startDriver(rank, owners int, limit float64) (*driver.Driver, *source, func()) {
	s := &source{owned: orderer.Ownership{Owners: owners, Rank: rank}}
	for i := rank; i < len(f.targets); i += owners {
		s.owned.Targets = append(s.owned.Targets, f.targets[i])
	}
	d, cleanup := driver.New(driver.Options{
		Settings: orderer.Settings{Owner: fmt.Sprintf("d%d/%d", rank, clock()), LoadsPerSecond: limit},
		Table:    provider.NewTable(provider.Options{URL: "http://" + f.set.Address(emulator.KindTable, "")}),
		Source:   s, Clock: clock,
	})
	return d, s, cleanup
}

func (f *fleet) loaded(models int) bool {
	for _, e := range f.set.Engines {
		if len(e.Load().Models) <= models { // the model "base" is always loaded
			return false
		}
	}
	return true
}

var _ = ginkgo.Describe("driver", func() {
	var f *fleet
	start := func(ignore bool) {
		var cleanup func()
		var err error
		f, cleanup, err = newFleet(2, ignore, []string{"a", "b"}, weights.Settings{LoadTime: 10 * time.Millisecond})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(cleanup)
	}
	allLoaded := func() bool { return f.loaded(2) }

	// Guards against models that stay missing after lost responses, an outage of the
	// table service or a restart of an engine, and against a result of
	// Serves that keeps requests from an engine that has the model.
	ginkgo.It("loads every model again after faults and restarts", func() {
		start(false)
		lost, outage, none := 3, fault.OutageAbort, fault.OutageNone
		for _, e := range f.set.Engines {
			e.Faults().Apply(fault.Change{LoseAnswers: &lost})
		}
		f.set.Table.Faults().Apply(fault.Change{Outage: &outage, LoseAnswers: &lost})
		d, _, stop := f.startDriver(0, 1, 0)
		defer stop()
		gomega.Eventually(func() bool { return d.Serves("e0", "a") }, eventuallyTimeout).Should(gomega.BeFalse())
		gomega.Consistently(allLoaded, time.Second).Should(gomega.BeFalse())
		f.set.Table.Faults().Apply(fault.Change{Outage: &none})
		gomega.Eventually(allLoaded, eventuallyTimeout).Should(gomega.BeTrue())
		gomega.Eventually(func() bool { return d.Serves("e0", "a") && d.Serves("e1", "b") }, eventuallyTimeout).Should(gomega.BeTrue())
		answer, err := http.Post("http://"+f.targets[0].Address+"/v1/control", "application/json", strings.NewReader(`{"restart":true}`))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(answer.Body.Close()).To(gomega.Succeed())
		gomega.Eventually(allLoaded, eventuallyTimeout).Should(gomega.BeTrue())
	})

	// Guards against a new owner that does not raise the fencing number or, where
	// engines ignore it, sends before a lease has passed.
	ginkgo.It("takes over with a higher fencing number, and after a lease where engines ignore it", func() {
		start(true)
		began := clock()
		_, s, stop := f.startDriver(0, 1, 0)
		defer stop()
		gomega.Eventually(allLoaded, eventuallyTimeout).Should(gomega.BeTrue())
		gomega.Expect(clock() - began).To(gomega.BeNumerically(">=", 3*time.Second))
		before := f.set.Engines["e0"].Load().Fence
		s.set(nil)
		f.targets[0].Models = []string{"a", "b", "c"}
		began = clock()
		_, _, stopNext := f.startDriver(0, 1, 0)
		defer stopNext()
		gomega.Eventually(func() int { return len(f.set.Engines["e0"].Load().Models) }, eventuallyTimeout).Should(gomega.Equal(4))
		gomega.Expect(clock() - began).To(gomega.BeNumerically(">=", 3*time.Second))
		gomega.Expect(f.set.Engines["e0"].Load().Fence).To(gomega.BeNumerically(">", before))
	})

	// Guards against an order that is sent although the process was paused past its
	// lease after the last decision, while the connection was made.
	ginkgo.It("checks the lease after the connection is open", func() {
		start(false)
		var pause atomic.Int64
		paused := func() time.Duration { return clock() + time.Duration(pause.Load()) }
		var ordering atomic.Bool
		transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if ordering.Load() {
				pause.Store(int64(time.Minute))
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}}
		client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			ordering.Store(r.Method == http.MethodPost)
			return transport.RoundTrip(r)
		})}
		s := &source{frozen: true, owned: orderer.Ownership{Owners: 1, RenewedAt: clock(), Targets: f.targets[:1]}}
		d, stop := driver.New(driver.Options{
			Settings: orderer.Settings{Owner: "d"}, Source: s, Clock: paused,
			Table:  provider.NewTable(provider.Options{URL: "http://" + f.set.Address(emulator.KindTable, "")}),
			Client: client,
		})
		gomega.Eventually(func() uint64 { return d.Stats().Failed }, eventuallyTimeout).Should(gomega.BeNumerically(">", 0))
		stop()
		gomega.Expect(d.Stats().Orders).To(gomega.BeNumerically(">", 0))
		gomega.Expect(f.set.Engines["e0"].Load().Fence).To(gomega.BeZero())
	})
})
