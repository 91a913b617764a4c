package gateway

import (
	"bufio"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/evictor"
	"monsoondeck.example/logger"
)

// Limits of the listeners for health checks, metrics and peers. Their well-behaved clients
// are balancers, collectors of metrics and other daemons, which send short requests
// without a body.
const (
	// internalHeaderBytes limits the size of a header, internalHeaderFields the number of
	// its fields: each field takes some 150 bytes of memory, however short it is.
	internalHeaderBytes  = 8 << 10
	internalHeaderFields = 64
	// internalReadTimeout limits the time in which a request arrives, so that slow senders
	// do not hold connections.
	internalReadTimeout = 5 * time.Second
	// internalWriteTimeout limits the time from the header of a request to the end of the
	// response, so that clients that do not read do not hold connections.
	internalWriteTimeout = 5 * time.Second
	// internalIdleTimeout closes connections that are no longer used. It is above the
	// usual interval between two collections of metrics, a minute.
	internalIdleTimeout = 90 * time.Second
	// internalBufferBytes limits each of the two kernel buffers of a connection, which
	// count towards the memory of the process.
	internalBufferBytes = 32 << 10
	// fullLogInterval is the shortest time between two log records of a listener that
	// closes connections because there are too many.
	fullLogInterval = 10 * time.Second
	// minInternalConnections is the lower bound of the connections of each listener.
	minInternalConnections = 8
)

// internalListener holds the limits of one listener that is not for callers.
type internalListener struct {
	// name is the label in metrics.
	name string
	// descriptorShare is the part of the file descriptors that connections may use,
	// defaultConnections their number if the limit of descriptors is unknown.
	descriptorShare    float64
	defaultConnections int
	// smallBuffers is set if responses are small, so that small kernel buffers do not slow
	// them down.
	smallBuffers bool
	// singleRequest is set if a connection is for one request. Later ones would make the
	// kernel enlarge the buffers of the connection.
	singleRequest bool
}

// The limits of connections leave room for several balancers and collectors. Peers count
// only until they are authenticated; all of a fleet may connect at the same time.
var (
	healthListener  = internalListener{name: "health", descriptorShare: 0.01, defaultConnections: 64, smallBuffers: true}
	peerListener    = internalListener{name: "peers", descriptorShare: 0.05, defaultConnections: 512, singleRequest: true}
	metricsListener = internalListener{name: "metrics", descriptorShare: 0.005, defaultConnections: 32, smallBuffers: true}
)

// connectionLimit returns the largest number of connections, given the limit of file
// descriptors; 0 is unknown.
func (l internalListener) connectionLimit(descriptors int) int {
	if descriptors <= 0 {
		return l.defaultConnections
	}
	return max(int(l.descriptorShare*float64(descriptors)), minInternalConnections)
}

// limitClients applies the limits to a server that does not run yet, and registers
// their metrics.
func (g *Gateway) limitClients(s *server, l internalListener) {
	inner, ok := s.listener.(*net.TCPListener)
	if !ok {
		return // newServer listens on TCP only
	}
	if l.smallBuffers {
		limitBuffers(inner)
	}
	connections := evictor.New(inner, l.connectionLimit(g.settings.Descriptors))
	s.listener = connections
	s.http.MaxHeaderBytes = internalHeaderBytes
	s.http.ReadHeaderTimeout, s.http.ReadTimeout = internalReadTimeout, internalReadTimeout
	s.http.WriteTimeout, s.http.IdleTimeout = internalWriteTimeout, internalIdleTimeout
	s.http.SetKeepAlivesEnabled(!l.singleRequest)
	full := throttle(fullLogInterval, g.clock, func() {
		logger.Emit(g.logger, logger.ListenerFull, slog.String("listener", l.name), slog.Int64("evicted", connections.Evicted()))
	})
	connections.OnEvict = full
	refused := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "monsoondeck_listener_requests_refused_total", Help: "Requests refused because of the size of their header or the number of its fields.",
		ConstLabels: prometheus.Labels{"listener": l.name},
	})
	s.http.Handler = limitRequests(s.http.Handler, refused)
	g.metrics.registry.MustRegister(refused)
	for name, v := range map[string]struct {
		help  string
		value func() float64
	}{
		"monsoondeck_listener_connections":           {"Open connections; of peers, those that are not authenticated.", func() float64 { return float64(connections.Open()) }},
		"monsoondeck_listener_connections_evicted":   {"Connections closed because there were too many.", func() float64 { return float64(connections.Evicted()) }},
		"monsoondeck_listener_connections_timed_out": {"Connections closed because the client sent or read too slowly.", func() float64 { return float64(connections.TimedOut()) }},
	} {
		g.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: v.help, ConstLabels: prometheus.Labels{"listener": l.name}}, v.value))
	}
}

// throttle returns a function that calls f unless it did so within the interval.
func throttle(interval time.Duration, clock func() time.Duration, f func()) func() {
	var next atomic.Int64 // by clock
	return func() {
		now, due := int64(clock()), next.Load()
		if now >= due && next.CompareAndSwap(due, now+int64(interval)) {
			f()
		}
	}
}

// limitBuffers limits the kernel buffers of the connections that the listener will accept.
func limitBuffers(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // the listener is closed, which Accept reports
	}
	_ = raw.Control(func(fd uintptr) { // an error means a closed listener, which Accept reports
		// The kernel keeps its own limits if it does not accept these.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, internalBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, internalBufferBytes)
	})
}

// limitRequests refuses requests with a header over the limits and never reads a body.
func limitRequests(next http.Handler, refused prometheus.Counter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, counted := r.Context().Value(connectionKey{}).(*evictor.Conn)
		if counted {
			c.RecordRequest()
		}
		if r.ContentLength != 0 {
			skipBody(w)
		}
		if !headerWithin(r.Header, internalHeaderBytes, internalHeaderFields) {
			refused.Inc()
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		h := &hijackRecorder{ResponseWriter: w}
		next.ServeHTTP(h, r)
		if counted && h.hijacked {
			c.Release() // the peer is authenticated, or the connection is closed
		}
	})
}

// skipBody makes the HTTP server close the connection after the response instead of
// waiting for the rest of a body that nobody reads.
func skipBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// The error is ignored: response writers of tests may not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// headerWithin reports whether a header has at most the given numbers of bytes, counted as
// sent, and of fields.
func headerWithin(h http.Header, bytes, fields int) bool {
	for name, values := range h {
		for _, v := range values {
			bytes -= len(name) + len(": ") + len(v) + len("\r\n")
			fields--
		}
	}
	return bytes >= 0 && fields >= 0
}

// hijackRecorder records whether the handler took over the connection.
type hijackRecorder struct {
	http.ResponseWriter
	hijacked bool
}

// Hijack implements http.Hijacker.
func (h *hijackRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, buffered, err := http.NewResponseController(h.ResponseWriter).Hijack()
	h.hijacked = err == nil
	return c, buffered, err
}

// Unwrap returns the inner writer for http.ResponseController.
func (h *hijackRecorder) Unwrap() http.ResponseWriter { return h.ResponseWriter }
