package connector

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"monsoondeck.example/encoder"
	"monsoondeck.example/logger"
	"monsoondeck.example/messenger"
)

// reasonDuplicate is the reason for closing one of two connections after two
// daemons have dialed each other at the same time.
const reasonDuplicate = "duplicate"

// link is one authenticated connection.
type link struct {
	conn *websocket.Conn
	// id and incarnation are those that the peer proved in the handshake.
	id          string
	incarnation uint64
	// dialed is the address that this daemon dialed; empty if the peer dialed.
	dialed string
	// clockDifference is how far the clock of the peer is behind that of this daemon.
	clockDifference time.Duration
	// rejectionLogged is set after the first rejected frame, because one log record for
	// each connection is enough; only the reader uses it.
	rejectionLogged bool
	clock           func() time.Duration
	// unansweredSince is the time, by clock, of the first frame written after the last
	// one received; 0 if there is none.
	unansweredSince atomic.Int64
	checking        atomic.Bool
	// closing is set once another connection replaces this one; guarded by the
	// mutex of the peer.
	closing bool
}

// write sends one encoded frame. After an error the connection is closed.
func (l *link) write(ctx context.Context, b []byte, timeout time.Duration) error {
	l.unansweredSince.CompareAndSwap(0, int64(l.clock()))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return errors.Wrap(l.conn.Write(ctx, websocket.MessageBinary, b), "write a frame")
}

// unanswered reports whether a frame was written at least d ago and nothing was
// received since.
func (l *link) unanswered(d time.Duration) bool {
	since := l.unansweredSince.Load()
	return since != 0 && l.clock()-time.Duration(since) >= d
}

// alive reports whether the peer answers a ping within the timeout.
func (l *link) alive(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if l.conn.Ping(ctx) != nil {
		return false
	}
	l.unansweredSince.Store(0)
	return true
}

func (l *link) abort() { _ = l.conn.CloseNow() }

// read delivers the frames of the link until it fails.
func (h *Hub) read(p *peer, l *link) {
	l.conn.SetReadLimit(encoder.MaxBytes)
	for {
		_, b, err := l.conn.Read(h.ctx)
		if err != nil {
			logger.Emit(h.options.Logger, logger.PeerDisconnected, slog.String("peer", l.id), slog.Any("error", err))
			break
		}
		l.unansweredSince.Store(0)
		p.touch()
		h.counters.framesReceived.Add(1)
		h.counters.bytesReceived.Add(uint64(len(b)))
		if !h.deliver(p, l, b) {
			break
		}
	}
	l.abort()
	if p.detach(l) && h.ctx.Err() == nil && h.options.OnPeerLost != nil {
		h.options.OnPeerLost(l.id)
	}
}

// identify sets the sender that the peer proved in the handshake. A frame
// that names another one is rejected with ErrUnauthenticated.
func (l *link) identify(f *messenger.Frame) error {
	if f.Sender != "" && f.Sender != l.id || f.Incarnation != 0 && f.Incarnation != l.incarnation {
		return errors.Wrapf(ErrUnauthenticated, "frame names %q as its sender", f.Sender)
	}
	f.Sender, f.Incarnation = l.id, l.incarnation
	return nil
}

// deliver decodes a frame and hands it over; it reports whether to read on.
func (h *Hub) deliver(p *peer, l *link, b []byte) bool {
	f, err := h.encoder.Decode(b)
	if err == nil {
		err = l.identify(f)
	}
	if err != nil {
		h.counters.rejected.Add(1)
		if !l.rejectionLogged {
			l.rejectionLogged = true
			logger.Emit(h.options.Logger, logger.PeerRejected, slog.String("peer", l.id), slog.Any("error", err))
		}
		return true
	}
	if !h.isNewest(l.id, l.incarnation) {
		h.counters.rejected.Add(1)
		return false
	}
	return p.handOver(f)
}

// handOver passes a frame to the receiver unless a later one was passed before. It
// reports false if the hub closes.
func (p *peer) handOver(f *messenger.Frame) bool {
	p.receiveMutex.Lock()
	defer p.receiveMutex.Unlock()
	if f.Incarnation == p.lastReceived.incarnation && f.Sequence <= p.lastReceived.sequence || f.Incarnation < p.lastReceived.incarnation {
		p.hub.counters.rejected.Add(1)
		return true
	}
	select {
	case p.hub.received <- f:
		p.lastReceived.incarnation, p.lastReceived.sequence = f.Incarnation, f.Sequence
		return true
	case <-p.hub.ctx.Done():
		return false
	}
}
