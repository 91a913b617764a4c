package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/refuser"
)

// sheddingListener is a net.Listener that refuses new connections with an answer while the
// host is overloaded or has no room for them, and drops those that their callers have closed
// while they waited to be accepted.
type sheddingListener struct {
	net.Listener
	// shed decides what happens to the next connection. It is called once for each
	// connection.
	shed    func() shedding
	refuser *refuser.Refuser
	// refusedCount is the number of connections that were refused, leftCount that of those
	// whose caller had closed them before they were accepted.
	refusedCount, leftCount atomic.Int64
}

// shedding says what happens to a new connection.
type shedding int

const (
	keepConnection shedding = iota
	refuseConnection
)

// Accept implements net.Listener.
func (l *sheddingListener) Accept() (net.Conn, error) {
	keepNext := false // shed has already decided to keep the next connection
	dropped := 0
	for {
		c, err := l.Listener.Accept()
		if err != nil {
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
		if keepNext {
			return c, nil
		}
		if l.shed() == keepConnection {
			return c, nil
		}
		if descriptor, err := duplicate(c); err == nil {
			l.refuse(descriptor)
		}
		_ = c.Close() // the duplicate, if any, keeps the connection open
		keepNext = l.refusePending()
	}
}

// refuse answers a connection.
func (l *sheddingListener) refuse(descriptor int) {
	l.refusedCount.Add(1)
	l.refuser.Refuse(descriptor)
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

// refusePending refuses connections from the accept queue of the kernel until shed decides
// to keep one, and reports whether it did. Accepting them with net.Listener would
// register and set up each one in the runtime, which costs several times as much as
// the system calls made here.
func (l *sheddingListener) refusePending() (keep bool) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false // the listener is closed, which the next Accept reports
	}
	_ = raw.Control(func(fd uintptr) { // an error means a closed listener, which the next Accept reports
		for refused := 1; hasPending(fd); refused++ {
			if refused%maxRefusalsInARow == 0 {
				runtime.Gosched()
			}
			if l.shed() == keepConnection {
				keep = true
				return
			}
			c, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // the accept queue is empty, or the next Accept gets the same error
			}
			if closedByPeer(uintptr(c)) {
				_ = unix.Close(c)
				l.leftCount.Add(1)
				continue
			}
			l.refuse(c)
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
