package router_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/engine"
	"monsoondeck.example/emulator/objects"
	"monsoondeck.example/emulator/service"
	"monsoondeck.example/emulator/table"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
	"monsoondeck.example/router"
	"monsoondeck.example/router/settings"
)

func TestRouter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "router")
}

const (
	callerKey   = "key-of-forge-a"
	fleetSecret = "a secret that the whole fleet shares"
	testTimeout = 30 * time.Second
)

// deployment is a set of emulated targets and platform services, with daemons in
// front of them.
type deployment struct {
	emulators       *emulator.Set
	configCommitter *committer.Committer
	daemons         []*router.Daemon
	// stopSignals holds one channel for each daemon; a value is a stop signal.
	stopSignals []chan struct{}
}

func newDeployment() *deployment {
	set, cleanup, err := emulator.New(emulator.Settings{
		Table:    &emulator.TableSettings{Listen: "127.0.0.1:0", Settings: table.Settings{ReadsPerSecond: 2000, WritesPerSecond: 500}},
		Objects:  &emulator.ObjectsSettings{Listen: "127.0.0.1:0", Settings: objects.Settings{ReadsPerSecond: 2000, WritesPerSecond: 500}},
		Engines:  []emulator.EngineSettings{{Listen: "127.0.0.1:0", Settings: engine.Settings{ID: "engine-1", Model: "quotes", Slots: 4, TokensPerSecond: 500}}},
		Services: []emulator.ServiceSettings{{Listen: "127.0.0.1:0", Settings: service.Settings{ID: "desk-1", Name: "orders", Slots: 2}}},
		Oracle:   "127.0.0.1:0",
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(cleanup)
	return &deployment{emulators: set, configCommitter: committer.New(committer.Options{
		Table:   provider.NewTable(provider.Options{URL: "http://" + set.Address("table", "")}),
		Objects: provider.NewObjects(provider.Options{URL: "http://" + set.Address("objects", "")}),
	})}
}

// startDaemon starts one more daemon. Its seed is the first daemon of the
// deployment, if there is one.
func (d *deployment) startDaemon(id string) *router.Daemon {
	s := settings.Settings{
		ID: id, DataCentre: "dc1", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		TableURL: "http://" + d.emulators.Address("table", ""), ObjectsURL: "http://" + d.emulators.Address("objects", ""),
		FleetSecret: fleetSecret, Policy: "fleet", QueueLimit: 100, QueueBytes: 1 << 20, MaxWait: testTimeout,
		EngineOrders: true, WeightLoads: 100, StopTimeout: testTimeout, FirstToken: 10 * time.Second, TokenInterval: time.Second,
	}
	if len(d.daemons) > 0 {
		_, s.Seeds, _ = d.daemons[0].Addresses()
	}
	daemon, cleanup, err := router.New(s, slog.New(slog.DiscardHandler))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d.daemons = append(d.daemons, daemon)
	stop := make(chan struct{}, 1)
	d.stopSignals = append(d.stopSignals, stop)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = daemon.Run(ctx, stop) }()
	ginkgo.DeferCleanup(func() { cancel(); <-done; cleanup() })
	return daemon
}

// configure commits a configuration with the client account and the emulated
// targets.
func (d *deployment) configure() {
	_, _, err := d.configCommitter.Commit(context.Background(), configurer.Config{}, configurer.Delta{
		ID: "first", Author: "test",
		PutAccounts: []configurer.Account{{ID: "forge-a", Name: "Forge A", Share: 1, Pools: []string{"quotes", "orders"}, KeyHashes: []string{configurer.KeyHash(callerKey)}}},
		PutTargets: []configurer.Target{
			{ID: "engine-1", DataCentre: "dc1", Address: d.emulators.Address("engine", "engine-1"), Kind: configurer.KindEngine, Pools: []string{"quotes", "tags"}, Slots: 4, State: configurer.StateActive},
			{ID: "desk-1", DataCentre: "dc1", Address: d.emulators.Address("service", "desk-1"), Kind: configurer.KindService, Pools: []string{"orders"}, Slots: 2, State: configurer.StateActive},
		},
	}, "test")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// call sends one request through the daemon and returns the response and its body.
func call(daemon *router.Daemon, path, body string) (*http.Response, string) {
	caller, _, _ := daemon.Addresses()
	r, err := http.NewRequest(http.MethodPost, "http://"+caller+path, strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response, string(responseBody)
}

const streamRequestBody = `{"model":"quotes","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"a rowing machine"}]}`

var _ = ginkgo.Describe("daemon", func() {
	// Guards against a model that the configuration names and no engine loads, also
	// after a restart of the engine.
	ginkgo.It("orders the engine to load its models", func() {
		d := newDeployment()
		d.configure()
		for _, id := range []string{"r1", "r2"} {
			d.startDaemon(id)
		}
		e := d.emulators.Engines["engine-1"]
		gomega.Eventually(func() []string { return e.Load().Models }, testTimeout).Should(gomega.ConsistOf("quotes", "tags"))
		response, err := http.Post("http://"+d.emulators.Address("engine", "engine-1")+"/v1/control", "application/json", strings.NewReader(`{"restart":true}`))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.Body.Close()).To(gomega.Succeed())
		gomega.Eventually(func() []string { return e.Load().Models }, testTimeout).Should(gomega.ConsistOf("quotes", "tags"))
	})

	// Guards against a daemon that serves requests before it knows the accounts.
	ginkgo.It("responds with 503 and notRun without a configuration", func() {
		response, _ := call(newDeployment().startDaemon("r1"), "/v1/chat/completions", streamRequestBody)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(response.Header.Get("Monsoondeck-Outcome")).To(gomega.Equal("notRun"))
	})

	// Guards against request ids that do not reach the controller, without which
	// operators cannot look up a request.
	ginkgo.It("returns the history of a request by its id", func() {
		d := newDeployment()
		d.configure()
		daemon := d.startDaemon("r1")
		var id string
		gomega.Eventually(func() int {
			response, _ := call(daemon, "/services/orders/stock", "{}")
			id = response.Header.Get("X-Request-Id")
			return response.StatusCode
		}, testTimeout).Should(gomega.Equal(http.StatusOK))
		_, _, admin := daemon.Addresses()
		response, err := http.Get("http://" + admin + "/v1/requests/" + id)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		responseBody, err := io.ReadAll(response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(responseBody)).To(gomega.ContainSubstring(`"target":"desk-1"`))
	})

	// Guards against a fault anywhere on the path from caller to target.
	ginkgo.It("serves model and service requests through every daemon", func() {
		d := newDeployment()
		d.configure()
		for _, id := range []string{"r1", "r2", "r3"} {
			daemon := d.startDaemon(id)
			gomega.Eventually(func() int {
				response, _ := call(daemon, "/services/orders/stock", "{}")
				return response.StatusCode
			}, testTimeout).Should(gomega.Equal(http.StatusOK))
			response, body := call(daemon, "/v1/chat/completions", streamRequestBody)
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
			gomega.Expect(body).To(gomega.ContainSubstring("[DONE]"))
			gomega.Expect(response.Trailer.Get("Monsoondeck-Outcome")).To(gomega.Equal("complete"))
		}
	})
})
