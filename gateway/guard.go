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

// guard is a listener that closes new connections unread while the host is
// busy. That costs a small part of an answer, and a caller whose request was not
// read may try another host at once, instead of waiting for seconds.
type guard struct {
	net.Listener
	refuse func() bool
	// closed counts the connections that were closed unread.
	closed atomic.Int64
}

// Accept implements net.Listener.
func (g *guard) Accept() (net.Conn, error) {
	decided := false // the next connection is to be kept
	for {
		c, err := g.Listener.Accept()
		if err != nil || decided || !g.refuse() {
			return c, err
		}
		g.closed.Add(1)
		_ = c.Close() // the caller sees the end of the connection
		decided = g.closeWaiting()
	}
}

// closeWaiting closes the connections that wait to be accepted until one is to be
// kept, and reports whether one is. The runtime would register and set up each of
// them first, which costs several times as much as the two calls made here.
func (g *guard) closeWaiting() (keep bool) {
	l, ok := g.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return false // the listener is closed; the next Accept tells
	}
	_ = raw.Control(func(fd uintptr) { // fails on a closed listener, too
		for {
			if !g.refuse() {
				keep = true
				return
			}
			c, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // none waits any more, or the next Accept meets the error as well
			}
			g.closed.Add(1)
			_ = unix.Close(c) // the caller sees the end of the connection
		}
	})
	return keep
}

// connectionKey is the key of the caller's connection in the context of a request.
type connectionKey struct{}

// withConnection keeps the connection for callerLeft.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// callerLeft reports whether the caller has closed its connection. The server
// notices that by itself, but on a busy host only some time after it has handed
// over the request.
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
