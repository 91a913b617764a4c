// Package dialer returns a net.Dialer whose connections fail soon after the peer
// becomes unreachable.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the TCP_USER_TIMEOUT: how long sent data may stay unacknowledged, or
	// the receive window of the peer closed, before the kernel closes the connection.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect an unreachable peer
	// while no data is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// New returns a dialer. The timeout bounds opening a connection.
func New(timeout time.Duration) *net.Dialer {
	d := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return setOption(raw, unix.TCP_USER_TIMEOUT, userTimeout)
		},
	}
	d.SetMultipathTCP(false)
	return d
}

// setOption sets a TCP option that is a time in milliseconds.
func setOption(raw syscall.RawConn, option int, d time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, int(d/time.Millisecond))
	})
	return errors.CombineErrors(err, sockoptErr)
}
