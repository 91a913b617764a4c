// Package courier carries one request to one target over HTTP/1.1 and reads the
// answer. It never repeats a request by itself, tells whether the request can
// have reached the target, and drops answers that belong to other requests.
//
// The transport of net/http is not used towards targets: it repeats requests on
// connections that break, and an answer that arrives unasked on an idle
// connection can be taken for that of the next request.
package courier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/dialer"
)

// Errors of Do and of reading an answer.
var (
	// ErrNotSent: no byte of the request reached the target.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken: the connection ended before the answer was whole.
	ErrBroken = errors.New("the connection to the target broke")
	// ErrInvalid: the target sent bytes that are no answer to the request.
	ErrInvalid = errors.New("the target sent no valid answer")
)

const (
	// dialTimeout is many times the round trip within a region. A lost packet of the
	// handshake is repeated only after a second, when another target is tried.
	dialTimeout = 250 * time.Millisecond
	// defaultIdle is how long an unused connection is kept where the target states
	// no time.
	defaultIdle = 3 * time.Second
	// idleMargin is subtracted from the time that the target states: a request must
	// not cross its close.
	idleMargin = 700 * time.Millisecond
	// freshIdle is how long a connection may have been unused for a request that must
	// not run twice: the longer it was, the likelier its end went unnoticed.
	freshIdle = 500 * time.Millisecond
	// maxIdle bounds the unused connections to one target.
	maxIdle = 16
	// readBuffer is the size of the read buffer of a connection; one event of a
	// stream is some hundred bytes.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is read. Larger
	// ones are written beside it, since a target may answer before it reads them.
	inlineBody = 2 << 10
	// maxSkipped bounds the answers to other requests that are dropped before the
	// connection is given up.
	maxSkipped = 2
)

// Target is where a request is sent.
type Target struct {
	ID, Address string
	// Incarnation differs between two starts under one ID.
	Incarnation int64
}

// Request is one request.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI, Host string
	Header    http.Header
	Body      []byte
	// NonRepeatable is set for requests that must not run twice.
	NonRepeatable bool
	// Matches reports whether an answer with the header belongs to the request.
	Matches func(status int, h http.Header) bool
}

// Response is the head of an answer. Body must be closed; closing it before the
// end gives the connection up, so that the target can stop working.
type Response struct {
	Status int
	Header http.Header
	// Length is the number of bytes of the body; -1 is unknown.
	Length int64
	Body   io.ReadCloser
}

// Stats counts what the courier did.
type Stats struct {
	Dials, DialFailures, Reuses, Foreign, Stale atomic.Int64
}

// Courier keeps the connections to targets. It is safe for concurrent use.
type Courier struct {
	dialer *net.Dialer
	Stats  Stats

	mutex sync.Mutex
	// idle holds the unused connections of each target, the last used one last.
	idle   map[Target][]*connection
	closed bool
}

// New returns a Courier and a function that closes unused connections.
func New() (*Courier, func()) {
	c := &Courier{dialer: dialer.New(dialTimeout), idle: map[Target][]*connection{}}
	return c, c.close
}

// Do sends the request and returns the head of its answer. The context bounds
// the whole exchange, reading the body included. Errors: ErrNotSent, ErrBroken,
// ErrInvalid, and those of the context.
func (c *Courier) Do(ctx context.Context, t Target, call Request) (*Response, error) {
	conn, err := c.connect(ctx, t, call.NonRepeatable)
	if err != nil {
		return nil, err
	}
	x := &exchange{courier: c, target: t, connection: conn, call: call}
	x.stop = context.AfterFunc(ctx, conn.abort)
	answer, err := x.run()
	if err != nil {
		x.abandon()
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	return answer, nil
}

// Probe opens a connection to the target and keeps it for a request; it reports
// whether the target was reached.
func (c *Courier) Probe(ctx context.Context, t Target) bool {
	conn, err := c.dial(ctx, t)
	if err != nil {
		return false
	}
	c.put(t, conn)
	return true
}

// connect returns an unused connection or opens one.
func (c *Courier) connect(ctx context.Context, t Target, once bool) (*connection, error) {
	for {
		conn := c.take(t, once)
		if conn == nil {
			break
		}
		if conn.quiet() {
			c.Stats.Reuses.Add(1)
			return conn, nil
		}
		c.Stats.Stale.Add(1)
		conn.abort()
	}
	return c.dial(ctx, t)
}

// dial opens a connection. Errors: ErrNotSent.
func (c *Courier) dial(ctx context.Context, t Target) (*connection, error) {
	c.Stats.Dials.Add(1)
	raw, err := c.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		c.Stats.DialFailures.Add(1)
		return nil, errors.Wrapf(ErrNotSent, "connect: %v", err)
	}
	return newConnection(raw), nil
}

// take removes the last used connection that may be used; nil if there is none.
func (c *Courier) take(t Target, once bool) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[t]
	now := time.Now()
	for n := len(list); n > 0; n = len(list) {
		conn := list[n-1]
		if once && now.Sub(conn.idleSince) > freshIdle {
			return nil // the others have been unused for longer
		}
		list = list[:n-1]
		c.idle[t] = list
		if now.Before(conn.idleUntil) {
			return conn
		}
		conn.abort()
	}
	return nil
}

// put keeps a connection for the next request.
func (c *Courier) put(t Target, conn *connection) {
	now := time.Now()
	conn.idleSince, conn.idleUntil = now, now.Add(conn.keep)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || len(c.idle[t]) >= maxIdle {
		conn.abort()
		return
	}
	c.idle[t] = append(c.idle[t], conn)
}

// Sweep closes connections that may not be used any more and those of targets
// for which keep reports false.
func (c *Courier) Sweep(keep func(Target) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for t, list := range c.idle {
		wanted := keep(t)
		kept := list[:0]
		for _, conn := range list {
			if wanted && now.Before(conn.idleUntil) {
				kept = append(kept, conn)
			} else {
				conn.abort()
			}
		}
		if c.idle[t] = kept; len(kept) == 0 {
			delete(c.idle, t)
		}
	}
}

func (c *Courier) close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.Sweep(func(Target) bool { return false })
}

// connection is one connection to a target.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// keep is how long the connection may be unused.
	keep                 time.Duration
	idleSince, idleUntil time.Time
}

func newConnection(raw net.Conn) *connection {
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: defaultIdle}
}

// abort closes the connection; errors of closing say nothing about the request.
func (c *connection) abort() { _ = c.Close() }

// quiet reports whether the connection is open and nothing has arrived on it.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// keepFor sets how long the connection may be unused from the header of an answer.
func (c *connection) keepFor(h http.Header) {
	if seconds, ok := keepAliveTimeout(h); ok {
		c.keep = max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
}

// keepAliveTimeout returns the seconds of "Keep-Alive: timeout=5".
func keepAliveTimeout(h http.Header) (int, bool) {
	for _, v := range h.Values("Keep-Alive") {
		for field := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 && strings.EqualFold(name, "timeout") {
				return n, true
			}
		}
	}
	return 0, false
}
