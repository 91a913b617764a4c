package injector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Link forwards the connections of one listener.
type Link struct {
	// forward is the address to which connections are forwarded.
	name, forward string
	listener      net.Listener
	ctx           context.Context
	cancel        context.CancelFunc
	group         sync.WaitGroup
	accepted      atomic.Uint64
	// delivered counts the bytes delivered in each direction.
	delivered map[Direction]*atomic.Uint64

	// mutex guards the fields below.
	mutex sync.Mutex
	fault Fault
	// affected counts the connections that the current fault affected.
	affected int
	// changed is closed when the fault changes.
	changed     chan struct{}
	connections map[*connection]bool
}

func newLink(name, forward string, listener net.Listener) *Link {
	l := &Link{name: name, forward: forward, listener: listener, fault: Fault{Kind: KindNone},
		changed: make(chan struct{}), connections: make(map[*connection]bool),
		delivered: map[Direction]*atomic.Uint64{Forward: {}, Backward: {}}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.group.Go(l.accept)
	return l
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Accepted returns the number of connections accepted so far.
func (l *Link) Accepted() uint64 { return l.accepted.Load() }

// DeliveredBytes returns the number of bytes delivered in the direction so far.
func (l *Link) DeliveredBytes(d Direction) uint64 { return l.delivered[d].Load() }

// Held returns the number of bytes that open connections have received and not yet
// delivered in the direction.
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

// SetFault replaces the fault. The error matches ErrFault if f is invalid.
func (l *Link) SetFault(f Fault) error {
	f, err := f.normalize()
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setLocked(f)
	for c := range l.connections {
		switch {
		case f.Kind == KindCut && l.affectLocked():
			c.reset()
		case f.Kind == KindHalfClose && c.pipe(f.Direction).active.Load() && l.affectLocked():
			c.pipe(f.Direction).finish()
		}
	}
	return nil
}

// setLocked replaces the fault and notifies waiters. The caller holds the mutex.
func (l *Link) setLocked(f Fault) {
	l.fault, l.affected = f, 0
	close(l.changed)
	l.changed = make(chan struct{})
}

// affectLocked counts one more connection as affected by the fault and ends the fault
// at its limit. It reports false if the limit was reached before. The caller holds
// the mutex.
func (l *Link) affectLocked() bool {
	if l.fault.Count > 0 && l.affected >= l.fault.Count {
		return false
	}
	l.affected++
	if l.fault.Count > 0 && l.affected == l.fault.Count {
		l.setLocked(Fault{Kind: KindNone})
	}
	return true
}

// affect reports whether the current fault has the kind, covers the direction and may
// affect one more connection, which it counts.
func (l *Link) affect(k Kind, d Direction) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault.Kind == k && l.fault.covers(d) && l.affectLocked()
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

// serve connects to the forward address and copies until both directions end.
func (l *Link) serve(client *net.TCPConn) {
	if l.affect(KindCut, Both) {
		abort(client)
		return
	}
	var d net.Dialer
	server, err := d.DialContext(l.ctx, "tcp", l.forward)
	if err != nil {
		abort(client)
		return
	}
	c := newConnection(l, client, server.(*net.TCPConn))
	l.mutex.Lock()
	// SetFault may have set a cut after the check above.
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

// abort closes the connection with a reset instead of an orderly close.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
