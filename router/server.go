package router

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// server is a listener and the HTTP server that serves it.
type server struct {
	// name is caller, peer or admin; errors contain it.
	name     string
	listener *drainingListener
	http     *http.Server
	// serveDone is closed when the listener no longer accepts connections.
	serveDone chan struct{}
}

// listen opens the listener at the address.
func (s *server) listen(address string) error {
	// Linux cannot attach a socket filter to a Multipath TCP listener, and draining a
	// listener needs one.
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "open the %s listener", s.name)
	}
	s.listener, s.serveDone = &drainingListener{TCPListener: l.(*net.TCPListener)}, make(chan struct{})
	return nil
}

func (s *server) setHTTPServer(h *http.Server) { s.http = h }

func (s *server) address() string { return s.listener.Addr().String() }

// run serves until the listener is drained or fails.
func (s *server) run() error {
	defer close(s.serveDone)
	err := s.http.Serve(s.listener)
	return errors.Wrapf(err, "%s listener", s.name)
}

// close closes the listener and all connections without waiting for requests.
func (s *server) close() {
	if s.http != nil {
		_ = s.http.Close()
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
}
