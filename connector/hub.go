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

// receivedFrames is the capacity of the channel of received frames: enough for
// three frames from each of 320 peers.
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
	// incarnation is the number of this process, which grows if OnRaised is set.
	incarnation atomic.Uint64
	// sequence is the sequence number of the last frame sent to any peer.
	sequence atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	// mutex is locked before the mutex of a peer.
	mutex  sync.Mutex
	closed bool
	// peers holds the known daemons by ID; the key of a daemon whose ID is not known
	// yet is "@" and its address.
	peers map[string]*peer
	// idByAddress maps dialed addresses to the ID that answered there.
	idByAddress map[string]string
	// newestIncarnation holds the largest incarnation seen of each daemon ID. Entries
	// are never removed; at 300 replaced hosts a day they take 10 MB in a year.
	newestIncarnation map[string]uint64
	// attached holds the IDs of the daemons to which this process has been connected.
	attached map[string]bool
}

// New returns a Hub and a function that closes it: it sends the frames queued for
// connected peers, closes the connections and waits for the goroutines. The error
// matches ErrOptions if the options are invalid.
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
		options:           o,
		timing:            o.Timing.withDefaults(),
		encoder:           e,
		received:          make(chan *messenger.Frame, receivedFrames),
		peers:             make(map[string]*peer),
		idByAddress:       make(map[string]string),
		newestIncarnation: make(map[string]uint64),
		attached:          make(map[string]bool),
		started:           time.Now(),
	}
	h.incarnation.Store(o.Incarnation)
	h.client = &http.Client{Transport: &http.Transport{DialContext: o.Dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}}
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
		p.batch.Reset(h.batchDelay(p))
	}
}

// batchDelay returns how long a new frame is filled before it is sent. The first
// frame after a pause is sent at once, so that a request waits no longer than the
// network takes. Batches of all peers end at the same times, because waking an idle
// process costs more than sending a frame.
func (h *Hub) batchDelay(p *peer) time.Duration {
	now := h.clock()
	if now-time.Duration(p.lastFlush.Load()) >= h.timing.Batch {
		return 0
	}
	return h.timing.Batch - now%h.timing.Batch
}

// Received returns the channel of frames from authenticated peers. Sender and
// Incarnation of each frame are those that the peer proved in the handshake. A
// receiver that falls behind slows the peers' connections down. The frames of one
// incarnation arrive in the order of their sequence numbers; a frame that arrives
// on a second connection after a later one is dropped. The channel is closed after
// the Hub.
func (h *Hub) Received() <-chan *messenger.Frame { return h.received }

// Stats returns the counts since New.
func (h *Hub) Stats() Stats { return h.counters.stats() }

// peer returns the peer for to and starts its goroutine if it is new; nil if the
// hub is closed or to is this daemon.
func (h *Hub) peer(to Peer) *peer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed || to.ID == h.options.Self {
		return nil
	}
	if to.ID == "" {
		// The daemon that answered at the address may have been replaced by another
		// one, so the ID is known only while its connection is open.
		if p := h.peers[h.idByAddress[to.Address]]; p != nil && p.connected() != nil {
			p.touch()
			return p
		}
	}
	return h.peerLocked(to.ID, to.Address)
}

// peerLocked returns the peer with the ID, or at the address if the ID is empty, and
// creates it if there is none. The caller holds the mutex.
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

// attach adds the link to the peer that the handshake authenticated, and reads it.
func (h *Hub) attach(l *link) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return errClosed
	}
	if l.incarnation < h.newestIncarnation[l.id] {
		return errors.Wrapf(ErrStale, "daemon %q", l.id)
	}
	h.newestIncarnation[l.id] = l.incarnation
	h.attached[l.id] = true
	p := h.peerLocked(l.id, "")
	if l.dialed != "" {
		h.idByAddress[l.dialed] = l.id
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

// startLocked is start for callers that hold the mutex of the hub.
func (h *Hub) startLocked(f func()) { h.group.Go(f) }

// removeIdle removes the peer if it was not used for Timing.Idle; it reports whether
// it did.
func (h *Hub) removeIdle(p *peer) bool {
	if p.idleTime() < h.timing.Idle {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if p.idleTime() < h.timing.Idle {
		return false
	}
	delete(h.peers, p.key)
	for a, id := range h.idByAddress {
		if id == p.id {
			delete(h.idByAddress, a)
		}
	}
	return true
}

// clock returns the time since New on the monotonic clock; never 0.
func (h *Hub) clock() time.Duration { return time.Since(h.started) + 1 }

func (h *Hub) addressOf(p *peer) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return p.address
}

// drain waits, for at most Timing.Drain, until the frames queued for connected peers
// are sent, so that the last settlements of a stopping daemon are not lost.
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
