package connector

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"monsoondeck.example/messenger"
)

// peer sends the frames for one daemon. Only the goroutine that calls run writes;
// dialing and the checks of connections have goroutines of their own.
type peer struct {
	hub *Hub
	// key is the key of the peer in Hub.peers.
	key string
	// id is empty for a daemon that is known only by its address.
	id string
	// address is guarded by the mutex of the hub.
	address string
	// lastUsed is when the peer was last sent to or received from, by the clock of the
	// hub.
	lastUsed atomic.Int64
	queue    queue
	// batch fires when the current batch is to be sent.
	batch *time.Timer
	// lastFlush is when the last batch was sent, by the clock of the hub.
	lastFlush atomic.Int64
	// flushing is set while frames are taken from the queue and written.
	flushing atomic.Bool
	// linksChanged wakes run when links have changed or an attempt to dial has ended.
	linksChanged chan struct{}

	// receiveMutex serializes the frames of the peer's links; lastReceived identifies
	// the last one handed over.
	receiveMutex sync.Mutex
	lastReceived struct{ incarnation, sequence uint64 }

	// mutex guards the fields below.
	mutex sync.Mutex
	// links holds the open connections, newest last. There is at most one, except
	// while one of two simultaneous connections is being closed.
	links []*link
	// dialing is set while an attempt to connect runs.
	dialing bool
	// backoff is the upper bound of the wait after the last failed attempt; 0 after a
	// success. retryAt is the earliest time of the next attempt.
	backoff time.Duration
	retryAt time.Time
}

func newPeer(h *Hub, key, id string) *peer {
	p := &peer{hub: h, key: key, id: id, batch: time.NewTimer(time.Hour), linksChanged: make(chan struct{}, 1)}
	p.batch.Stop()
	return p
}

func (p *peer) touch() { p.lastUsed.Store(int64(p.hub.clock())) }

func (p *peer) idleTime() time.Duration { return p.hub.clock() - time.Duration(p.lastUsed.Load()) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run sends queued frames until the hub closes or the peer is forgotten.
func (p *peer) run() {
	defer p.abortLinks()
	for {
		select {
		case <-p.batch.C:
			p.lastFlush.Store(int64(p.hub.clock()))
			p.flush()
		case <-time.After(p.checkInterval()):
			p.check()
			if p.hub.removeIdle(p) {
				return
			}
		case <-p.hub.ctx.Done():
			return
		}
	}
}

// sending reports whether frames for a connected peer are queued or being written.
func (p *peer) sending() bool {
	return p.connected() != nil && (!p.queue.empty() || p.flushing.Load())
}

// checkInterval returns the time between checks of whether the connection works and
// the peer is still used. The checks are rare while no frame is unanswered, to save
// timers on hundreds of idle connections.
func (p *peer) checkInterval() time.Duration {
	if l := p.connected(); l != nil && l.unanswered(0) {
		return p.hub.timing.PingAfter
	}
	return p.hub.timing.Idle / 4
}

func (p *peer) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-p.hub.ctx.Done():
		return false
	}
}

// flush writes the queued frames and connects first if there is no connection. It
// returns when none is left, for example because all have moved to another peer.
func (p *peer) flush() {
	p.flushing.Store(true)
	defer p.flushing.Store(false)
	for {
		l := p.connected()
		if l == nil {
			if !p.connect() {
				return
			}
			continue
		}
		p.check()
		f, dropped := p.queue.take(time.Now(), p.hub.timing.MaxAge)
		p.hub.counters.dropped.Add(uint64(dropped))
		if f == nil {
			return
		}
		p.write(l, f)
	}
}

// write encodes and sends a frame, in parts if it is too large.
func (p *peer) write(l *link, f *messenger.Frame) {
	h := p.hub
	// The receiver knows the sender from the handshake; sending it with each frame
	// would add a fifth to the control traffic.
	f.Sender, f.Incarnation = "", 0
	f.Sequence = h.sequence.Add(1)
	b, err := h.encoder.Encode(*f)
	if err != nil {
		if first, second, ok := split(f); ok {
			p.write(l, first)
			p.write(l, second)
			return
		}
		h.counters.dropped.Add(1)
		return
	}
	if err := l.write(h.ctx, b, h.timing.PingTimeout); err != nil {
		h.counters.dropped.Add(1)
		l.abort()
		p.detach(l)
		return
	}
	h.counters.framesSent.Add(1)
	h.counters.bytesSent.Add(uint64(len(b)))
}

