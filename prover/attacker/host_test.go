package attacker_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/emulator/storer"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/platform/wire"
	"monsoondeck.example/reserver"
)

// Limits of the daemon under test. They are below those of real hosts, so that small
// crowds exceed them.
const (
	memoryMB        = 128
	descriptorLimit = 600
	headerBytes     = 16 << 10
	bodyBytes       = 1 << 20
	headerTimeoutMs = 1000
	idleTimeoutMs   = 2000
)

// Routes and services of the daemon under test. The target of the faulty service responds
// as the row says.
const (
	hostName      = "attacked.example"
	plainService  = "plain"
	faultyService = "faulty"
	plainPath     = "/plain/1"
	bulkPath      = "/bulk/1"
	streamPath    = "/stream/1"
	unknownPath   = "/unknown/1"
	// routeTimeout is the time limit of a request. It is above the time after which a
	// daemon gives up on callers that do not read.
	routeTimeout = 6 * time.Second
	// targetSlots is more than the daemon has requests in progress.
	targetSlots = 2000
)

// Listeners of the daemon under test.
const (
	callers = "callers"
	health  = "health"
	metrics = "metrics"
	peers   = "peers"
)

const (
	// readyTimeout limits the start and the end of a daemon.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two attempts of a request that must be answered.
	pollInterval = 10 * time.Millisecond
)

// host is a daemon under test with its store and targets.
type host struct {
	process *launcher.Process
	// addresses holds the address of each listener by its name.
	addresses map[string]string
	// targets holds the addresses of the targets.
	targets []string
	// errorOutput is what the process wrote to standard error.
	errorOutput *errorOutput
}

// startHost starts a daemon whose faulty target responds as given, and waits until it is
// ready. Everything ends with the spec.
func startHost(respond respondFunc) *host {
	addresses, release, err := reserver.Addresses(5)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(release)
	store := storer.New()
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	storeServer := &http.Server{Handler: store}
	go func() { _ = storeServer.Serve(storeListener) }() // ends with Close
	ginkgo.DeferCleanup(storeServer.Close)

	h := &host{errorOutput: &errorOutput{}, addresses: map[string]string{
		callers: addresses[0], health: addresses[1], peers: addresses[2], metrics: addresses[3],
	}}
	plain := server.New(server.Options{
		Name: "good", Service: plainService, DataCentre: "a", Address: addresses[4], Advertised: addresses[4], Slots: targetSlots, Registry: store,
	})
	gomega.Expect(plain.Start()).To(gomega.Succeed())
	ginkgo.DeferCleanup(plain.Crash)
	faulty := startFaultyTarget(respond)
	h.targets = []string{addresses[4], faulty}
	service, state := faultyService, wire.StateReady
	store.Put(wire.TargetsTable, "faulty-1", encode(wire.Target{Service: &service, Address: &faulty, DataCentre: "a", Slots: targetSlots, State: &state, Born: 1}))
	store.Put(wire.ConfigTable, wire.ConfigKey, encode(configuration()))

	directory, err := os.MkdirTemp("", "monsoonattacker")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = os.RemoveAll(directory) }) // a temporary directory
	settings := filepath.Join(directory, "local.conf")
	gomega.Expect(os.WriteFile(settings, []byte(h.settings(storeListener.Addr().String())), 0o600)).To(gomega.Succeed())
	_, port, err := net.SplitHostPort(h.addresses[metrics])
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	h.process, err = shared.starter.Run("attacked", shared.program, []string{"--metrics-port", port},
		// gctrace makes the runtime report the size of the heap at each collection.
		[]string{wire.SettingsVariable + "=" + settings, "GODEBUG=gctrace=1", "GOTRACEBACK=all"}, h.errorOutput, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(h.process.Kill)
	gomega.Eventually(func() error { return h.askHealth(time.Second) }, readyTimeout, pollInterval).Should(gomega.Succeed(), "the daemon does not become ready")
	return h
}

// settings returns the content of the settings file.
func (h *host) settings(store string) string {
	var text strings.Builder
	for _, s := range [][2]string{
		{wire.SettingHost, "h-0"}, {wire.SettingDataCentre, "a"}, {wire.SettingCallers, h.addresses[callers]}, {wire.SettingReady, h.addresses[health]},
		{wire.SettingPeers, h.addresses[peers]}, {wire.SettingStore, store}, {wire.SettingMemory, fmt.Sprint(memoryMB)}, {wire.SettingDescriptors, fmt.Sprint(descriptorLimit)},
		{wire.SettingStopWithin, "8"}, {wire.SettingDrainBound, "2000"}, {wire.SettingRetryRatio, "0.2"}, {wire.SettingRetryWindow, "10"}, {wire.SettingRetrySlack, "200"}, {wire.SettingShareWindow, "4"},
	} {
		text.WriteString(s[0] + "=" + s[1] + "\n")
	}
	return text.String()
}

// configuration returns the configuration of the daemon under test.
func configuration() wire.Configuration {
	c := wire.Configuration{Version: 1, Limits: wire.Limits{
		HeaderBytes: headerBytes, BodyBytes: bodyBytes, HeaderTimeoutMs: headerTimeoutMs, IdleTimeoutMs: idleTimeoutMs, TokensPerSecond: 1e6,
	}}
	for _, r := range [][3]string{
		{plainPath, wire.KindIdempotent, plainService}, {bulkPath, wire.KindIdempotent, faultyService}, {streamPath, wire.KindStreaming, faultyService},
	} {
		c.Routes = append(c.Routes, wire.Route{
			Name: r[0], Hostname: hostName, Prefix: r[0], Kind: r[1], Service: r[2], TimeoutMs: float64(routeTimeout.Milliseconds()), ObjectiveMs: 2000, EventGapMs: 2000, MaxAttempts: 1,
		})
	}
	for _, name := range []string{plainService, faultyService} {
		c.Services = append(c.Services, wire.Service{Name: name, HealthPath: "/health", ConnectionLimit: targetSlots})
	}
	return c
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // wire types can always be encoded
	}
	return b
}
