package gateway

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// heldConnections are the connections that a host has accepted and had no processor time to
// serve or to refuse yet. The newest is served first: on a host that is behind, the callers of
// the oldest are about to leave. It is not safe for concurrent use.
type heldConnections struct {
	// descriptors are the connections, the oldest first, at most limit; 0 means that none is
	// held.
	descriptors []int
	limit       int
	// left is called for each connection that its caller has closed.
	left func()
}

// full reports whether there is no room for another connection.
func (h *heldConnections) full() bool { return len(h.descriptors) >= h.limit }

// push adds a connection, for which there must be room.
func (h *heldConnections) push(descriptor int) { h.descriptors = append(h.descriptors, descriptor) }

// newest removes the newest connection whose caller still waits; -1 if there is none.
func (h *heldConnections) newest() int {
	for n := len(h.descriptors); n > 0; n = len(h.descriptors) {
		descriptor := h.descriptors[n-1]
		h.descriptors = h.descriptors[:n-1]
		if !closedByPeer(uintptr(descriptor)) {
			return descriptor
		}
		h.drop(descriptor)
	}
	return -1
}

// dropLeft closes the connections that their callers have closed, from the oldest one on up to
// the first whose caller still waits.
func (h *heldConnections) dropLeft() {
	n := 0
	for n < len(h.descriptors) && closedByPeer(uintptr(h.descriptors[n])) {
		h.drop(h.descriptors[n])
		n++
	}
	h.descriptors = append(h.descriptors[:0], h.descriptors[n:]...)
}

func (h *heldConnections) drop(descriptor int) {
	_ = unix.Close(descriptor) // an error changes nothing: the descriptor is gone
	h.left()
}

// close closes all connections.
func (h *heldConnections) close() {
	for _, descriptor := range h.descriptors {
		_ = unix.Close(descriptor)
	}
	h.descriptors = nil
}

// fileConnection returns a connection by its file descriptor, which it takes over.
func fileConnection(descriptor int) (net.Conn, error) {
	f := os.NewFile(uintptr(descriptor), "")
	defer func() { _ = f.Close() }() // the connection has a duplicate
	return net.FileConn(f)
}
