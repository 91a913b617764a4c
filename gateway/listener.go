package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/refuser"
)

// sheddingListener is a net.Listener that refuses new connections with an answer while the
// host is overloaded or has no room for them, and drops those that their callers have closed
// while they waited to be accepted. A host that cannot even refuse all accepts them nevertheless
// and holds them: in the queue of the kernel the oldest would be served first, as their callers
// leave.
type sheddingListener struct {
	net.Listener
	// shed decides what happens to the next connection. It is called once for each
	// connection, and again for those that are held.
	shed    func() shedding
	refuser *refuser.Refuser
	held    heldConnections
	// closed is set by Close.
	closed atomic.Bool
	// refusedCount is the number of connections that were refused, leftCount that of those
	// whose caller had closed them before they were decided.
	refusedCount, leftCount atomic.Int64
}

// newSheddingListener returns a listener that holds at most maxHeld connections.
func newSheddingListener(l net.Listener, shed func() shedding, r *refuser.Refuser, maxHeld int) *sheddingListener {
	s := &sheddingListener{Listener: l, shed: shed, refuser: r}
	s.held = heldConnections{limit: maxHeld, left: func() { s.leftCount.Add(1) }}
	return s
}

// limitPending limits the connections that wait to be accepted in the kernel, which drops the
// opening packets of others; 0 leaves the limit as it is.
func (l *sheddingListener) limitPending(n int) (err error) {
	if n > 0 {
		l.control(func(fd uintptr) { err = unix.Listen(int(fd), n) })
	}
	return err
}

// shedding says what happens to a connection.
type shedding int

const (
	keepConnection shedding = iota
	refuseConnection
	// holdConnection decides about the connection later.
	holdConnection
)

// holdInterval is the time between two looks at the connections that are held.
const holdInterval = 5 * time.Millisecond

// Accept implements net.Listener.
func (l *sheddingListener) Accept() (net.Conn, error) {
	keepNext := false // shed has already decided to keep the next connection
	dropped := 0
	for {
		if l.closed.Load() {
			l.refuseHeld()
			return nil, net.ErrClosed
		}
		if len(l.held.all) > 0 && (!keepNext || !l.hasPending()) {
			if c := l.decideHeld(keepNext); c != nil {
				return c, nil
			}
			keepNext = keepNext || l.decidePending()
			continue
		}
		c, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				l.refuseHeld()
			}
			return nil, err
		}
		if callerClosed(c) {
			_ = c.Close()
			l.leftCount.Add(1)
			if dropped++; dropped%maxRefusalsInARow == 0 {
				runtime.Gosched()
			}
			continue
		}
		decision := keepConnection
		if !keepNext {
			decision = l.shed()
		}
		if decision == keepConnection {
			return c, nil
		}
		if descriptor, err := duplicate(c); err == nil {
			l.reject(heldConnection{descriptor, time.Now()}, decision)
		}
		_ = c.Close() // the duplicate, if any, keeps the connection open
		keepNext = l.decidePending()
	}
}

