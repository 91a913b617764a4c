// Package router assembles and runs a daemon: the listeners for callers, other
// daemons and operators, and the controller that schedules requests.
package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/connector"
	"monsoondeck.example/deduplicator"
	"monsoondeck.example/detector"
	"monsoondeck.example/limiter"
	"monsoondeck.example/logger"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
	"monsoondeck.example/router/administrator"
	"monsoondeck.example/router/authenticator"
	"monsoondeck.example/router/claimer"
	"monsoondeck.example/router/controller"
	"monsoondeck.example/router/dispatcher"
	"monsoondeck.example/router/locator"
	"monsoondeck.example/router/poller"
	"monsoondeck.example/router/receiver"
	"monsoondeck.example/router/settings"
)

// ErrAborted is returned by Daemon.Run after a stop that aborted requests in flight.
var ErrAborted = errors.New("daemon was stopped before its requests had ended")

// Daemon is a router with its listeners.
type Daemon struct {
	settings      settings.Settings
	logger        *slog.Logger
	controller    *controller.Controller
	poller        *poller.Poller
	configFetcher *configFetcher
	caller        *server
	peer          *server
	admin         *server
	// stopping is set when the graceful stop begins.
	stopping atomic.Bool
	// active counts the callers' requests in flight.
	active atomic.Int64
	// connections tracks the connections of the caller listener.
	connections connectionTracker
}

// New opens the listeners and returns a daemon and a function that closes it. The
// function does not wait for requests in flight, only for results of requests with
// an idempotency key that are still being stored. The settings must be valid.
func New(s settings.Settings, l *slog.Logger) (*Daemon, func(), error) {
	s = s.WithDefaults()
	d := &Daemon{settings: s, logger: l}
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	for _, step := range []func() (func(), error){d.openListeners, d.assemble} {
		cleanupStep, err := step()
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		cleanups = append(cleanups, cleanupStep)
	}
	return d, cleanup, nil
}

func (d *Daemon) openListeners() (func(), error) {
	d.caller, d.peer, d.admin = &server{name: "caller"}, &server{name: "peer"}, &server{name: "admin"}
	closeAll := func() {
		for _, s := range []*server{d.caller, d.peer, d.admin} {
			s.close()
		}
	}
	for s, address := range map[*server]string{d.caller: d.settings.CallerAddress, d.peer: d.settings.PeerAddress, d.admin: d.settings.AdminAddress} {
		if err := s.listen(address); err != nil {
			closeAll()
			return nil, err
		}
	}
	return closeAll, nil
}

// assemble builds the components of the daemon and returns a function that closes
// them.
func (d *Daemon) assemble() (func(), error) {
	start := time.Now()
	incarnation := uint64(start.UnixMicro())
	random := rand.New(rand.NewPCG(incarnation, rand.Uint64()))
	advertise := d.settings.Advertise
	if advertise == d.settings.PeerAddress {
		advertise = d.peer.address() // resolves port 0
	}
	hub, closeHub, err := connector.New(connector.Options{
		Self: d.settings.ID, Incarnation: incarnation, Secret: []byte(d.settings.FleetSecret), Logger: d.logger,
		// The peer listener does not serve before the controller is set, so no
		// connection can be lost earlier.
		OnPeerLost: func(id string) { d.controller.PeerLost(id) },
	})
	if err != nil {
		return nil, err
	}
	self := detector.Member{ID: d.settings.ID, Address: advertise, DataCentre: d.settings.DataCentre, Incarnation: incarnation}
	d.controller = controller.New(d.controlOptions(self, hub, random, start))
	d.poller = d.newPoller(random)
	auth := authenticator.New(d.settings.ID, []byte(d.settings.FleetSecret), time.Now)
	d.configFetcher = newConfigFetcher(d.controller, auth)
	dispatch, closeDispatch := dispatcher.New(dispatcher.Options{Incarnation: incarnation})
	claims, closeClaims := claimer.New(claimer.Options{Table: provider.NewTable(provider.Options{URL: d.settings.TableURL})})
	callers := d.trackRequests(receiver.New(receiver.Options{
		Waiter: d.controller, ConfigSource: d.controller, Dispatcher: dispatch, RetryBudget: newRetryBudgets(),
		Claimer: claims, Tickets: claimer.NewTickets(deduplicator.TicketSettings{Incarnation: incarnation}),
		IssuerResolver: issuerResolver{d.controller, auth}, Incarnation: incarnation, Logger: d.logger,
	}))
	d.caller.setHTTPServer(receiver.NewServer(callers, d.logger))
	d.connections.attach(d.caller.http)
	d.peer.setHTTPServer(receiver.NewServer(peerHandler(hub, callers, d.controller, auth), d.logger))
	d.admin.setHTTPServer(&http.Server{ReadHeaderTimeout: adminHeaderTimeout, Handler: administrator.New(administrator.Options{
		ControlState: d.controller, HubStats: hub.Stats, DispatcherStats: dispatch.Stats, Ready: d.ready,
		ID: d.settings.ID, DataCentre: d.settings.DataCentre, Incarnation: incarnation,
	})})
	stopEngineOrders := d.startEngineOrders(incarnation, sinceStart(start))
	return func() { stopEngineOrders(); closeHub(); closeClaims(); closeDispatch() }, nil
}

