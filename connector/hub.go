// Package connector keeps one authenticated WebSocket connection per pair of
// daemons and exchanges batched frames over it. Delivery is not guaranteed:
// frames are dropped when a peer is unreachable or slow.
package connector

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/encoder"
	"monsoondeck.example/logger"
	"monsoondeck.example/messenger"
)

// receivedFrames is the length of the channel of received frames. It absorbs one
// frame from each of 320 peers with room to spare.
const receivedFrames = 1024

// Hub holds the connections of one daemon. It is safe for concurrent use.
type Hub struct {
	options  Options
	timing   Timing
	encoder  *encoder.Encoder
	client   *http.Client
	received chan *messenger.Frame
	counters counters
	started  time.Time
	// sequence is that of the last frame sent to any peer.
	sequence atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	// mutex is taken before that of a peer.
	mutex  sync.Mutex
	closed bool
	// peers holds the known daemons by ID, and by "@" and address those whose ID
	// is not known yet.
	peers map[string]*peer
	// names maps dialed addresses to the ID that answered there.
	names map[string]string
	// newest holds the largest incarnation seen of each daemon. Entries stay for the
	// life of the hub; at 300 replaced hosts a day they take 10 MB in a year.
	newest map[string]uint64
}

// New returns a Hub and a function that sends what is queued for connected peers,
// closes the connections and waits for the goroutines. The error matches
// ErrOptions.
func New(o Options) (*Hub, func(), error) {
	if o.Self == "" {
		return nil, nil, errors.Wrap(ErrOptions, "Self is empty")
	}
	if len(o.Secret) < MinSecretBytes {
		return nil, nil, errors.Wrapf(ErrOptions, "Secret has %d bytes, at least %d are needed", len(o.Secret), MinSecretBytes)
	}
	e, err := encoder.New()
	if err != nil {
		return nil, nil, err
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Dialer == nil {
		// Keep-alive packets on hundreds of mostly idle connections would take a
		// fifth of the control traffic budget; idle connections are checked on use.
		o.Dialer = &net.Dialer{KeepAlive: -1}
	}
	h := &Hub{
		options:  o,
		timing:   o.Timing.withDefaults(),
		encoder:  e,
		received: make(chan *messenger.Frame, receivedFrames),
		peers:    make(map[string]*peer),
		names:    make(map[string]string),
		newest:   make(map[string]uint64),
		started:  time.Now(),
	}
	h.client = &http.Client{Transport: &http.Transport{DialContext: o.Dialer.DialContext, DisableKeepAlives: true}}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h, h.close, nil
}

// Send applies merge to the frame that is being filled for the peer and sends
// the frame within the batch time. Send never blocks. merge runs before Send
// returns, with the peer locked: it must not call the Hub and must not keep the
// frame. Frames that cannot be sent within Timing.MaxAge are dropped.
func (h *Hub) Send(to Peer, merge func(f *messenger.Frame)) {
	p := h.peer(to)
	if p == nil {
		return
	}
	first, dropped := p.queue.merge(time.Now(), merge)
	h.counters.dropped.Add(uint64(dropped))
	if first {
		p.batch.Reset(h.untilBatch(p))
	}
}

// untilBatch returns the time after which a frame is sent. The first frame after
// a pause goes at once, so that a request waits no longer than the network
// takes. Later ones share the ends of batches of all peers, because one wake-up
// of an idle process costs more than the work for a frame.
func (h *Hub) untilBatch(p *peer) time.Duration {
	now := h.clock()
	if now-time.Duration(p.flushed.Load()) >= h.timing.Batch {
		return 0
	}
	return h.timing.Batch - now%h.timing.Batch
}

// Received returns the channel of frames from authenticated peers. Sender and
// Incarnation of each frame are those that the peer proved at the handshake.
// A receiver that falls behind slows the peers' connections down. The
// frames of one incarnation arrive in the order of their sequence; those that a
// second connection delivers after later ones are dropped. The channel is closed
// after the Hub.
func (h *Hub) Received() <-chan *messenger.Frame { return h.received }

// Stats returns the counts since New.
func (h *Hub) Stats() Stats { return h.counters.stats() }

// peer returns the entry of the peer and starts its goroutine if it is new; nil
// if the hub is closed or to is this daemon.
func (h *Hub) peer(to Peer) *peer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed || to.ID == h.options.Self {
		return nil
	}
	if to.ID == "" {
		// The daemon that answered at the address may have been replaced by another
		// one, so only an open connection tells who is there.
		if p := h.peers[h.names[to.Address]]; p != nil && p.connected() != nil {
			p.touch()
			return p
		}
	}
	return h.peerLocked(to.ID, to.Address)
}

// peerLocked returns the entry for the ID, or for the address if the ID is
// empty, and makes one if there is none.
func (h *Hub) peerLocked(id, address string) *peer {
	key := id
	if id == "" {
		key = "@" + address
	}
	p := h.peers[key]
	if p == nil {
		p = newPeer(h, key, id)
		h.peers[key] = p
		h.startLocked(p.run)
	}
	if address != "" {
		p.address = address
	}
	p.touch()
	return p
}

// attach makes the link that of the peer whose identity the handshake proved.
func (h *Hub) attach(l *link) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return errClosed
	}
	if l.incarnation < h.newest[l.id] {
		return errors.Wrapf(ErrStale, "%s", l.id)
	}
	h.newest[l.id] = l.incarnation
	p := h.peerLocked(l.id, "")
	if l.dialed != "" {
		h.names[l.dialed] = l.id
	}
	h.startLocked(func() { h.read(p, l) })
	p.attach(l)
	logger.Emit(h.options.Logger, logger.PeerConnected, slog.String("peer", l.id),
		slog.Bool("dialed", l.dialed != ""), slog.Duration("clockDifference", l.clockDifference))
	return nil
}

// start runs f in a goroutine that close waits for; it does nothing once the hub
// is closed. The caller must not hold the mutex of the hub.
func (h *Hub) start(f func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.closed {
		h.startLocked(f)
	}
}

func (h *Hub) startLocked(f func()) { h.group.Go(f) }

// retire removes the peer if it was not used for the idle time; it reports
// whether it did.
func (h *Hub) retire(p *peer) bool {
	if p.unused() < h.timing.Idle {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if p.unused() < h.timing.Idle {
		return false
	}
	delete(h.peers, p.key)
	for a, id := range h.names {
		if id == p.id {
			delete(h.names, a)
		}
	}
	return true
}

// fresh reports whether the incarnation is the newest of the daemon.
func (h *Hub) fresh(id string, incarnation uint64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return incarnation >= h.newest[id]
}

// clock returns the time since New on the monotonic clock; never 0.
func (h *Hub) clock() time.Duration { return time.Since(h.started) + 1 }

func (h *Hub) addressOf(p *peer) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return p.address
}

// drain waits until the connected peers have sent what is queued, so that the
// last settlements of a daemon that stops are not lost.
func (h *Hub) drain(peers []*peer) {
	for end := h.clock() + h.timing.Drain; h.clock() < end; time.Sleep(h.timing.Batch) {
		if !slices.ContainsFunc(peers, (*peer).sending) {
			return
		}
	}
}

func (h *Hub) close() {
	h.mutex.Lock()
	if h.closed {
		h.mutex.Unlock()
		return
	}
	h.closed = true
	peers := slices.Collect(maps.Values(h.peers))
	h.mutex.Unlock()
	h.drain(peers)
	h.cancel()
	h.group.Wait()
	close(h.received)
}
