package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/emulator/storer"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/injector"
	"monsoondeck.example/platform/wire"
	"monsoondeck.example/reserver"
	"monsoondeck.example/sleeper"
)

// gatewayProgram is the name of the daemon under test.
const gatewayProgram = "monsoongate"

const (
	// dataCentres is the number of data centres of a fleet.
	dataCentres = 3
	// maxDaemonsWithPeerLinks is the largest number of daemons that reach each other
	// through links: a link takes two more descriptors for the connections of each
	// pair.
	maxDaemonsWithPeerLinks = 40
)

// fleet holds the daemons under test, the emulated store and targets, and the
// proxy links between them.
type fleet struct {
	directory string
	store     *storer.Store
	proxy     *injector.Proxy
	// targetLinks[i] leads to targets[i].
	targets     []*server.Server
	targetLinks []*injector.Link
	daemons     []*daemon
	starter     *launcher.Starter
	program     string
	options     Options
	log         io.Writer
	version     uint64
	// addressReleases release the reserved addresses of daemons and targets.
	addressReleases []func()
	// onCrash is called before a deadly request crashes a target.
	onCrash func(*server.Server)
	// mutex guards version.
	mutex sync.Mutex
}

const (
	// stopTimeout is the time from the stop signal to the kill signal.
	stopTimeout = 8 * time.Second
	// drainTimeout is the time after the start of a drain from which the target must
	// get no more requests.
	drainTimeout = 2 * time.Second
	// routeTimeout is the time limit of a request on every route.
	routeTimeout = 10 * time.Second
	maxAttempts  = 2
	hostName     = "soak.example"
)

// newFleet builds the daemon program if none is given, starts the emulated store
// and targets, and then the daemons. The clean-up function ends all of them.
func newFleet(ctx context.Context, o Options, log io.Writer) (*fleet, func(), error) {
	directory, err := os.MkdirTemp("", "monsoonsoak")
	if err != nil {
		return nil, nil, errors.Wrap(err, "create the working directory")
	}
	proxy, removeProxy := injector.New()
	f := &fleet{directory: directory, proxy: proxy, starter: launcher.NewStarter(), program: o.Program, options: o, log: log}
	f.store = storer.New()
	storeServer := &http.Server{Handler: f.store}
	cleanup := func() {
		f.stop()
		_ = storeServer.Close()
		removeProxy()
		f.starter.Close()
		for _, release := range f.addressReleases {
			release()
		}
		_ = os.RemoveAll(directory) // a temporary directory
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cleanup()
		return nil, nil, errors.Wrap(err, "listen for the emulated store")
	}
	go func() { _ = storeServer.Serve(l) }() // ends with Close
	if err := f.start(ctx, l.Addr().String()); err != nil {
		cleanup()
		return nil, nil, err
	}
	return f, cleanup, nil
}

