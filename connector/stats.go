package connector

import "sync/atomic"

// Stats counts the traffic of a Hub. Bytes are those of encoded frames, without
// WebSocket, TCP and IP headers.
type Stats struct {
	FramesSent, FramesReceived uint64
	BytesSent, BytesReceived   uint64
	// FramesDropped counts frames that were not sent because the peer was
	// unreachable or slow, or because they could not be encoded.
	FramesDropped uint64
	// FramesRejected counts received frames that were malformed, out of order, from an
	// older incarnation, or named another sender than the handshake.
	FramesRejected uint64
	// Connections counts completed handshakes, HandshakesFailed those that failed.
	Connections, HandshakesFailed uint64
}

type counters struct {
	framesSent, framesReceived    atomic.Uint64
	bytesSent, bytesReceived      atomic.Uint64
	dropped, rejected             atomic.Uint64
	connections, handshakesFailed atomic.Uint64
}

func (c *counters) stats() Stats {
	return Stats{
		FramesSent: c.framesSent.Load(), FramesReceived: c.framesReceived.Load(),
		BytesSent: c.bytesSent.Load(), BytesReceived: c.bytesReceived.Load(),
		FramesDropped: c.dropped.Load(), FramesRejected: c.rejected.Load(),
		Connections: c.connections.Load(), HandshakesFailed: c.handshakesFailed.Load(),
	}
}
