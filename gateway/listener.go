package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// sheddingListener is a net.Listener that closes new connections unread while the
// host is overloaded. That costs a small part of the work for an answer, and a
// caller whose request was not read may try another host at once, instead of
// waiting for seconds.
type sheddingListener struct {
	net.Listener
	// shed decides whether the next connection is closed. It is called once for each
	// connection.
	shed func() bool
	// shedCount is the number of connections that were closed unread.
	shedCount atomic.Int64
}

// Accept implements net.Listener.
func (l *sheddingListener) Accept() (net.Conn, error) {
	keepNext := false // shed has already decided to keep the next connection
	for {
		c, err := l.Listener.Accept()
		if err != nil || keepNext || !l.shed() {
			return c, err
		}
		l.shedCount.Add(1)
		_ = c.Close() // the caller sees the end of the connection
		keepNext = l.closePending()
	}
}

// closePending closes connections from the accept queue of the kernel until shed
// decides to keep one, and reports whether it did. Accepting them with net.Listener
// would register and set up each one in the runtime, which costs several times as
// much as the two system calls made here.
func (l *sheddingListener) closePending() (keep bool) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false // the listener is closed, which the next Accept reports
	}
	_ = raw.Control(func(fd uintptr) { // an error means a closed listener, which the next Accept reports
		for {
			if !l.shed() {
				keep = true
				return
			}
			c, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // the accept queue is empty, or the next Accept gets the same error
			}
			l.shedCount.Add(1)
			_ = unix.Close(c) // the caller sees the end of the connection
		}
	})
	return keep
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
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return left || err != nil
}
