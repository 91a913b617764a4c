// Package gateway assembles the daemon that runs on a platform's hosts: the control
// state, the listeners for callers, health checks, peers and metrics, and the
// watcher of the platform's store.
package gateway

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/connector"
	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/exchanger"
	"monsoondeck.example/gateway/meter"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/prober"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/recorder"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/settings"
	"monsoondeck.example/gateway/tallier"
	"monsoondeck.example/gateway/watcher"
	"monsoondeck.example/limiter"
	"monsoondeck.example/logger"
)

const (
	// heapLimitShare is the part of the process memory limit near which the garbage
	// collector works harder. Stacks, kernel buffers and the program need the rest.
	heapLimitShare = 0.6
	// gcPercent is below the default of 100, so that the heap grows less between two
	// collections: memory has a price, and the live heap is small.
	gcPercent = 60
	// evacuationAgeShare is the part of the evacuation bound up to which their state is used
	// to send requests.
	evacuationAgeShare = 0.85
	// registryAgeShare is the part of the drain bound up to which the state of the
	// registry is used to send requests. The rest is for the transmission of a request
	// to the target.
	registryAgeShare = 0.85
	// probeTimeout limits a probe; opening a connection has a shorter limit of its
	// own.
	probeTimeout = time.Second
	// daemonExpiry is how long a daemon must have been silent before its entry is
	// removed from the list of daemons.
	daemonExpiry = 10 * time.Minute
	// sweepInterval is the time between two checks for unused connections.
	sweepInterval = time.Second
	// secretBytes is the length of the fleet secret.
	secretBytes = 32
)

// Source reads and writes the platform's store.
type Source interface {
	watcher.Source
	watcher.QuarantineStore
	watcher.VersionStore
}

// Protocol translates between the header fields of the platform and the types of the gateway.
type Protocol interface {
	receiver.Protocol
	// FindKey returns the key that authenticates the client account in the header of a
	// request as it was received; empty if there is none.
	FindKey(header []byte) string
}

// Options are the dependencies of a Gateway.
type Options struct {
	Settings settings.Settings
	Protocol Protocol
	Source   Source
	Policy   placer.Policy
	// SplitPrompts sends long and short prompts to different engines in large services.
	SplitPrompts bool
	// Out receives the log.
	Out io.Writer
}

// Gateway is one daemon of the fleet.
type Gateway struct {
	options  Options
	settings settings.Settings
	logger   *slog.Logger
	start    time.Time
	// incarnation is the start time in microseconds since the Unix epoch, so that it
	// increases with each start. If the clock went back since an earlier start, it is raised
	// above the one that peers have seen.
	incarnation atomic.Uint64
	// jitter is a random number between 0 and 1 that spreads the registry reads of the
	// daemons.
	jitter float64

	recorder     *recorder.Writer
	controller   *controller.Controller
	courier      *courier.Client
	prober       *prober.Prober
	exchanger    *exchanger.Exchanger
	watcher      *watcher.Watcher
	receiver     *receiver.Handler
	overload     *overloadMonitor
	tally        *tallier.Tallier
	metrics      *metrics
	callerServer *server
	gate         *connectionGate
	listener     *sheddingListener
	// readmitted has the connections of callers that were refused first.
	readmitted *readmittedListener
	// memory is the account of the memory that callers and targets make the process hold,
	// meter charges it with the connections of callers.
	memory *limiter.Admission
	meter  *meter.Meter
	// stalledEnded counts the transfers that were ended because memory was short.
	stalledEnded atomic.Int64
	otherServers []*server
	// hub is nil until the fleet secret is known.
	hub atomic.Pointer[connector.Hub]
	// evacuationReadAt is the time, by clock, of the last read of the registry because of
	// the age of the evacuations. Only registryDue uses it.
	evacuationReadAt time.Duration
	// stopAt is the time, by clock, at which the daemon ends; 0 unless it is stopping.
	stopAt atomic.Int64
	// ending ends when the requests in progress must end; endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc
	// fleetKnown is set once the list of daemons has been read.
	fleetKnown atomic.Bool
}

// New opens the listeners and returns a Gateway and a function that closes the
// listeners and the log. It returns settings.ErrInvalid for invalid settings, or
// the error of a listener.
func New(o Options) (*Gateway, func(), error) {
	s := o.Settings.WithDefaults()
	if err := s.Validate(); err != nil {
		return nil, nil, err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapLimitShare * float64(s.MemoryBytes)))
		debug.SetGCPercent(gcPercent)
	}
	g := &Gateway{options: o, settings: s, start: time.Now(), jitter: mathrand.Float64()}
	g.incarnation.Store(uint64(g.start.UnixMicro()))
	g.ending, g.endRequests = context.WithCancel(context.Background())
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

// clock returns the monotonic time since the start of the daemon.
func (g *Gateway) clock() time.Duration { return time.Since(g.start) }

