package connector

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"monsoondeck.example/encoder"
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
	// sequence is the number of the last frame written; only the goroutine of the
	// peer uses it.
	sequence uint64
	clock    func() time.Duration
	// silentSince is the time by clock of the first frame written after the last
	// one received; 0 if there is none.
	silentSince atomic.Int64
	checking    atomic.Bool
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
			h.options.Logger.Debug("peer connection ended", "peer", l.id, "error", err)
			break
		}
		l.silentSince.Store(0)
		p.touch()
		h.counters.framesReceived.Add(1)
		h.counters.bytesReceived.Add(uint64(len(b)))
		if !h.deliver(l, b) {
			break
		}
	}
	l.abort()
	p.detach(l)
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
func (h *Hub) deliver(l *link, b []byte) bool {
	f, err := h.encoder.Decode(b)
	if err == nil {
		err = l.identify(f)
	}
	if err != nil {
		h.counters.rejected.Add(1)
		h.options.Logger.Warn("frame rejected", "peer", l.id, "error", err)
		return true
	}
	if !h.fresh(l.id, l.incarnation) {
		h.counters.rejected.Add(1)
		return false
	}
	select {
	case h.received <- f:
		return true
	case <-h.ctx.Done():
		return false
	}
}
