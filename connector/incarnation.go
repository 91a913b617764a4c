package connector

import (
	"log/slog"
	"math"

	"monsoondeck.example/logger"
)

// isNewest reports whether no larger incarnation of the daemon was seen.
func (h *Hub) isNewest(id string, incarnation uint64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return incarnation >= h.newestIncarnation[id]
}

// newest returns the largest incarnation that was seen of the daemon; 0 if there is none.
func (h *Hub) newest(id string) uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.newestIncarnation[id]
}

// raise raises the incarnation of this process above the one that the peer, which has proved
// who it is, has seen. A peer to which this process was connected before has seen a later
// run instead, which this one must not replace.
func (h *Hub) raise(peer hello) {
	if h.options.OnRaised == nil || peer.Newest == math.MaxUint64 {
		return
	}
	h.mutex.Lock()
	own := h.incarnation.Load()
	raised := peer.Newest > own && !h.attached[peer.ID]
	if raised {
		h.incarnation.Store(peer.Newest + 1)
	}
	h.mutex.Unlock()
	if raised {
		logger.Emit(h.options.Logger, logger.IncarnationRaised, slog.String("peer", peer.ID), slog.Uint64("from", own), slog.Uint64("to", peer.Newest+1))
		h.options.OnRaised(peer.Newest + 1)
	}
}