func (g *Gateway) assemble() {
	s := g.settings
	g.exchanger = exchanger.New(g.options.Source, g.logger)
	g.controller = controller.New(controller.Options{
		DataCentre: s.DataCentre, Regions: s.Regions, Policy: g.options.Policy, SplitPrompts: g.options.SplitPrompts, Queue: queuer.DefaultSettings(), ShareWindow: s.ShareWindow,
		Host: s.Host, SendReport: g.exchanger.Send, SendRegistryChange: g.exchanger.SendChange, RefetchConfig: func() { g.watcher.RestartLongPolls() }, NoticeEra: func(era uint64) { g.watcher.NoticeEra(era) }, RequestConfig: g.exchanger.RequestConfig, SendConfig: g.exchanger.SendConfig, Probe: g.probe, ReportInterval: exchanger.ReportInterval,
		Peers: g.exchanger.Peers, Address: s.PeerAddress, AddPeers: g.exchanger.AddPeers, Clock: g.clock, Logger: g.logger,
		MaxRegistryAge:   time.Duration(registryAgeShare * float64(s.DrainBound)),
		MaxEvacuationAge: time.Duration(evacuationAgeShare * float64(s.EvacuationBound)),
		Cold:             placer.ColdBounds{Bounded: s.ColdBounded, Overshoot: s.ColdOvershoot, Tolerance: s.ColdTolerance},
		ServiceWanted:    func() bool { return g.overload.refusedShare() > 0 },
		FleetKnown:       func() bool { return s.PeerAddress == "" || g.fleetKnown.Load() },
	})
	g.courier, _ = courier.New() // the process ends without closing unused connections
	g.prober = prober.New(prober.Options{Client: g.courier, Protocol: g.options.Protocol})
	g.watcher = watcher.New(watcher.Options{
		Source: g.options.Source, Sink: g.controller, Logger: g.logger,
		QuarantineStore: g.options.Source, QuarantineSink: g.controller, VersionStore: g.options.Source, VersionSink: g.controller,
		RegistryDue: g.registryDue, Role: g.role, Clock: g.clock,
	})
	g.overload = newOverloadMonitor(hostSize{memoryBytes: s.MemoryBytes, descriptors: s.Descriptors, cores: s.Cores}, g.controller, g.clock, g.logger)
	g.memory = newMemory(s)
	g.tally = tallier.New(maxTalliedAccounts)
	g.meter = g.newMeter()
	g.metrics = newMetrics(g)
	g.receiver = receiver.New(receiver.Options{
		Protocol: g.options.Protocol, Permits: g.controller, StreamOrigins: g.controller, Configs: g.controller, TargetClient: g.courier, TargetChecker: g.prober,
		RetryBudget: newRetryBudgets(s, g.clock, func() int { return len(g.exchanger.Peers()) }), ShutdownState: g, LoadShedder: g.overload, Tally: g.tally, Arrived: arrived, CallerDisconnected: callerLeft, ResetOnClose: resetOnClose,
		Memory: g.memory, ChargeHeader: chargeHeader,
		Clock:   g.clock,
		Logger:  recorder.Limit(g.logger, recorder.DefaultRate, g.clock),
		Observe: g.metrics.observe,
	})
}

// Stopping implements receiver.ShutdownState.
func (g *Gateway) Stopping() (since, left time.Duration, stopping bool) {
	at, now := time.Duration(g.stopAt.Load()), g.clock()
	return now - (at - g.stopTime()), at - now, at != 0
}

// Ending implements receiver.ShutdownState.
func (g *Gateway) Ending() context.Context { return g.ending }

// stopTime returns the time from the stop signal until the daemon ends.
func (g *Gateway) stopTime() time.Duration { return g.settings.StopTimeout - stopMargin }

