package connector

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"monsoondeck.example/messenger"
)

// peer sends the frames for one daemon. One goroutine, run, writes; dialing and
// checks of connections run beside it.
type peer struct {
	hub *Hub
	key string
	// id is empty for a daemon that is known only by its address.
	id string
	// address is guarded by the mutex of the hub.
	address string
	// used is the time of the last use by the clock of the hub.
	used  atomic.Int64
	queue queue
	// batch fires when the current batch is to be sent.
	batch *time.Timer
	// flushed is the time by clock of the last batch.
	flushed atomic.Int64
	// flushing is set while frames are taken from the queue and written.
	flushing atomic.Bool
	// changed wakes run when links changed.
	changed chan struct{}

	// receiving orders the frames of the peer; last is the last one handed over.
	receiving sync.Mutex
	last      struct{ incarnation, sequence uint64 }

	mutex sync.Mutex
	// links holds the open connections, newest last. There is one, except while it
	// is decided which of two simultaneous connections stays.
	links   []*link
	dialing bool
	backoff time.Duration
	retryAt time.Time
}

func newPeer(h *Hub, key, id string) *peer {
	p := &peer{hub: h, key: key, id: id, batch: time.NewTimer(time.Hour), changed: make(chan struct{}, 1)}
	p.batch.Stop()
	return p
}

func (p *peer) touch() { p.used.Store(int64(p.hub.clock())) }

func (p *peer) unused() time.Duration { return p.hub.clock() - time.Duration(p.used.Load()) }

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
			p.flushed.Store(int64(p.hub.clock()))
			p.flush()
		case <-time.After(p.patience()):
			p.check()
			if p.hub.retire(p) {
				return
			}
		case <-p.hub.ctx.Done():
			return
		}
	}
}

// sending reports whether frames wait for, or are written to, a connected peer.
func (p *peer) sending() bool {
	return p.connected() != nil && (!p.queue.empty() || p.flushing.Load())
}

// patience returns how long to wait for messages before the connection and the
// use of the peer are checked. Without an open question the checks are rare, to
// save timers on hundreds of idle connections.
func (p *peer) patience() time.Duration {
	if l := p.connected(); l != nil && l.silent(0) {
		return p.hub.timing.Answer
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

// flush writes the queued frames, and connects first where needed. It returns
// when none is left, or when the peer's frames have moved to another entry.
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
	// The handshake has told the receiver who sends; the names would be a fifth
	// of the control traffic.
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
	if err := l.write(h.ctx, b, h.timing.Ping); err != nil {
		h.counters.dropped.Add(1)
		l.abort()
		p.detach(l)
		return
	}
	h.counters.framesSent.Add(1)
	h.counters.bytesSent.Add(uint64(len(b)))
}

// connect waits for a connection, which it dials if the back-off allows. It
// reports false when there is nothing left to send.
func (p *peer) connect() bool {
	n := p.queue.expire(time.Now(), p.hub.timing.MaxAge)
	p.hub.counters.dropped.Add(uint64(n))
	if p.queue.empty() {
		return false
	}
	select {
	case <-p.changed:
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
		if !l.retiring {
			return l
		}
	}
	if n := len(p.links); n > 0 {
		return p.links[n-1]
	}
	return nil
}

// attach adds a link and closes those that it replaces: links of an older
// incarnation, and links that the same side dialed earlier. The caller holds the
// mutex of the hub.
func (p *peer) attach(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.links = slices.DeleteFunc(p.links, func(o *link) bool {
		replaced := o.incarnation < l.incarnation || (o.dialed == "") == (l.dialed == "")
		if replaced {
			// Closing can wait for a close handshake, so it must not run under the locks
			// that Send takes.
			p.hub.startLocked(o.abort)
		}
		return replaced
	})
	p.links = append(p.links, l)
	p.backoff = 0
	if len(p.links) > 1 {
		p.settle(p.links[0], p.links[1])
	}
	signal(p.changed)
}

// settle decides which of two simultaneous connections stays: the one that the
// daemon with the smaller ID dialed. That daemon closes the other one once the
// first has answered a ping, and keeps it instead if the first does not answer.
// The other side only stops to write on its own one. The caller holds the mutexes
// of the hub and the peer.
func (p *peer) settle(preferred, other *link) {
	first := p.hub.options.Self < preferred.id
	if (preferred.dialed != "") != first {
		preferred, other = other, preferred
	}
	if first {
		p.hub.startLocked(func() { p.arbitrate(preferred, other) })
	} else {
		other.retiring = true
	}
}

func (p *peer) arbitrate(preferred, other *link) {
	if !preferred.alive(p.hub.ctx, p.hub.timing.Ping) {
		preferred.abort()
		p.detach(preferred)
		return
	}
	p.mutex.Lock()
	other.retiring = true
	p.mutex.Unlock()
	// The answer to the ping shows that the peer uses the preferred connection.
	// What it wrote before on the other one arrives in the meantime.
	if p.sleep(p.hub.timing.Answer) {
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
	signal(p.changed)
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

// check pings the peer if it has not answered for a while, and closes the link
// if the ping is not answered either.
func (p *peer) check() {
	l := p.connected()
	if l == nil || !l.silent(p.hub.timing.Answer) || !l.checking.CompareAndSwap(false, true) {
		return
	}
	p.hub.start(func() {
		defer l.checking.Store(false)
		if !l.alive(p.hub.ctx, p.hub.timing.Ping) {
			l.abort()
			p.detach(l)
		}
	})
}
