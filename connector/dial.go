package connector

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"monsoondeck.example/logger"
)

// peerPath is the HTTP path of the peer listener.
const peerPath = "/peer"

// startDial starts an attempt to connect unless one runs or the back-off has not
// passed. It returns how long to wait for a result.
func (p *peer) startDial() time.Duration {
	address := p.hub.addressOf(p)
	p.mutex.Lock()
	wait := time.Until(p.retryAt)
	start := wait <= 0 && !p.dialing && address != ""
	if start {
		p.dialing = true
		p.retryAt = time.Now().Add(p.hub.timing.MinBackoff)
	}
	p.mutex.Unlock()
	if wait > 0 {
		return min(wait, p.hub.timing.MaxAge)
	}
	if start {
		p.hub.start(func() { p.dial(address) })
	}
	return p.hub.timing.MaxAge
}

// dial connects once. On failure it sets the time of the next attempt.
func (p *peer) dial(address string) {
	l, err := p.hub.dial(address, p.id)
	if err == nil {
		err = p.hub.attach(l)
		if err != nil {
			l.abort()
		}
	}
	if err != nil {
		p.hub.counters.handshakesFailed.Add(1)
		if errors.IsAny(err, ErrUnauthenticated, ErrStale) {
			logger.Emit(p.hub.options.Logger, logger.PeerRejected, slog.String("address", address), slog.Any("error", err))
		}
	} else if p.id == "" {
		p.hub.moveQueue(p, l.id)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dialing = false
	if err != nil {
		t := p.hub.timing
		p.backoff = min(max(2*p.backoff, t.MinBackoff), t.MaxBackoff)
		p.retryAt = time.Now().Add(p.backoff/2 + rand.N(p.backoff/2))
	}
	signal(p.linksChanged)
}

// dial opens a connection to the address and authenticates both ends. An empty ID
// accepts any daemon there.
func (h *Hub) dial(address, id string) (*link, error) {
	ctx, cancel := context.WithTimeout(h.ctx, h.timing.Handshake)
	defer cancel()
	c, r, err := websocket.Dial(ctx, "ws://"+address+peerPath, &websocket.DialOptions{
		HTTPClient: h.client, CompressionMode: websocket.CompressionDisabled})
	if r != nil && r.Body != nil {
		_ = r.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "connect to a peer")
	}
	l, err := h.dialerHandshake(ctx, c, id)
	if err != nil {
		_ = c.CloseNow()
		return nil, err
	}
	l.dialed = address
	h.counters.connections.Add(1)
	return l, nil
}

// moveQueue moves the frames queued for an address to the daemon that answers there.
func (h *Hub) moveQueue(from *peer, id string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if to := h.peers[id]; to != nil {
		from.queue.moveTo(&to.queue)
		to.batch.Reset(0)
	}
}