// Run serves until the context ends, or until it receives from stop and has stopped
// gracefully. It returns the error of a listener that fails.
func (g *Gateway) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logger.Emit(g.logger, logger.DaemonStarted, slog.String("dataCentre", g.settings.DataCentre), slog.Uint64("incarnation", g.incarnation.Load()),
		slog.Float64("cores", g.settings.Cores), slog.Int64("memoryBytes", g.settings.MemoryBytes), slog.Int("descriptors", g.settings.Descriptors),
		slog.String("caller", g.settings.CallerAddress), slog.String("store", g.settings.StoreAddress))
	failed := make(chan error, len(g.otherServers)+2)
	for _, s := range append(g.otherServers, g.callerServer) {
		go func() { failed <- s.run() }()
	}
	go func() { failed <- g.callerServer.serve(g.readmitted) }()
	go g.controller.Run(ctx)
	go g.watcher.WatchConfig(ctx)
	go g.watcher.WatchRegistry(ctx)
	go g.watcher.WatchQuarantine(ctx)
	go g.watcher.SaveQuarantine(ctx)
	go g.watcher.SaveVersions(ctx)
	go g.watchDaemons(ctx)
	go g.closeUnusedConnections(ctx)
	go g.overload.run(ctx)
	go g.logTally(ctx)
	go g.relieveMemory(ctx)
	go g.sweepMemory(ctx)
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
// Without a peer address it does neither. If a restored store has another secret, the
// daemon uses that from then on.
func (g *Gateway) watchDaemons(ctx context.Context) {
	if g.settings.PeerAddress == "" {
		return
	}
	secretProposal := make([]byte, secretBytes)
	_, _ = rand.Read(secretProposal) // never fails
	var known []byte
	closeHub := func() {}
	g.watcher.WatchDaemons(ctx, g.self(), secretProposal, func(secret []byte) error {
		if bytes.Equal(secret, known) {
			return nil
		}
		hub, closeNew, err := connector.New(connector.Options{Self: g.settings.Host, Incarnation: g.incarnation.Load(), OnRaised: g.incarnation.Store, Secret: secret, Logger: g.logger})
		if err != nil {
			return err
		}
		closeOld := closeHub
		known, closeHub = secret, closeNew
		g.hub.Store(hub)
		g.exchanger.SetHub(hub)
		go g.exchanger.Run(ctx, hub, g.controller)
		go closeOld() // waits until what is queued has been sent
		return nil
	}, g.setDaemons)
}

// self returns the own entry in the list of daemons.
func (g *Gateway) self() watcher.Daemon {
	return watcher.Daemon{Host: g.settings.Host, DataCentre: g.settings.DataCentre, Address: g.settings.PeerAddress, Incarnation: g.incarnation.Load()}
}

// setDaemons sets the peers from the list of daemons. Those that were heard within
// daemonExpiry stay: a restored store may lack their entries until they have added
// themselves again. On a store reader it returns the entries of daemons that have been
// silent for that long, which are then removed from the list.
func (g *Gateway) setDaemons(list []watcher.Daemon) []watcher.Daemon {
	var peers []exchanger.Peer
	var gone []watcher.Daemon
	reader := g.controller.Freshness().Reader
	for _, d := range list {
		if d.Host == g.settings.Host {
			continue
		}
		heard, known := g.controller.LastHeard(d.Host)
		if reader && g.clock() > daemonExpiry && (!known || g.clock()-heard > daemonExpiry) {
			gone = append(gone, d)
			continue
		}
		peers = append(peers, exchanger.Peer{Peer: connector.Peer{ID: d.Host, Address: d.Address}, DataCentre: d.DataCentre})
	}
	for _, d := range g.exchanger.Peers() {
		listed := slices.ContainsFunc(list, func(l watcher.Daemon) bool { return l.Host == d.ID })
		if heard, ok := g.controller.LastHeard(d.ID); !listed && ok && g.clock()-heard <= daemonExpiry {
			peers = append(peers, exchanger.Peer{Peer: connector.Peer{ID: d.ID, Address: d.Address}, DataCentre: d.DataCentre})
		}
	}
	g.exchanger.SetPeers(peers)
	g.fleetKnown.Store(true)
	return gone
}

// probe starts a connection attempt to a target and reports the result to the
// controller.
func (g *Gateway) probe(t registrar.Entry) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		result := controller.ProbeReached
		switch err := g.courier.Probe(ctx, courier.Target{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation}); {
		case errors.Is(err, courier.ErrRefused):
			result = controller.ProbeRefused
		case err != nil:
			result = controller.ProbeUnanswered
		}
		g.controller.ProbeFinished(t.ID, result)
	}()
}

// servePeer accepts connections of other daemons once the fleet secret is known.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	hub := g.hub.Load()
	if hub == nil {
		http.Error(w, "the secret of the fleet is not known yet", http.StatusServiceUnavailable)
		return
	}
	hub.ServeHTTP(w, r)
}

// serveReady answers the readiness check of the balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopAt.Load() != 0 || !g.controller.Ready() || g.overload.unready.Load() || !g.gate.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// closeUnusedConnections closes connections to targets and from callers that have
// been unused for too long.
func (g *Gateway) closeUnusedConnections(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.courier.CloseIdle(func(courier.Target) bool { return true })
		if config, ok := g.controller.Current(); ok {
			g.callerServer.connections.closeIdle(config.Limits().IdleTimeout)
		}
	}
}

// LogReload logs that the settings file was read again, or the error of that read.
// It applies no setting: listener addresses stay until the next start, and the
// caller applies the store address.
func (g *Gateway) LogReload(s settings.Settings, err error) {
	if err != nil {
		logger.Emit(g.logger, logger.SettingsUnreadable, slog.String("error", err.Error()))
		return
	}
	logger.Emit(g.logger, logger.SettingsReloaded, slog.String("store", s.StoreAddress))
}