// connect waits until the links change, and dials if the back-off allows it. It
// reports false if nothing is left to send or the hub closes.
func (p *peer) connect() bool {
	n := p.queue.expire(time.Now(), p.hub.timing.MaxAge)
	p.hub.counters.dropped.Add(uint64(n))
	if p.queue.empty() {
		return false
	}
	select {
	case <-p.linksChanged:
	case <-time.After(p.startDial()):
	case <-p.hub.ctx.Done():
		return false
	}
	return true
}

// connected returns the link to write to: the newest that is not about to be
// closed; nil if there is none.
func (p *peer) connected() *link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range slices.Backward(p.links) {
		if !l.closing {
			return l
		}
	}
	if n := len(p.links); n > 0 {
		return p.links[n-1]
	}
	return nil
}

// attach adds a link and closes the links that it replaces: those of an older
// incarnation, and those that the same side dialed earlier. The caller holds the
// mutex of the hub.
func (p *peer) attach(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.links = slices.DeleteFunc(p.links, func(o *link) bool {
		replaced := o.incarnation < l.incarnation || (o.dialed == "") == (l.dialed == "")
		if replaced {
			// Closing can wait for a close handshake, so it must not run while the mutexes
			// that Send locks are held.
			p.hub.startLocked(o.abort)
		}
		return replaced
	})
	p.links = append(p.links, l)
	p.backoff = 0
	if len(p.links) > 1 {
		p.resolveDuplicate(p.links[0], p.links[1])
	}
	signal(p.linksChanged)
}

// resolveDuplicate decides which of two simultaneous connections stays: the one
// that the daemon with the smaller ID dialed. That daemon closes the other one
// after the peer has answered a ping on the preferred one; without an answer it
// keeps the other one instead. The peer only stops writing to the one that it
// dialed. The caller holds the mutexes of the hub and the peer.
func (p *peer) resolveDuplicate(preferred, other *link) {
	first := p.hub.options.Self < preferred.id
	if (preferred.dialed != "") != first {
		preferred, other = other, preferred
	}
	if first {
		p.hub.startLocked(func() { p.keepPreferred(preferred, other) })
	} else {
		other.closing = true
	}
}

// keepPreferred closes other if the peer answers a ping on preferred, and preferred
// if it does not.
func (p *peer) keepPreferred(preferred, other *link) {
	if !preferred.alive(p.hub.ctx, p.hub.timing.PingTimeout) {
		preferred.abort()
		p.detach(preferred)
		return
	}
	p.mutex.Lock()
	other.closing = true
	p.mutex.Unlock()
	// The answer to the ping shows that the peer uses the preferred connection. The
	// wait lets frames arrive that it wrote to the other one before.
	if p.sleep(p.hub.timing.PingAfter) {
		_ = other.conn.Close(websocket.StatusNormalClosure, reasonDuplicate)
	}
	p.detach(other)
}

// detach removes a link and reports whether it was the only one.
func (p *peer) detach(l *link) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	only := len(p.links) == 1 && p.links[0] == l
	p.links = slices.DeleteFunc(p.links, func(o *link) bool { return o == l })
	signal(p.linksChanged)
	return only
}

func (p *peer) abortLinks() {
	p.mutex.Lock()
	links := p.links
	p.links = nil
	p.mutex.Unlock()
	for _, l := range links {
		l.abort()
	}
}

// check pings the peer if a frame has been unanswered for PingAfter, and closes the
// link if the ping is not answered either.
func (p *peer) check() {
	l := p.connected()
	if l == nil || !l.unanswered(p.hub.timing.PingAfter) || !l.checking.CompareAndSwap(false, true) {
		return
	}
	p.hub.start(func() {
		defer l.checking.Store(false)
		if !l.alive(p.hub.ctx, p.hub.timing.PingTimeout) {
			l.abort()
			p.detach(l)
		}
	})
}
