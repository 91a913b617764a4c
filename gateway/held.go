package gateway

import (
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// maxHeldTime is the longest time for which a connection is held. Most callers leave by then.
const maxHeldTime = time.Second

// heldConnections are the connections that a host has accepted and had no processor time to
// serve or to refuse yet. The newest is served first: on a host that is behind, the callers of
// the oldest are about to leave. It is not safe for concurrent use.
type heldConnections struct {
	// all holds the connections, the oldest first, at most limit; 0 means that none is held.
	all   []heldConnection
	limit int
	// left is called for each connection that its caller has closed.
	left func()
}

type heldConnection struct {
	descriptor int
	accepted   time.Time
}

// full reports whether there is no room for another connection.
func (h *heldConnections) full() bool { return len(h.all) >= h.limit }

// push adds a connection, for which there must be room.
func (h *heldConnections) push(c heldConnection) { h.all = append(h.all, c) }

// newest removes the newest connection whose caller still waits; false if there is none.
func (h *heldConnections) newest() (heldConnection, bool) {
	for n := len(h.all); n > 0; n = len(h.all) {
		c := h.all[n-1]
		h.all = h.all[:n-1]
		if !closedByPeer(uintptr(c.descriptor)) {
			return c, true
		}
		h.drop(c)
	}
	return heldConnection{}, false
}

// oldest removes connections from the oldest one on, up to the first whose caller still waits and
// that may be held for longer. It drops those whose callers have left and calls expired with the
// file descriptors of the others.
func (h *heldConnections) oldest(expired func(descriptor int)) {
	n := 0
	for ; n < len(h.all); n++ {
		c := h.all[n]
		if closedByPeer(uintptr(c.descriptor)) {
			h.drop(c)
		} else if time.Since(c.accepted) >= maxHeldTime {
			expired(c.descriptor)
		} else {
			break
		}
	}
	h.all = append(h.all[:0], h.all[n:]...)
}

func (h *heldConnections) drop(c heldConnection) {
	_ = unix.Close(c.descriptor) // an error changes nothing: the descriptor is gone
	h.left()
}

// fileConnection returns a connection by its file descriptor, which it takes over.
func fileConnection(descriptor int) (net.Conn, error) {
	f := os.NewFile(uintptr(descriptor), "")
	defer func() { _ = f.Close() }() // the connection has a duplicate
	return net.FileConn(f)
}
