package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/refuser"
)

const (
	// headerTimeout limits the time in which a caller sends the header of a request.
	// It holds for all configurations, since the HeaderTimeout of resolver.Limits is not
	// applied here. A caller that needs longer is faulty.
	headerTimeout = 10 * time.Second
	// headerBytes limits the size of the header of a request.
	headerBytes = 64 << 10
)

// server is an HTTP server with its listener and its open connections.
type server struct {
	http     *http.Server
	listener net.Listener

	// mutex guards open and idle.
	mutex sync.Mutex
	// open is the number of open connections.
	open int
	// idle maps each connection without a request in progress to the time since which
	// it has had none.
	idle map[net.Conn]time.Time
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
	s := &server{listener: listener, idle: map[net.Conn]time.Time{}}
	s.http = &http.Server{
		ConnContext: withConnection, Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, ConnState: s.track,
		ErrorLog: slog.NewLogLogger(l.Handler(), slog.LevelDebug),
	}
	return s, nil
}

// run serves until the server is closed.
func (s *server) run() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// track counts the open connections and records since when each idle one has been
// idle. The HTTP server calls it when the state of a connection changes.
func (s *server) track(c net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		s.open++
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
	if state == http.StateIdle {
		s.idle[c] = time.Now()
	} else {
		delete(s.idle, c)
	}
}

// openConnections returns the number of open connections.
func (s *server) openConnections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.open
}

// callerDescriptorShare is the part of the file descriptors that connections of
// callers may use. Connections to targets need as many, and the process some more.
const callerDescriptorShare = 0.45

// atConnectionLimit reports whether callers have as many connections as they may. It
// is always false if the limit of file descriptors is unknown.
func (g *Gateway) atConnectionLimit() bool {
	limit := int(callerDescriptorShare * float64(g.settings.Descriptors))
	return limit > 0 && g.callerServer.openConnections() >= limit
}

// shedConnection decides what happens to a new connection.
func (g *Gateway) shedConnection() shedding {
	if g.atConnectionLimit() {
		return closeConnection
	}
	return g.overload.shedConnection()
}

const (
	// refusedDescriptorShare is the part of the file descriptors that refused connections
	// may use until their callers have closed them.
	refusedDescriptorShare = 0.2
	// defaultRefusedConnections is their number if the limit of descriptors is unknown.
	defaultRefusedConnections = 512
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
	limit := int(refusedDescriptorShare * float64(g.settings.Descriptors))
	if limit <= 0 {
		limit = defaultRefusedConnections
	}
	return refuser.New(responses, limit, g.clock)
}

// closeIdle closes the connections that have been idle for longer than the timeout;
// 0 closes none. It leaves those with a request that a busy host has not read yet.
func (s *server) closeIdle(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c, since := range s.idle {
		if time.Since(since) > timeout && !hasUnread(c) {
			delete(s.idle, c)
			_ = c.Close() // an error changes nothing: the connection is gone either way
		}
	}
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
			g.listener = &sheddingListener{Listener: s.listener, shed: g.shedConnection, refuser: g.newRefuser()}
			s.listener = g.listener
			g.callerServer = s
		} else {
			g.limitClients(s, l.limits)
			g.otherServers = append(g.otherServers, s)
		}
	}
	return closeAll, nil
}