// start starts the targets and the daemons; store is the address of the emulated
// store.
func (f *fleet) start(ctx context.Context, store string) error {
	if f.program == "" {
		path, err := launcher.BuildProgram(ctx, f.directory, gatewayProgram, f.log)
		if err != nil {
			return err
		}
		f.program = path
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	f.putNextVersion()
	addresses, err := f.reserve(4 * f.options.Processes)
	if err != nil {
		return err
	}
	aliases := map[string]string{}
	for i := range f.options.Processes {
		a := addresses[4*i : 4*i+4]
		d := &daemon{
			name: fmt.Sprintf("h-%d", i), dataCentre: dataCentre(i), fleet: f,
			callerAddress: a[0], readyAddress: a[1], peerAddress: a[2], metricsAddress: a[3], settingsPath: filepath.Join(f.directory, fmt.Sprintf("h-%d.conf", i)),
		}
		if d.storeLink, err = f.link(d.name+">store", store); err != nil {
			return err
		}
		if d.spareStoreLink, err = f.link(d.name+">store again", store); err != nil {
			return err
		}
		if f.options.Processes <= maxDaemonsWithPeerLinks {
			if d.peerLink, err = f.link("peers>"+d.name, d.peerAddress); err != nil {
				return err
			}
			aliases[d.peerAddress] = d.peerLink.Address()
		}
		f.daemons = append(f.daemons, d)
	}
	// Daemons register the address on which they listen. It is replaced by that of the
	// link, so that the other daemons connect through the link.
	f.store.Translate = func(r wire.Row) wire.Row {
		var entry wire.Daemon
		if r.Table != wire.DaemonsTable || json.Unmarshal(r.Payload, &entry) != nil {
			return r
		}
		if alias, ok := aliases[entry.Address]; ok {
			entry.Address = alias
			r.Payload = encode(entry)
		}
		return r
	}
	for _, d := range f.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// reserve reserves n addresses until the fleet is cleaned up.
func (f *fleet) reserve(n int) ([]string, error) {
	addresses, release, err := reserver.Addresses(n)
	if err != nil {
		return nil, err
	}
	f.addressReleases = append(f.addressReleases, release)
	return addresses, nil
}

func dataCentre(i int) string { return string(rune('a' + i%dataCentres)) }

func (f *fleet) link(name, address string) (*injector.Link, error) {
	return f.proxy.Add(name, "127.0.0.1:0", address)
}

// putNextVersion stores the next version of the configuration and returns its
// number. Each version has a route of its own, by which callers can tell which
// version a daemon uses.
func (f *fleet) putNextVersion() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version++
	c := wire.Configuration{Version: f.version, Limits: wire.Limits{
		HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, TokensPerSecond: 1e6,
	}}
	add := func(r route, objectiveMs, gapMs float64) {
		c.Routes = append(c.Routes, wire.Route{
			Name: r.name, Hostname: hostName, Prefix: "/" + r.name + "/", Kind: r.kind, Service: r.service, Resumable: r.resumable,
			TimeoutMs: float64(routeTimeout.Milliseconds()), ObjectiveMs: objectiveMs, EventGapMs: gapMs, MaxAttempts: maxAttempts,
		})
	}
	for _, r := range routes() {
		add(r, 2000, 2000)
	}
	if f.options.Silences > 0 {
		add(quickRoute, 1000, 600)
	}
	add(route{name: versionRoute(f.version), kind: wire.KindIdempotent, service: plainService}, 2000, 2000)
	c.Services = []wire.Service{
		{Name: engineService, HealthPath: "/health", ConnectionLimit: 500, Engine: &wire.Engine{Slots: engineSlots, MemoryTokens: 400000, EventTokens: 4}},
		{Name: plainService, HealthPath: "/health", ConnectionLimit: 500},
	}
	for i := range accountCount {
		c.Accounts = append(c.Accounts, wire.Tenant{Name: accountName(i), Keys: []string{accountKey(i)}})
	}
	f.store.Put(wire.ConfigTable, wire.ConfigKey, encode(c))
	return f.version
}

// latestVersion returns the number of the newest configuration version.
func (f *fleet) latestVersion() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

// versionRoute returns the name of the route that only this version has.
func versionRoute(version uint64) string { return fmt.Sprintf("v%d", version) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // wire types can always be encoded
	}
	return b
}

// awaitReady waits until all daemons report that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, d := range f.daemons {
		for !d.isReady() {
			if !sleeper.Sleep(ctx, 20*time.Millisecond) {
				return errors.Wrapf(ctx.Err(), "%s is not ready", d.name)
			}
			if p := d.currentProcess(); p == nil || !p.Alive() {
				return errors.Newf("%s exited before it was ready", d.name)
			}
		}
	}
	return nil
}

// stop kills all daemons and ends all targets.
func (f *fleet) stop() {
	var group sync.WaitGroup
	for _, d := range f.daemons {
		group.Go(d.kill)
	}
	group.Wait()
	for _, s := range f.targets {
		s.Crash()
	}
}
