package injector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Link forwards the connections of one listener.
type Link struct {
	name, forward string
	listener      net.Listener
	ctx           context.Context
	cancel        context.CancelFunc
	group         sync.WaitGroup
	accepted      atomic.Uint64
	carried       map[Direction]*atomic.Uint64

	mutex sync.Mutex
	fault Fault
	// used counts the connections that the fault affected.
	used int
	// changed is closed when the fault changes.
	changed     chan struct{}
	connections map[*connection]bool
}

func newLink(name, forward string, listener net.Listener) *Link {
	l := &Link{name: name, forward: forward, listener: listener, fault: Fault{Kind: KindNone},
		changed: make(chan struct{}), connections: make(map[*connection]bool),
		carried: map[Direction]*atomic.Uint64{Forward: {}, Backward: {}}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.group.Go(l.accept)
	return l
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Accepted returns the number of connections accepted so far.
func (l *Link) Accepted() uint64 { return l.accepted.Load() }

// Carried returns the number of bytes delivered in the direction so far.
func (l *Link) Carried(d Direction) uint64 { return l.carried[d].Load() }

// Held returns the number of bytes of open connections that wait for delivery in
// the direction.
func (l *Link) Held(d Direction) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := 0
	for c := range l.connections {
		p := c.pipe(d)
		p.mutex.Lock()
		n += p.held
		p.mutex.Unlock()
	}
	return n
}

// Fault returns the current fault.
func (l *Link) Fault() Fault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault
}

// SetFault replaces the fault. The error matches ErrFault.
func (l *Link) SetFault(f Fault) error {
	f, err := f.normal()
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setLocked(f)
	for c := range l.connections {
		switch {
		case f.Kind == KindCut && l.takeLocked():
			c.reset()
		case f.Kind == KindHalfClose && c.pipe(f.Direction).active.Load() && l.takeLocked():
			c.pipe(f.Direction).finish()
		}
	}
	return nil
}

func (l *Link) setLocked(f Fault) {
	l.fault, l.used = f, 0
	close(l.changed)
	l.changed = make(chan struct{})
}

// takeLocked counts one connection that the fault affects; false if the fault is
// used up.
func (l *Link) takeLocked() bool {
	if l.fault.Count > 0 && l.used >= l.fault.Count {
		return false
	}
	l.used++
	if l.fault.Count > 0 && l.used == l.fault.Count {
		l.setLocked(Fault{Kind: KindNone})
	}
	return true
}

// take reports whether a fault of the kind affects one more connection.
func (l *Link) take(k Kind, d Direction) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault.Kind == k && l.fault.covers(d) && l.takeLocked()
}

// state returns the fault and a channel that is closed when it changes.
func (l *Link) state() (Fault, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault, l.changed
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		l.group.Go(func() { l.serve(c.(*net.TCPConn)) })
	}
}

// serve connects to the other end and copies until both directions end.
func (l *Link) serve(near *net.TCPConn) {
	if l.take(KindCut, Both) {
		abort(near)
		return
	}
	var d net.Dialer
	far, err := d.DialContext(l.ctx, "tcp", l.forward)
	if err != nil {
		abort(near)
		return
	}
	c := newConnection(l, near, far.(*net.TCPConn))
	l.mutex.Lock()
	// The fault may have become a cut after the check above.
	cut := l.fault.Kind == KindCut || l.ctx.Err() != nil
	l.connections[c] = true
	l.mutex.Unlock()
	if cut {
		c.reset()
	}
	c.run()
	l.mutex.Lock()
	delete(l.connections, c)
	l.mutex.Unlock()
}

func (l *Link) close() {
	l.cancel()
	_ = l.listener.Close()
	l.mutex.Lock()
	for c := range l.connections {
		c.reset()
	}
	l.mutex.Unlock()
	l.group.Wait()
}

// abort closes the connection with a reset instead of an orderly end.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
