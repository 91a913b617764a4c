package router

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// server is one listener with its HTTP server.
type server struct {
	name     string
	listener *drainingListener
	http     *http.Server
	// served is closed when the listener accepts no more.
	served chan struct{}
}

func (s *server) listen(address string) error {
	// Linux attaches no filters to multipath listeners, and a drain needs one.
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "open the %s listener", s.name)
	}
	s.listener, s.served = &drainingListener{TCPListener: l.(*net.TCPListener)}, make(chan struct{})
	return nil
}

func (s *server) serveWith(h *http.Server) { s.http = h }

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) run() error {
	defer close(s.served)
	err := s.http.Serve(s.listener)
	return errors.Wrapf(err, "%s listener", s.name)
}

func (s *server) close() {
	if s.http != nil {
		_ = s.http.Close()
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
}