// Close implements net.Listener. Accept then refuses the connections that are held.
func (l *sheddingListener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// reject refuses or holds a connection.
func (l *sheddingListener) reject(c heldConnection, decision shedding) {
	if decision == holdConnection && !l.held.full() {
		l.held.push(c)
		return
	}
	l.refuse(c.descriptor)
}

// refuse answers a connection.
func (l *sheddingListener) refuse(descriptor int) {
	l.refusedCount.Add(1)
	l.refuser.Refuse(descriptor)
}

// refuseHeld refuses all connections that are held.
func (l *sheddingListener) refuseHeld() {
	for c, ok := l.held.newest(); ok; c, ok = l.held.newest() {
		l.refuse(c.descriptor)
	}
}

// decideHeld decides about held connections while there is no newer one. It returns the one
// to serve, or nil once a connection waits to be accepted, or none is held, or after
// holdInterval. With keep, the newest one is served.
func (l *sheddingListener) decideHeld(keep bool) net.Conn {
	for !l.hasPending() {
		l.held.oldest(l.refuse)
		c, ok := l.held.newest()
		if !ok {
			return nil
		}
		decision := keepConnection
		if !keep {
			decision = l.shed()
		}
		switch decision {
		case keepConnection:
			if connection, err := fileConnection(c.descriptor); err == nil {
				return connection
			}
			keep = true // the decision holds for the next one
		case refuseConnection:
			l.refuse(c.descriptor)
		case holdConnection:
			l.held.push(c)
			time.Sleep(holdInterval)
			return nil
		}
	}
	return nil
}

// hasPending reports whether a connection waits to be accepted.
func (l *sheddingListener) hasPending() (pending bool) {
	l.control(func(fd uintptr) { pending = hasPending(fd) })
	return pending
}

// control calls f with the file descriptor of the listener, unless it is closed, which the
// next Accept reports.
func (l *sheddingListener) control(f func(fd uintptr)) {
	if inner, ok := l.Listener.(syscall.Conn); ok {
		if raw, err := inner.SyscallConn(); err == nil {
			_ = raw.Control(f)
		}
	}
}

// duplicate returns another file descriptor of a connection.
func duplicate(c net.Conn) (int, error) {
	inner, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return 0, err
	}
	descriptor := 0
	var duplicated error
	err = raw.Control(func(fd uintptr) { descriptor, duplicated = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) })
	return descriptor, errors.Join(err, duplicated)
}

// maxRefusalsInARow is the number of connections that are refused before other goroutines get
// their turn, so that a burst does not delay the requests that were admitted.
const maxRefusalsInARow = 16

// decidePending refuses or holds connections from the accept queue of the kernel until shed
// decides to keep one, and reports whether it did. Accepting them with net.Listener would
// register and set up each one in the runtime, which costs several times as much as
// the system calls made here.
func (l *sheddingListener) decidePending() (keep bool) {
	l.control(func(fd uintptr) {
		for rejected := 1; hasPending(fd); rejected++ {
			if rejected%maxRefusalsInARow == 0 {
				runtime.Gosched()
			}
			decision := l.shed()
			if decision == keepConnection {
				keep = true
				return
			}
			if decision == holdConnection && l.held.full() {
				time.Sleep(holdInterval)
				return
			}
			c, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				// The accept queue is empty, or the host has no descriptors for now.
				time.Sleep(holdInterval)
				return
			}
			if closedByPeer(uintptr(c)) {
				_ = unix.Close(c)
				l.leftCount.Add(1)
				continue
			}
			l.reject(heldConnection{c, time.Now()}, decision)
		}
	})
	return keep
}

// hasPending reports whether a connection is in the accept queue of a listener, so that none
// is decided about that does not exist.
func hasPending(listener uintptr) bool {
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}, 0)
	return err == nil && n > 0 // after an error, the next Accept decides
}

// callerClosed reports whether the caller has closed its side of a connection, also if there
// is a request that was not read.
func callerClosed(c net.Conn) bool {
	inner, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = closedByPeer(fd) })
	return closed || err != nil
}

// closedByPeer reports whether the other side has closed or reset a connection.
func closedByPeer(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0 // POLLHUP and POLLERR are always reported
}

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// withConnection adds the connection to the context for callerLeft. It is the
// ConnContext of the servers.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// callerLeft reports whether the caller has closed its connection. The HTTP server
// detects that, too, but on a busy host only some time after it has called the
// handler.
func callerLeft(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(c)
	return err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
}

// resetOnClose makes the connection of a request end with a reset when it is closed.
func resetOnClose(r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		// Errors mean that the connection is closed already.
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		})
	}
}

// hasUnread reports whether the caller has sent bytes that the server has not read yet.
func hasUnread(c net.Conn) bool {
	inner, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(inner)
	return err == nil && n > 0
}

// peek returns the number of bytes, at most one, that can be read from a connection, and 0
// if the other side has closed it. The error is EAGAIN if there are none yet.
func peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var errPeek error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, errPeek = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, errPeek
}
