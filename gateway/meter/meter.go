// Package meter bounds what the callers of an HTTP server make the process hold before
// and beside the handlers of their requests: header fields while they arrive, buffers of
// connections, and data that callers do not read. It wraps the connections, since the HTTP
// server parses all fields before it calls a handler, and keeps the memory in a
// limiter.Admission.
package meter

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
)

const (
	// connectionBytes is charged for each connection: its goroutine and the buffers of the
	// HTTP server.
	connectionBytes = 16 << 10
	// socketBytes is the size that is set for the receive and the send buffer of a
	// connection, since the kernel would let them grow to megabytes and counts them
	// towards the memory of the process. It accounts for twice the size. Less makes bodies
	// of 100 KB wait for delayed acknowledgements.
	socketBytes = 32 << 10
	// unreadBytes is charged while a caller sends more data than the current request, which
	// waits in the receive buffer.
	unreadBytes = 2 * socketBytes
	// watchedHeaderBytes is the charge of a header from which its read may be ended while
	// memory is short.
	watchedHeaderBytes = 64 << 10
	// HeaderStartTimeout limits the time until the first byte of a new connection, and the
	// time to receive a header if the configuration sets none.
	HeaderStartTimeout = 10 * time.Second
	// writeTimeout limits each write, and the time for which a caller leaves the end of a
	// response unread.
	writeTimeout = 5 * time.Second
	// lingerTimeout and lingerBytes limit what is read after a refusal. The kernel resets a
	// connection that is closed with unread data, and the refusal can get lost.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// Reason says why a connection was refused or closed.
type Reason int

// Reasons.
const (
	// HeaderTooLarge: the header exceeds the size or the number of fields. Answered with 431.
	HeaderTooLarge Reason = iota
	// HeaderMemory: there was no memory for the header. Answered with 503.
	HeaderMemory
	// ConnectionMemory: there was no memory for the connection. Answered with 503.
	ConnectionMemory
	// HeaderTimeout: the header did not arrive in time.
	HeaderTimeout
	// UnreadRequests: there was no memory for data that was sent ahead of its turn.
	UnreadRequests
	// SlowReader: the caller did not read its response.
	SlowReader
	reasonCount
)

var reasonNames = [reasonCount]string{"headerTooLarge", "headerMemory", "connectionMemory", "headerTimeout", "unreadRequests", "slowReader"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Options are the dependencies of a Meter.
type Options struct {
	Memory *limiter.Admission
	// Limits returns the limits in force; the zero value if none are known.
	Limits func() resolver.Limits
	// Refusal returns a whole response that rejects a request which was not read, with 431
	// or 503, and closes the connection.
	Refusal func(status int) []byte
	// Clock returns the time since the start of the process.
	Clock func() time.Duration
	// OnClose is called when a connection is refused or closed.
	OnClose func(r Reason, remote net.Addr)
}

// Meter accounts for the connections of one server.
type Meter struct {
	Options
	closed [reasonCount]atomic.Int64

	// mutex guards open.
	mutex sync.Mutex
	open  map[*Conn]struct{}
}

// New returns a Meter without connections.
func New(o Options) *Meter { return &Meter{Options: o, open: map[*Conn]struct{}{}} }

// Closed returns the number of connections that were refused or closed for a reason.
func (m *Meter) Closed(r Reason) int64 { return m.closed[r].Load() }

// Listener returns a listener whose connections are of type *Conn. It limits the socket
// buffers of later connections if inner is a TCP listener.
func (m *Meter) Listener(inner net.Listener, socket *net.TCPListener) net.Listener {
	if raw, err := socket.SyscallConn(); err == nil {
		// Errors leave the larger buffers of the system.
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBytes)
		})
	}
	return &listener{Listener: inner, meter: m}
}

type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(inner), nil
}

// wrap charges a new connection. One for which there is no memory is refused once its
// request arrives.
func (m *Meter) wrap(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, meter: m}
	m.Memory.Open(&c.charge)
	c.refused = c.charge.Grow(limiter.KindConnection, connectionBytes) != nil
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.open[c] = struct{}{}
	return c
}

// TrackState returns a hook for http.Server.ConnState that tells connections when headers
// begin and end, and calls next. The server must have a ReadHeaderTimeout, and neither a
// ReadTimeout nor an IdleTimeout: a deadline on a connection that had a request means that
// the next one has begun.
func (m *Meter) TrackState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(inner net.Conn, state http.ConnState) {
		if c, ok := inner.(*Conn); ok {
			c.setState(state)
		}
		next(inner, state)
	}
}

// forget removes a closed connection.
func (m *Meter) forget(c *Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.open, c)
}

// record counts a connection that is refused or closed.
func (m *Meter) record(r Reason, c *Conn) {
	m.closed[r].Add(1)
	m.OnClose(r, c.RemoteAddr())
}

// Sweep charges what callers have not read of their responses, and closes the connections
// whose callers have read nothing for writeTimeout. It is called with the time since a
// fixed point.
func (m *Meter) Sweep(now time.Duration) {
	m.mutex.Lock()
	all := make([]*Conn, 0, len(m.open))
	for c := range m.open {
		all = append(all, c)
	}
	m.mutex.Unlock()
	for _, c := range all {
		if !c.sweep(now) {
			m.record(SlowReader, c)
			_ = c.Close() // the connection is gone either way
		}
	}
}
