// Package gateway assembles the daemon that runs on a platform's hosts: the
// listeners for callers, health checks, peers and metrics around the control
// state, and the watch on the platform's store.
package gateway

import (
	"context"
	"crypto/rand"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/exchanger"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/recorder"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/settings"
	"monsoondeck.example/gateway/watcher"
	"monsoondeck.example/limiter"
	"monsoondeck.example/logger"
)

const (
	// heapShare is the part of the process limit that the heap may reach before the
	// collector works harder; stacks, buffers of the kernel and the program need the
	// rest.
	heapShare = 0.6
	// collectPercent lets the heap grow less than usual between two collections: memory
	// has a price, and the live heap is small.
	collectPercent = 60
	// bodyShare is the part of the process limit that bodies may take.
	bodyShare = 0.2
	// readShare is the part of the drain bound between two reads of the registry by a
	// daemon that reads it for the others, maxReadInterval the longest time: two readers
	// cost less than the reads of a large fleet whose knowledge grows old on the way.
	readShare       = 0.3
	maxReadInterval = 600 * time.Millisecond
	// staleShare is the part of the drain bound after which a daemon reads the registry
	// itself because nobody told it that its state is still the newest; a failed read
	// can be repeated within the bound.
	staleShare = 0.6
	// staleSpread spreads these reads over a part of the bound, so that the first ones
	// can tell the others.
	staleSpread = 0.1
	// toldShare is the part of the bound of a changed configuration for which a daemon
	// that was told the state of the store relies on being told of a change, and
	// toldBehind the part that a change may take to arrive once it has heard of one. A
	// read of the store takes some 100 ms.
	toldShare, toldBehind = 0.75, 0.3
	// trustShare is the part of the drain bound up to which the state of the registry is
	// trusted; the rest is for the way of a request to the target.
	trustShare = 0.85
	// probeTimeout bounds a probe; connections have a shorter bound of their own.
	probeTimeout = time.Second
	// changeDelay is how long a daemon that heard of a newer state of the registry
	// waits for the change before it reads the registry itself. The first change that a
	// daemon tells may need connections to all others.
	changeDelay = 400 * time.Millisecond
	// forgetAfter is how long a daemon must have been silent before its entry is
	// removed from the list of daemons.
	forgetAfter = 10 * time.Minute
	// sweepInterval is the time between two looks at unused connections.
	sweepInterval = time.Second
	// secretBytes is the length of the secret of the fleet.
	secretBytes = 32
)

// Options are the dependencies of a Gateway.
type Options struct {
	Settings settings.Settings
	Protocol receiver.Protocol
	Source   watcher.Source
	Policy   placer.Policy
	// Out gets the log.
	Out io.Writer
}

// Gateway is one daemon.
type Gateway struct {
	options     Options
	settings    settings.Settings
	logger      *slog.Logger
	start       time.Time
	incarnation uint64
	// fraction is between 0 and 1 and differs between daemons.
	fraction float64

	recorder   *recorder.Recorder
	controller *controller.Controller
	courier    *courier.Courier
	exchanger  *exchanger.Exchanger
	watcher    *watcher.Watcher
	receiver   *receiver.Receiver
	room       *room
	metrics    *metrics
	callers    *server
	guard      *guard
	others     []*server
	// hub is set once the secret of the fleet is known.
	hub atomic.Pointer[connector.Hub]
	// stopAt is the time at which the daemon ends, by clock; 0 unless it is stopping.
	stopAt atomic.Int64
}

// New opens the listeners and returns a Gateway and a function that closes
// everything. Errors: settings.ErrInvalid, and those of listening.
func New(o Options) (*Gateway, func(), error) {
	s := o.Settings.WithDefaults()
	if err := s.Validate(); err != nil {
		return nil, nil, err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryBytes)))
		debug.SetGCPercent(collectPercent)
	}
	g := &Gateway{options: o, settings: s, start: time.Now(), fraction: mathrand.Float64()}
	g.incarnation = uint64(g.start.UnixMicro())
	record, closeRecorder := recorder.New(o.Out)
	g.recorder = record
	g.logger = slog.New(slog.NewJSONHandler(record, nil)).With(slog.String("host", s.Host))
	g.assemble()
	closeServers, err := g.listen()
	if err != nil {
		closeRecorder()
		return nil, nil, err
	}
	return g, func() { closeServers(); closeRecorder() }, nil
}

