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

// reasonDuplicate is the close reason of the connection that gives way when two
// daemons have connected to each other at the same time.
const reasonDuplicate = "duplicate"

// link is one authenticated connection.
type link struct {
	conn *websocket.Conn
	// id and incarnation are those that the peer proved.
	id          string
	incarnation uint64
	// dialed is the address that this daemon dialed; empty if the peer dialed.
	dialed string
	// clockDifference is how far the clock of the peer is behind.
	clockDifference time.Duration
	// faulty is set after the first rejected frame; only the reader uses it.
	faulty bool
	clock  func() time.Duration
	// silentSince is the time by clock of the first frame written after the last
	// one received; 0 if there is none.
	silentSince atomic.Int64
	checking    atomic.Bool
	// retiring is set when another connection replaces this one; guarded by the
	// mutex of the peer.
	retiring bool
}

// write sends one encoded frame. After an error the connection is closed.
func (l *link) write(ctx context.Context, b []byte, limit time.Duration) error {
	l.silentSince.CompareAndSwap(0, int64(l.clock()))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return errors.Wrap(l.conn.Write(ctx, websocket.MessageBinary, b), "write a frame")
}

// silent reports whether a frame was written at least d ago and nothing was
// received since.
func (l *link) silent(d time.Duration) bool {
	since := l.silentSince.Load()
	return since != 0 && l.clock()-time.Duration(since) >= d
}

// alive reports whether the peer answers a ping within the limit.
func (l *link) alive(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if l.conn.Ping(ctx) != nil {
		return false
	}
	l.silentSince.Store(0)
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
		l.silentSince.Store(0)
		p.touch()
		h.counters.framesReceived.Add(1)
		h.counters.bytesReceived.Add(uint64(len(b)))
		if !h.deliver(p, l, b) {
			break
		}
	}
	l.abort()
	if p.detach(l) && h.ctx.Err() == nil && h.options.Lost != nil {
		h.options.Lost(l.id)
	}
}

// identify fills in the sender that the peer proved at the handshake. A frame
// that names another one is rejected with ErrUnauthenticated.
func (l *link) identify(f *messenger.Frame) error {
	if f.Sender != "" && f.Sender != l.id || f.Incarnation != 0 && f.Incarnation != l.incarnation {
		return errors.Wrapf(ErrUnauthenticated, "frame of %q", f.Sender)
	}
	f.Sender, f.Incarnation = l.id, l.incarnation
	return nil
}

// deliver decodes a frame and passes it on; it reports whether to continue.
func (h *Hub) deliver(p *peer, l *link, b []byte) bool {
	f, err := h.encoder.Decode(b)
	if err == nil {
		err = l.identify(f)
	}
	if err != nil {
		h.counters.rejected.Add(1)
		if !l.faulty {
			l.faulty = true // one record for each connection, not for each frame
			logger.Emit(h.options.Logger, logger.PeerRejected, slog.String("peer", l.id), slog.Any("error", err))
		}
		return true
	}
	if !h.fresh(l.id, l.incarnation) {
		h.counters.rejected.Add(1)
		return false
	}
	return p.pass(f)
}

// pass hands a frame to the receiver unless a later one was handed over before.
// It reports false if the hub closes.
func (p *peer) pass(f *messenger.Frame) bool {
	p.receiving.Lock()
	defer p.receiving.Unlock()
	if f.Incarnation == p.last.incarnation && f.Sequence <= p.last.sequence || f.Incarnation < p.last.incarnation {
		p.hub.counters.rejected.Add(1)
		return true
	}
	select {
	case p.hub.received <- f:
		p.last.incarnation, p.last.sequence = f.Incarnation, f.Sequence
		return true
	case <-p.hub.ctx.Done():
		return false
	}
}
