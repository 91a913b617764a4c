package connector

import (
	"context"
	"log/slog"
	"net"

	"github.com/cockroachdb/errors"
)

var (
	// ErrOptions reports options that New does not accept.
	ErrOptions = errors.New("connector options are invalid")

	// ErrUnauthenticated reports a peer that does not know the fleet secret.
	ErrUnauthenticated = errors.New("peer is not authenticated")

	// ErrStale reports a peer or frame with an older incarnation than one already
	// seen of the same daemon.
	ErrStale = errors.New("peer has an older incarnation")

	// ErrOther reports that another daemon than expected answers at an address.
	ErrOther = errors.New("another daemon answers at the address")

	// ErrSelf reports a connection of a daemon to itself.
	ErrSelf = errors.New("peer is this daemon")

	// errClosed reports that the hub is closed.
	errClosed = errors.New("hub is closed")
)

// Peer names a daemon and the address of its peer listener. An empty ID stands
// for whichever daemon answers at Address.
type Peer struct{ ID, Address string }

// Dialer opens the TCP connections to peers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options configures a Hub. Zero values of Logger, Dialer and Timing select
// defaults.
type Options struct {
	// Self is the name of this daemon.
	Self string
	// Incarnation is that of this process; a restart must raise it.
	Incarnation uint64
	// Secret is shared by the fleet; at least MinSecretBytes.
	Secret []byte
	Logger *slog.Logger
	Dialer Dialer
	// Lost is called when the only connection to a peer ended without having been
	// replaced, which is often the first sign that the peer is gone. It must not block
	// for long; nil is not called.
	Lost   func(id string)
	Timing Timing
}

// MinSecretBytes is the shortest accepted fleet secret.
const MinSecretBytes = 16