// clock returns the monotonic time since the start.
func (g *Gateway) clock() time.Duration { return time.Since(g.start) }

func (g *Gateway) assemble() {
	s := g.settings
	g.exchanger = exchanger.New(g.options.Source, g.logger)
	g.controller = controller.New(controller.Options{
		DataCentre: s.DataCentre, Policy: g.options.Policy, Queue: queuer.DefaultSettings(), ShareWindow: s.ShareWindow,
		Host: s.Host, SendReport: g.exchanger.Send, SendRegistryChange: g.exchanger.SendChange, RefetchConfig: func() { g.watcher.RestartLongPolls() }, RequestConfig: g.exchanger.RequestConfig, SendConfig: g.exchanger.SendConfig, Probe: g.probe, ReportInterval: exchanger.ReportInterval,
		Peers: g.exchanger.Peers, Address: g.peerAddress, AddPeers: g.exchanger.AddPeers, Clock: g.clock, Logger: g.logger,
		MaxRegistryAge: time.Duration(trustShare * float64(s.DrainBound)),
	})
	g.courier, _ = courier.New() // unused connections end with the process
	g.watcher = watcher.New(watcher.Options{
		Source: g.options.Source, Sink: g.controller, Logger: g.logger,
		RegistryDue: g.registryDue, Role: g.role, Clock: g.clock,
	})
	g.room = newRoom(s.MemoryBytes, g.clock, g.logger)
	g.metrics = newMetrics(g)
	g.receiver = receiver.New(receiver.Options{
		Protocol: g.options.Protocol, Waiter: g.controller, Configs: g.controller, Carrier: g.courier,
		Retries: newRetries(s, g.clock, func() int { return len(g.exchanger.Peers()) }), Gate: g, Room: g.room, Left: callerLeft,
		Bodies:  limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: int64(bodyShare * float64(s.MemoryBytes))}),
		Logger:  recorder.Limit(g.logger, recorder.DefaultRate, g.clock),
		Observe: g.metrics.observe,
	})
}

// Stopping implements receiver.Gate.
func (g *Gateway) Stopping() (since, left time.Duration, stopping bool) {
	at, now := time.Duration(g.stopAt.Load()), g.clock()
	return now - (at - g.stopTime()), at - now, at != 0
}

// stopTime returns the time from the stop signal to the end of the daemon.
func (g *Gateway) stopTime() time.Duration { return g.settings.StopWithin - stopMargin }

// Run serves until the context ends or a stop is asked for, then stops
// gracefully. It returns the error of a listener that fails.
func (g *Gateway) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logger.Emit(g.logger, logger.DaemonStarted, slog.String("dataCentre", g.settings.DataCentre), slog.Uint64("incarnation", g.incarnation),
		slog.String("caller", g.settings.CallerAddress), slog.String("store", g.settings.StoreAddress))
	failed := make(chan error, len(g.others)+1)
	for _, s := range append(g.others, g.callers) {
		go func() { failed <- s.run() }()
	}
	go g.controller.Run(ctx)
	go g.watcher.WatchConfig(ctx)
	go g.watcher.WatchRegistry(ctx)
	go g.watchDaemons(ctx)
	go g.sweep(ctx)
	go g.room.run(ctx)
	select {
	case err := <-failed:
		logger.Emit(g.logger, logger.ListenerFailed, slog.String("error", err.Error()))
		return err
	case <-ctx.Done():
	case <-stop:
		g.stop()
	}
	return nil
}

// watchDaemons joins the fleet and exchanges reports with the other daemons.
func (g *Gateway) watchDaemons(ctx context.Context) {
	if g.settings.PeerAddress == "" {
		return
	}
	proposal := make([]byte, secretBytes)
	_, _ = rand.Read(proposal) // never fails
	g.watcher.WatchDaemons(ctx, g.self(), proposal, func(secret []byte) error {
		hub, _, err := connector.New(connector.Options{Self: g.settings.Host, Incarnation: g.incarnation, Secret: secret, Logger: g.logger})
		if err != nil {
			return err
		}
		g.hub.Store(hub)
		g.exchanger.SetHub(hub)
		go g.exchanger.Run(ctx, hub, g.controller)
		return nil
	}, g.setDaemons)
}

