// Package dialer opens connections that are found broken soon after the other
// side has gone silent.
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
	// userTimeout is how long sent bytes may stay unacknowledged before the connection
	// counts as broken.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes find connections that went
	// silent while nothing is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// New returns a dialer that gives up a connection after the timeout.
func New(timeout time.Duration) *net.Dialer {
	d := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		ControlContext: setUserTimeout,
	}
	d.SetMultipathTCP(false)
	return d
}

func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, failed)
}