// sinceStart returns the monotonic clock that the controller and the engine orders
// share. It counts from start.
func sinceStart(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Since(start) }
}

func (d *Daemon) controlOptions(self detector.Member, hub *connector.Hub, random *rand.Rand, start time.Time) controller.Options {
	members := detector.New(self, detector.Settings{}, random)
	members.AddSeeds(d.settings.SeedList())
	timing := controller.DefaultTiming()
	timing.MaxWait = d.settings.MaxWait
	return controller.Options{
		Self: self, Membership: members, Policy: locator.Policy(d.settings.Policy), Timing: timing,
		PlatformOnly: d.settings.Bootstrap == settings.BootstrapPlatform,
		Admission:    limiter.AdmissionSettings{AccountRequests: d.settings.QueueLimit, AccountBytes: d.settings.QueueBytes},
		Concurrency:  limiter.ConcurrencySettings{FirstToken: d.settings.FirstToken, TokenInterval: d.settings.TokenInterval},
		Hub:          hub, Logger: d.logger, Random: random,
		Clock: sinceStart(start),
	}
}

func (d *Daemon) newPoller(random *rand.Rand) *poller.Poller {
	configSource := committer.New(committer.Options{
		Table:   provider.NewTable(provider.Options{URL: d.settings.TableURL}),
		Objects: provider.NewObjects(provider.Options{URL: d.settings.ObjectsURL}),
		Warn:    func(err error) { logger.Emit(d.logger, logger.SnapshotUnreadable, slog.String("error", err.Error())) },
	})
	delay := poller.BootstrapDelay(random)
	if d.settings.Bootstrap == settings.BootstrapPlatform {
		delay = 0
	}
	var hosts poller.Hosts
	if d.settings.HostsURL != "" {
		hosts = provider.NewHosts(provider.Options{URL: d.settings.HostsURL})
	}
	return poller.New(d.settings.ID, configSource, hosts, d.controller, d.logger, delay)
}

func (d *Daemon) ready() bool {
	_, configured := d.controller.Current()
	return configured && !d.stopping.Load()
}

// trackRequests counts the requests in flight. Once the daemon is stopping, it sends
// Connection: close with every HTTP/1.1 response.
func (d *Daemon) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.active.Add(1)
		defer d.active.Add(-1)
		d.connections.requestStarted(r)
		if d.stopping.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Addresses returns the addresses of the caller, peer and admin listeners.
func (d *Daemon) Addresses() (caller, peer, admin string) {
	return d.caller.address(), d.peer.address(), d.admin.address()
}

// Run serves until it receives from stop, then stops gracefully. A second value on
// stop ends the daemon at once; Run then returns ErrAborted if requests were in
// flight. Run also ends if the context ends or a listener fails.
func (d *Daemon) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 3)
	for _, s := range []*server{d.admin, d.peer, d.caller} {
		go func() { failed <- s.run() }()
	}
	controllerDone := make(chan struct{})
	go func() { defer close(controllerDone); d.controller.Run(ctx) }()
	go d.poller.Run(ctx)
	go d.configFetcher.run(ctx, d.bootstrapSeeds())
	caller, peer, _ := d.Addresses()
	logger.Emit(d.logger, logger.DaemonStarted, slog.String("daemon", d.settings.ID),
		slog.String("dataCentre", d.settings.DataCentre), slog.String("caller", caller), slog.String("peer", peer))
	var err error
	select {
	case err = <-failed:
		logger.Emit(d.logger, logger.ListenerFailed, slog.String("error", err.Error()))
	case <-ctx.Done():
	case <-stop:
		err = d.stop(stop)
	}
	cancel()
	<-controllerDone
	return err
}

// bootstrapSeeds returns the peer addresses at which to fetch a configuration at the
// start; none if the platform is to be asked first.
func (d *Daemon) bootstrapSeeds() []string {
	if d.settings.Bootstrap == settings.BootstrapPlatform {
		return nil
	}
	return d.settings.SeedList()
}

// adminHeaderTimeout bounds the time to receive the headers of a request on the
// admin listener.
const adminHeaderTimeout = 10 * time.Second
