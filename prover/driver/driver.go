// Package driver runs small fleets of real processes for the suites that check the
// invariants under failure. Its functions fail the current spec on an error.
package driver

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/hosts"
	"monsoondeck.example/generator/deployment"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
)

const (
	// Timeout is the longest wait for an event. It only ends a spec whose event
	// never comes, so a slow machine does not change a result: beside hundreds of
	// busy processes a daemon took more than a minute to start.
	Timeout = 4 * time.Minute
	// PollInterval is the time between two reads of a state that a spec waits for.
	PollInterval = 20 * time.Millisecond
	// FleetSecret is the secret that every daemon of the fleet needs.
	FleetSecret = "the secret of a fleet under test"
	// Platform is the name of the platform for CutDataCentre and ReconnectDataCentre.
	Platform = "platform"
	// Model is the name of the model and of the pool of the engines.
	Model = "tutor"
	// ServicePool is the pool of the servers of the plain service.
	ServicePool = "bookings"
)

// Fleet is a running fleet and the replies to all calls made to it.
type Fleet struct {
	*launcher.Fleet
	Deployment deployment.Deployment
	Programs   launcher.Programs

	client *http.Client

	mu           sync.Mutex
	replies      map[string][]Reply // by request ID
	extraDaemons []*ExtraDaemon
}

// smallDeployment returns a deployment with two data centres that have routers and
// a third one with targets only, which can be cut off without cutting off a router.
func smallDeployment() deployment.Deployment {
	d := deployment.Deployment{
		Name: "small", DataCentres: []string{"north", "south", "east"}, PeerDelay: time.Millisecond,
		Routers: []string{"north", "north", "south"}, Model: Model, ServicePool: ServicePool, Kinds: Kinds(),
	}
	for i, centre := range d.DataCentres {
		d.Engines = append(d.Engines, deployment.Engine{ID: fmt.Sprintf("engine-%d", i+1), DataCentre: centre, Slots: 8, Rate: 100})
		d.Services = append(d.Services, deployment.Service{ID: fmt.Sprintf("desk-%d", i+1), DataCentre: centre, Slots: 8})
	}
	for i := range 6 {
		id := fmt.Sprintf("account-%d", i+1)
		d.Accounts = append(d.Accounts, deployment.Account{ID: id, Key: "key-of-" + id, Share: 1, Role: deployment.RoleBacklogged})
	}
	return d
}

// Kinds returns the kinds of calls of the load.
func Kinds() []loader.Kind {
	return []loader.Kind{
		{Name: "chat", Pool: Model, Frequency: 4, Stream: true, MeanTokens: 20, MaxTokens: 80, PromptWords: 10},
		{Name: "tagging", Pool: Model, Frequency: 2, MeanTokens: 4, MaxTokens: 8, PromptWords: 10},
		{Name: "reservation", Pool: ServicePool, Frequency: 2, Service: true, Method: http.MethodPost, Path: "/reservations", Keyed: true, MeanDuration: 30 * time.Millisecond},
		{Name: "change", Pool: ServicePool, Frequency: 2, Service: true, Method: http.MethodPost, Path: "/changes", MeanDuration: 30 * time.Millisecond},
		{Name: "roster", Pool: ServicePool, Frequency: 2, Service: true, Method: http.MethodGet, Path: "/rosters", MeanDuration: 10 * time.Millisecond},
	}
}

// Build builds the programs and removes them at the end of the suite.
func Build() launcher.Programs {
	p, remove, err := launcher.Build(context.Background(), launcher.Programs{}, ginkgo.GinkgoWriter)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(remove)
	return p
}

