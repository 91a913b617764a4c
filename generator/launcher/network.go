package launcher

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/injector"
)

// place is one end of a connection: a process or the platform.
type place struct {
	name, dataCentre string
}

// pair is a daemon and what it connects to.
type pair struct{ from, to place }

// dialler is the process that dialled a connection.
type dialler struct {
	place place
	// known is set if it is a daemon of the fleet.
	known bool
	// gone is set if the connection has no owner any more.
	gone bool
}

// network relays the connections of daemons to other daemons, targets and the
// platform over one link of the fault proxy per pair, so that they can be delayed
// and cut. A cut keeps data back in both or in one direction; connections stay
// open, as in a partition.
type network struct {
	delay  time.Duration // one way, between data centres
	source func(net.Conn) dialler
	proxy  *injector.Proxy
	remove func()

	mu        sync.Mutex
	links     map[pair]*injector.Link
	cut       map[string]bool // by data centre
	muted     map[string]bool // by name
	listeners []net.Listener
	open      map[*net.TCPConn]bool
	closed    bool
	group     sync.WaitGroup
}

func newNetwork(delay time.Duration, source func(net.Conn) dialler) *network {
	proxy, remove := injector.New()
	return &network{
		delay: delay, source: source, proxy: proxy, remove: remove, links: map[pair]*injector.Link{},
		cut: map[string]bool{}, muted: map[string]bool{}, open: map[*net.TCPConn]bool{},
	}
}

// setCut cuts a data centre from all others and from the platform, or joins it.
func (n *network) setCut(dataCentre string, on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[dataCentre] = on
	return n.setFaults()
}

// setMuted keeps back what a process sends, or ends that.
func (n *network) setMuted(name string, on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muted[name] = on
	return n.setFaults()
}

func (n *network) setFaults() error {
	for p, l := range n.links {
		if f := n.fault(p); f != l.Fault() {
			if err := l.SetFault(f); err != nil {
				return err
			}
		}
	}
	return nil
}

// fault returns the state of the link of a pair.
func (n *network) fault(p pair) injector.Fault {
	apart := p.from.dataCentre != p.to.dataCentre
	switch {
	case apart && (n.cut[p.from.dataCentre] || n.cut[p.to.dataCentre]), n.muted[p.from.name] && n.muted[p.to.name]:
		return injector.Fault{Kind: injector.KindFreeze}
	case n.muted[p.from.name]:
		return injector.Fault{Kind: injector.KindCutOneWay, Direction: injector.Forward}
	case n.muted[p.to.name]:
		return injector.Fault{Kind: injector.KindCutOneWay, Direction: injector.Backward}
	case apart && n.delay >= time.Millisecond:
		return injector.Fault{Kind: injector.KindDelay, DelayMs: int(n.delay.Milliseconds())}
	case apart && n.delay > 0:
		// Links delay by whole milliseconds; the round trip is what counts.
		return injector.Fault{Kind: injector.KindDelay, Direction: injector.Forward, DelayMs: int((2 * n.delay).Milliseconds())}
	}
	return injector.Fault{Kind: injector.KindNone}
}

// link returns the link of a pair and makes it when it is new.
func (n *network) link(p pair, address string) (*injector.Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.links[p]; ok {
		return l, nil
	}
	l, err := n.proxy.Add(p.from.name+">"+p.to.name+">"+address, "127.0.0.1:0", address)
	if err != nil {
		return nil, err
	}
	n.links[p] = l
	return l, l.SetFault(n.fault(p))
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
			n.group.Go(func() { n.relay(c.(*net.TCPConn), to, address) })
		}
	})
	return l.Addr().String(), nil
}

func (n *network) relay(accepted *net.TCPConn, to place, address string) {
	defer func() { _ = accepted.Close() }()
	from := n.source(accepted)
	if from.gone {
		// Finding it may have taken seconds on a busy machine, and no network delivers so
		// late what a process sent before it was killed.
		reset(accepted)
		return
	}
	if from.known {
		l, err := n.link(pair{from.place, to}, address)
		if err != nil {
			reset(accepted)
			return
		}
		address = l.Address()
	} // what does not come from a daemon is neither delayed nor cut
	target, err := net.Dial("tcp", address)
	if err != nil {
		reset(accepted)
		return
	}
	defer func() { _ = target.Close() }()
	if !n.track(accepted, target.(*net.TCPConn)) {
		return
	}
	defer n.forget(accepted, target.(*net.TCPConn))
	splice(accepted, target.(*net.TCPConn))
}

func (n *network) track(connections ...*net.TCPConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range connections {
		n.open[c] = true
	}
	return !n.closed
}

func (n *network) forget(connections ...*net.TCPConn) {
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
	n.mu.Unlock()
	n.remove()
	n.group.Wait()
}
