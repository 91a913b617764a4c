package launcher

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/injector"
)

// node is one end of a relayed connection: a daemon, a target or a platform
// service.
type node struct {
	name, dataCentre string
}

// nodePair is a daemon and the node to which it connects.
type nodePair struct{ from, to node }

// dialler is the process that dialled a connection.
type dialler struct {
	node node
	// isDaemon is set if it is a daemon of the fleet; node is valid only then.
	isDaemon bool
	// orphaned is set if no process holds the dialling end any more.
	orphaned bool
}

// network relays the connections of daemons to other daemons, targets and the
// platform through one link of the fault proxy per pair of nodes, so that they can
// be delayed and cut. A cut holds back data in one or both directions; connections
// stay open, as in a network partition.
type network struct {
	delay       time.Duration // one way, between data centres
	findDialler func(net.Conn) dialler
	proxy       *injector.Proxy
	closeProxy  func()

	mu             sync.Mutex
	links          map[nodePair]*injector.Link
	cutDataCentres map[string]bool // by name of the data centre
	outgoingCut    map[string]bool // by name of the node
	listeners      []net.Listener
	connections    map[*net.TCPConn]bool // both ends of all relayed connections
	closed         bool
	group          sync.WaitGroup
}

func newNetwork(delay time.Duration, findDialler func(net.Conn) dialler) *network {
	proxy, closeProxy := injector.New()
	return &network{
		delay: delay, findDialler: findDialler, proxy: proxy, closeProxy: closeProxy, links: map[nodePair]*injector.Link{},
		cutDataCentres: map[string]bool{}, outgoingCut: map[string]bool{}, connections: map[*net.TCPConn]bool{},
	}
}

// setDataCentreCut cuts a data centre off from all others and from the platform,
// or reconnects it.
func (n *network) setDataCentreCut(dataCentre string, on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutDataCentres[dataCentre] = on
	return n.applyFaults()
}

// setOutgoingCut begins or ends to hold back what a node sends.
func (n *network) setOutgoingCut(name string, on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outgoingCut[name] = on
	return n.applyFaults()
}

// applyFaults updates the links whose fault has changed. The mutex must be held.
func (n *network) applyFaults() error {
	for p, l := range n.links {
		if f := n.fault(p); f != l.Fault() {
			if err := l.SetFault(f); err != nil {
				return err
			}
		}
	}
	return nil
}

// fault returns the fault that the link of a pair must have: a cut or the delay
// between data centres. The mutex must be held.
func (n *network) fault(p nodePair) injector.Fault {
	acrossDataCentres := p.from.dataCentre != p.to.dataCentre
	switch {
	case acrossDataCentres && (n.cutDataCentres[p.from.dataCentre] || n.cutDataCentres[p.to.dataCentre]), n.outgoingCut[p.from.name] && n.outgoingCut[p.to.name]:
		return injector.Fault{Kind: injector.KindFreeze}
	case n.outgoingCut[p.from.name]:
		return injector.Fault{Kind: injector.KindCutOneWay, Direction: injector.Forward}
	case n.outgoingCut[p.to.name]:
		return injector.Fault{Kind: injector.KindCutOneWay, Direction: injector.Backward}
	case acrossDataCentres && n.delay >= time.Millisecond:
		return injector.Fault{Kind: injector.KindDelay, DelayMs: int(n.delay.Milliseconds())}
	case acrossDataCentres && n.delay > 0:
		// Links delay by whole milliseconds, so the delay of the round trip is applied
		// to one direction.
		return injector.Fault{Kind: injector.KindDelay, Direction: injector.Forward, DelayMs: int((2 * n.delay).Milliseconds())}
	}
	return injector.Fault{Kind: injector.KindNone}
}

// link returns the link of a pair and creates it if there is none.
func (n *network) link(p nodePair, address string) (*injector.Link, error) {
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

// listen starts a relay to an address of a node and returns the address of the
// relay.
func (n *network) listen(to node, address string) (string, error) {
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

// relay forwards one accepted connection to an address of a node, through the link
// of the pair if a daemon dialled it.
func (n *network) relay(accepted *net.TCPConn, to node, address string) {
	defer func() { _ = accepted.Close() }()
	from := n.findDialler(accepted)
	if from.orphaned {
		// Finding the dialler can take seconds on a busy machine, and no network delivers
		// that late what a process sent before it was killed.
		reset(accepted)
		return
	}
	if from.isDaemon {
		l, err := n.link(nodePair{from.node, to}, address)
		if err != nil {
			reset(accepted)
			return
		}
		address = l.Address()
	} // connections of other processes are neither delayed nor cut
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

// track records open connections and reports whether the network is still open.
func (n *network) track(connections ...*net.TCPConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range connections {
		n.connections[c] = true
	}
	return !n.closed
}

func (n *network) forget(connections ...*net.TCPConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range connections {
		delete(n.connections, c)
	}
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.connections {
		_ = c.Close()
	}
	n.mu.Unlock()
	n.closeProxy()
	n.group.Wait()
}
