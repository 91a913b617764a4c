package router

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// server is one listener with its HTTP server.
type server struct {
	name     string
	listener *drainListener
	http     *http.Server
	// accepted is closed when no more connections are accepted.
	accepted chan struct{}
}

func (s *server) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "open the %s listener", s.name)
	}
	s.listener = &drainListener{TCPListener: l.(*net.TCPListener)}
	s.accepted = make(chan struct{})
	return nil
}

func (s *server) serveWith(h *http.Server) { s.http = h }

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) run() error {
	defer close(s.accepted)
	err := s.http.Serve(s.listener)
	return errors.Wrapf(err, "%s listener", s.name)
}

// shutdown accepts the connections that already wait, then no more, and returns
// when all have ended or with the error of the context.
func (s *server) shutdown(ctx context.Context) error {
	s.listener.drain()
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
	return s.http.Shutdown(ctx)
}

func (s *server) close() {
	if s.http != nil {
		_ = s.http.Close()
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// acceptDrain is the time without a new connection after which the kernel's
// accept queue counts as empty.
const acceptDrain = 50 * time.Millisecond

// drainListener can stop accepting without resetting connections that wait in
// the kernel's accept queue.
type drainListener struct {
	*net.TCPListener
	draining atomic.Bool
}

// drain makes Accept fail once no connection has arrived for acceptDrain.
func (l *drainListener) drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now().Add(acceptDrain))
}

// Accept moves the deadline before each wait, because an expired one fails even
// where connections wait.
func (l *drainListener) Accept() (net.Conn, error) {
	if l.draining.Load() {
		if err := l.SetDeadline(time.Now().Add(acceptDrain)); err != nil {
			return nil, err
		}
	}
	return l.TCPListener.Accept()
}
