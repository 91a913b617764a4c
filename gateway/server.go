package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/refuser"
	"monsoondeck.example/gateway/shedder"
)

const (
	// headerTimeout limits the time in which the header of a request must arrive, and
	// headerBytes its size, on the listeners for health checks, peers and metrics. The
	// limits for callers are those of package meter.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
)

// server is an HTTP server with its listener and its open connections.
type server struct {
	http     *http.Server
	listener net.Listener
	// connections are the open connections.
	connections *connectionTracker
}

// newServer returns a server that listens on the address; run serves its requests.
func newServer(address string, h http.Handler, l *slog.Logger) (*server, error) {
	// headerTimeout and closeIdle end dead connections. Keep-alive probes of the kernel
	// would only make each new connection more expensive.
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &server{listener: listener, connections: newConnectionTracker()}
	s.http = &http.Server{
		ConnContext: withConnection, Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, ConnState: s.connections.track,
		ErrorLog: slog.NewLogLogger(l.Handler(), slog.LevelDebug),
	}
	return s, nil
}

// run serves until the server is closed.
func (s *server) run() error { return s.serve(s.listener) }

// serve serves the connections of a listener until the server is closed.
func (s *server) serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// shedConnection decides what happens to a new connection.
func (g *Gateway) shedConnection() shedding {
	if decision := g.overload.shedConnection(); decision != keepConnection {
		return decision
	}
	decision := g.gate.admit()
	if decision != keepConnection {
		g.overload.returnAdmission()
	}
	return decision
}

const (
	// minRefusalRetryAfter and maxRefusalRetryAfter bound the time after which refused
	// callers should come back. It is short, since a new connection reaches another host,
	// and varies, so that they do not come back together.
	minRefusalRetryAfter, maxRefusalRetryAfter = 50 * time.Millisecond, 400 * time.Millisecond
	// refusalVariants is the number of different times.
	refusalVariants = 8
)

// newRefuser returns a refuser that answers as receiver.Handler answers for a busy host.
func (g *Gateway) newRefuser() *refuser.Refuser {
	var responses [][]byte
	for i := range refusalVariants {
		after := minRefusalRetryAfter + (maxRefusalRetryAfter-minRefusalRetryAfter)*time.Duration(i)/(refusalVariants-1)
		responses = append(responses, receiver.BusyResponse(g.options.Protocol, after))
	}
	return refuser.New(responses, shedder.Divide(g.settings.Descriptors).Refused, g.clock, g.readmit)
}

// listen opens all listeners and returns a function that closes them.
func (g *Gateway) listen() (func(), error) {
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", g.metrics.handler())
	listeners := []struct {
		address string
		handler http.Handler
		limits  internalListener
	}{
		{g.settings.CallerAddress, g.receiver, internalListener{}},
		{g.settings.HealthAddress, http.HandlerFunc(g.serveReady), healthListener},
		{g.settings.PeerAddress, http.HandlerFunc(g.servePeer), peerListener},
		{g.settings.MetricsAddress, metrics, metricsListener},
	}
	var all []*server
	closeAll := func() {
		for _, s := range all {
			_ = s.http.Close() // errors change nothing: the process ends or New fails
			_ = s.listener.Close()
		}
	}
	for i, l := range listeners {
		if l.address == "" {
			continue
		}
		s, err := newServer(l.address, l.handler, g.logger)
		if err != nil {
			closeAll()
			return nil, err
		}
		all = append(all, s)
		if i == 0 {
			socket := s.listener
			g.readmitted = newReadmittedListener(socket.Addr())
			g.listener = newSheddingListener(s.listener, g.shedConnection, g.newRefuser(), shedder.Divide(g.settings.Descriptors).Held)
			if err := g.listener.limitPending(shedder.MaxPending(g.settings.Cores)); err != nil {
				closeAll()
				return nil, err
			}
			s.listener = g.listener
			g.meterCallers(s, socket)
			g.callerServer = s
			g.gate = newConnectionGate(shedder.Divide(g.settings.Descriptors).Callers, s.connections, g.clock, g.logger)
		} else {
			g.limitClients(s, l.limits)
			g.otherServers = append(g.otherServers, s)
		}
	}
	return closeAll, nil
}