// Start starts a fleet that ends with the Ginkgo node that called it. Settings are
// additional environment variables of all daemons.
func Start(p launcher.Programs, settings ...string) *Fleet {
	d := smallDeployment()
	f, stop, err := launcher.New(context.Background(), launcher.Options{
		Programs: p, Deployment: d, Policy: "fleet", Relayed: true, Log: ginkgo.GinkgoWriter,
		Settings: append([]string{"MONSOOND_FLEET_SECRET=" + FleetSecret}, settings...),
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(stop)
	return &Fleet{
		Fleet: f, Deployment: d, Programs: p, replies: map[string][]Reply{},
		// Every request has its own connection, so that no idle connection is
		// closed by a router while a request is being sent on it.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Heal ends all faults, starts daemons that have exited and waits until every
// daemon has the newest configuration.
func (f *Fleet) Heal() {
	f.killExtraDaemons()
	for _, d := range f.Daemons {
		d.Process().Continue()
		gomega.Expect(d.ReconnectOutgoing()).To(gomega.Succeed())
	}
	for _, centre := range append([]string{Platform}, f.Deployment.DataCentres...) {
		gomega.Expect(f.ReconnectDataCentre(centre)).To(gomega.Succeed())
	}
	f.clearFaults()
	for _, d := range f.Daemons {
		if !d.Process().Alive() {
			gomega.Expect(d.Start()).To(gomega.Succeed())
		}
	}
	f.WaitConverged()
}

func (f *Fleet) clearFaults() {
	none, zero, one, no := fault.OutageNone, 0, 1.0, false
	healthy := fault.Change{
		Outage: &none, LatencyMs: &zero, LoseAnswers: &zero, Slowdown: &one, BreakStreams: &zero,
		ForeignIDs: &zero, RefuseAll: &no, StaleReadMs: &zero,
	}
	gomega.Expect(f.SetPlatformFault(context.Background(), healthy)).To(gomega.Succeed())
	f.FaultTargets(healthy)
	gomega.Expect(f.SetHosts(context.Background(), []hosts.Host{})).To(gomega.Succeed())
}

// FaultTargets changes the faults of all targets.
func (f *Fleet) FaultTargets(c fault.Change) {
	f.FaultEngines(c)
	for _, s := range f.Deployment.Services {
		gomega.Expect(f.SetFault(context.Background(), emulator.KindService, s.ID, c)).To(gomega.Succeed())
	}
}

// FaultEngines changes the faults of all engines.
func (f *Fleet) FaultEngines(c fault.Change) {
	for _, e := range f.Deployment.Engines {
		gomega.Expect(f.SetFault(context.Background(), emulator.KindEngine, e.ID, c)).To(gomega.Succeed())
	}
}

// WaitConverged waits until every daemon is ready, knows all others and has the
// newest configuration that the driver knows.
func (f *Fleet) WaitConverged() {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	gomega.Expect(f.WaitReady(ctx)).To(gomega.Succeed())
	f.WaitVersion(f.Config().Version(), f.Daemons...)
}

// WaitVersion waits until daemons have a configuration version or a newer one.
func (f *Fleet) WaitVersion(version uint64, daemons ...*launcher.Daemon) {
	ginkgo.GinkgoHelper()
	for _, d := range daemons {
		gomega.Eventually(func() (uint64, error) {
			s, err := d.Status(context.Background())
			return s.ConfigVersion, err
		}, Timeout, PollInterval).Should(gomega.BeNumerically(">=", version), d.ID)
	}
}

// WaitMemberRemoved waits until a daemon no longer lists another one as a member.
func (f *Fleet) WaitMemberRemoved(by, member *launcher.Daemon) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() ([]string, error) {
		s, err := by.Status(context.Background())
		return s.Members, err
	}, Timeout, PollInterval).ShouldNot(gomega.ContainElement(member.ID))
}

// WaitQueued waits until at least n requests are queued at a daemon.
func (f *Fleet) WaitQueued(at *launcher.Daemon, n int) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() (int, error) {
		s, err := at.Status(context.Background())
		return s.Waiting, err
	}, Timeout, PollInterval).Should(gomega.BeNumerically(">=", n))
}
