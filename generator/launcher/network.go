package launcher

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// place is one end of a connection: a process or the platform.
type place struct {
	name, dataCentre string
}

// network relays the connections of daemons to other daemons, targets and the
// platform, so that they can be delayed and cut. A cut keeps data back in both
// or in one direction; connections stay open, as in a partition.
type network struct {
	delay  time.Duration // one way, between data centres
	source func(net.Conn) (place, bool)

	mu        sync.Mutex
	changed   chan struct{} // closed at every change of the cuts
	cut       map[string]bool
	muted     map[string]bool
	listeners []net.Listener
	open      map[net.Conn]bool
	closed    bool
	group     sync.WaitGroup
}

func newNetwork(delay time.Duration, source func(net.Conn) (place, bool)) *network {
	return &network{
		delay: delay, source: source, changed: make(chan struct{}),
		cut: map[string]bool{}, muted: map[string]bool{}, open: map[net.Conn]bool{},
	}
}

// set changes one entry of the cuts and wakes all relays.
func (n *network) set(in func() map[string]bool, name string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	in()[name] = on
	close(n.changed)
	n.changed = make(chan struct{})
}

// setCut cuts a data centre from all others and from the platform, or joins it.
func (n *network) setCut(dataCentre string, on bool) {
	n.set(func() map[string]bool { return n.cut }, dataCentre, on)
}

// setMuted loses what a process sends, or ends that.
func (n *network) setMuted(name string, on bool) {
	n.set(func() map[string]bool { return n.muted }, name, on)
}

// blocked tells whether data from one place to another is kept back, and returns
// a channel that is closed when that may have changed.
func (n *network) blocked(from, to place) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apart := from.dataCentre != to.dataCentre && (n.cut[from.dataCentre] || n.cut[to.dataCentre])
	return apart || n.muted[from.name], n.changed
}

func (n *network) delayBetween(a, b place) time.Duration {
	if a.dataCentre == b.dataCentre {
		return 0
	}
	return n.delay
}

// listen relays connections to an address and returns the address that stands
// for it.
func (n *network) listen(to place, address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Mark(err, ErrStart)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			n.group.Go(func() { n.relay(c, to, address) })
		}
	})
	return l.Addr().String(), nil
}

func (n *network) relay(accepted net.Conn, to place, address string) {
	defer func() { _ = accepted.Close() }()
	from, known := n.source(accepted)
	if !known {
		from = to // not a daemon: neither delayed nor cut
	}
	target, err := net.Dial("tcp", address)
	if err != nil {
		// Closing with unread data resets the connection, as a closed port does.
		_ = accepted.(*net.TCPConn).SetLinger(0)
		return
	}
	defer func() { _ = target.Close() }()
	if !n.track(accepted, target) {
		return
	}
	defer n.forget(accepted, target)
	p := pipe{network: n, from: from, to: to, delay: n.delayBetween(from, to), done: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(func() { p.copy(target, accepted, from, to) })
	p.copy(accepted, target, to, from)
	group.Wait()
}

func (n *network) track(connections ...net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range connections {
		n.open[c] = true
	}
	return !n.closed
}

func (n *network) forget(connections ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range connections {
		delete(n.open, c)
	}
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.open {
		_ = c.Close()
	}
	clear(n.cut)
	clear(n.muted)
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.group.Wait()
}
