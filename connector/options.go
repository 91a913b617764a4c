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

	// ErrUnauthenticated reports a peer that did not prove that it knows the fleet
	// secret, or a message of a peer that does not match its identity.
	ErrUnauthenticated = errors.New("peer is not authenticated")

	// ErrStale reports a peer or frame with an older incarnation than one already
	// seen of the same daemon.
	ErrStale = errors.New("peer has an older incarnation")

	// ErrWrongPeer reports that the daemon at an address is not the expected one.
	ErrWrongPeer = errors.New("address belongs to another daemon")

	// ErrSelf reports a connection of a daemon to itself.
	ErrSelf = errors.New("peer is this daemon")

	// errClosed reports that the hub is closed.
	errClosed = errors.New("hub is closed")
)

// Peer identifies a daemon and the address of its peer listener. An empty ID stands
// for whichever daemon answers at Address.
type Peer struct{ ID, Address string }

// Dialer opens the TCP connections to peers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options configures a Hub. Zero values of Logger, Dialer and Timing select
// defaults.
type Options struct {
	// Self is the ID of this daemon.
	Self string
	// Incarnation is the number of this process; it must grow with each restart, unless
	// OnRaised is set.
	Incarnation uint64
	// OnRaised, if not nil, lets the hub raise its incarnation: a peer to which this process
	// has not been connected yet has seen a larger one, of a run whose clock was ahead.
	// OnRaised is called with the new incarnation and must not block for long.
	OnRaised func(incarnation uint64)
	// Secret is shared by all daemons of the fleet; at least MinSecretBytes long.
	Secret []byte
	Logger *slog.Logger
	Dialer Dialer
	// OnPeerLost, if not nil, is called when the only connection to a peer has ended, which is
	// often the first sign that the peer is gone. It must not block for long.
	OnPeerLost func(id string)
	Timing     Timing
}

// MinSecretBytes is the shortest accepted fleet secret.
const MinSecretBytes = 16
