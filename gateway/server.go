package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headerTimeout bounds the time in which a caller sends a header. Configurations
	// allow less; callers that need more are broken.
	headerTimeout = 10 * time.Second
	// headerBytes bounds the header of a request.
	headerBytes = 64 << 10
)

// server is one listener with its HTTP server.
type server struct {
	http     *http.Server
	listener net.Listener

	mutex sync.Mutex
	// open is the number of connections.
	open int
	// idle holds the connections without a request, with the time since when.
	idle map[net.Conn]time.Time
}

// newServer listens at the address.
func newServer(address string, h http.Handler, l *slog.Logger) (*server, error) {
	// Connections end by the time-outs of the server; probes of the kernel would only
	// make each new one dearer.
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	s := &server{listener: listener, idle: map[net.Conn]time.Time{}}
	s.http = &http.Server{
		ConnContext: withConnection, Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, ConnState: s.track,
		ErrorLog: slog.NewLogLogger(l.Handler(), slog.LevelDebug),
	}
	return s, nil
}

func (s *server) run() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

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

// count returns the number of open connections.
func (s *server) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.open
}

// callerShare is the part of the descriptors that connections of callers may
// take; those to targets need as many, and the process some more.
const callerShare = 0.45

// crowded reports whether callers have all the connections that they may have.
func (g *Gateway) crowded() bool {
	limit := int(callerShare * float64(g.settings.Descriptors))
	return limit > 0 && g.callers.count() >= limit
}

// closeIdle closes the connections that have had no request for the timeout.
func (s *server) closeIdle(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c, since := range s.idle {
		if time.Since(since) > timeout {
			delete(s.idle, c)
			_ = c.Close() // the caller is told by the close itself
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
	}{
		{g.settings.CallerAddress, g.receiver},
		{g.settings.ReadyAddress, http.HandlerFunc(g.serveReady)},
		{g.settings.PeerAddress, http.HandlerFunc(g.servePeer)},
		{g.settings.MetricsAddress, metrics},
	}
	var all []*server
	closeAll := func() {
		for _, s := range all {
			_ = s.http.Close() // the process ends or New fails; there is nothing to do
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
			g.guard = &guard{Listener: s.listener, refuse: func() bool { return g.room.full() || g.crowded() }}
			s.listener = g.guard
			g.callers = s
		} else {
			g.others = append(g.others, s)
		}
	}
	return closeAll, nil
}