func (g *Gateway) self() watcher.Daemon {
	return watcher.Daemon{Host: g.settings.Host, DataCentre: g.settings.DataCentre, Address: g.settings.PeerAddress, Incarnation: g.incarnation}
}

// peerAddress returns the address of a daemon for its peers; empty if it is unknown.
func (g *Gateway) peerAddress(host string) string {
	if host == g.settings.Host {
		return g.settings.PeerAddress
	}
	return g.exchanger.Address(host)
}

// setDaemons takes the list of daemons and returns those that are gone for good.
func (g *Gateway) setDaemons(list []watcher.Daemon) []watcher.Daemon {
	var peers []connector.Peer
	var gone []watcher.Daemon
	reader := g.controller.Freshness().Reader
	for _, d := range list {
		if d.Host == g.settings.Host {
			continue
		}
		heard, known := g.controller.LastHeard(d.Host)
		if reader && g.clock() > forgetAfter && (!known || g.clock()-heard > forgetAfter) {
			gone = append(gone, d)
			continue
		}
		peers = append(peers, connector.Peer{ID: d.Host, Address: d.Address})
	}
	g.exchanger.SetPeers(peers)
	return gone
}

// registryDue returns the time until this daemon should read the registry.
func (g *Gateway) registryDue() time.Duration {
	f, now := g.controller.Freshness(), g.clock()
	// Daemons whose knowledge grows old at the same time do not all read.
	interval := time.Duration((staleShare + staleSpread*g.fraction) * float64(g.settings.DrainBound))
	if f.Reader {
		interval = min(time.Duration(readShare*float64(g.settings.DrainBound)), maxReadInterval)
	}
	due := f.RegistryConfirmedAt + interval - now
	if f.RegistryConfirmedAt == 0 {
		due = 0
	}
	if f.RegistryBehindSince > 0 {
		due = min(due, f.RegistryBehindSince+changeDelay-now)
	}
	return due
}

// role returns what other daemons do for this one.
func (g *Gateway) role() watcher.Role {
	f, now := g.controller.Freshness(), g.clock()
	follower := f.Grouped && !f.Reader
	within := func(since time.Duration, share float64) bool {
		return now-since < time.Duration(share*float64(g.settings.ConfigBound))
	}
	return watcher.Role{
		Follower:        follower,
		ConfigFromPeers: follower && f.ConfigConfirmedAt > 0 && within(f.ConfigConfirmedAt, toldShare) && (f.ConfigBehindSince == 0 || within(f.ConfigBehindSince, toldBehind)),
	}
}

// probe tries a connection to a target.
func (g *Gateway) probe(t registrar.Entry) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		g.controller.ProbeFinished(t.ID, g.courier.Probe(ctx, courier.Target{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation}))
	}()
}

// servePeer accepts connections of other daemons once the secret is known.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	hub := g.hub.Load()
	if hub == nil {
		http.Error(w, "the secret of the fleet is not known yet", http.StatusServiceUnavailable)
		return
	}
	hub.ServeHTTP(w, r)
}

// serveReady answers the balancer's health check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopAt.Load() != 0 || !g.controller.Ready() || g.room.resting.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweep closes connections that are unused for too long.
func (g *Gateway) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.courier.Sweep(func(courier.Target) bool { return true })
		if config, ok := g.controller.Current(); ok {
			g.callers.closeIdle(config.Limits().IdleTimeout)
		}
	}
}

// Reloaded takes settings that were read again, or the error of reading them.
// Addresses of listeners stay as they are until the next start.
func (g *Gateway) Reloaded(s settings.Settings, err error) {
	if err != nil {
		logger.Emit(g.logger, logger.SettingsUnreadable, slog.String("error", err.Error()))
		return
	}
	logger.Emit(g.logger, logger.SettingsReloaded, slog.String("store", s.StoreAddress))
}
