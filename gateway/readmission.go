package gateway

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"

	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/resolver"
)

// maxReadmissions bounds the connections that wait for the server after they were taken back
// from the refuser.
const maxReadmissions = 64

// unknownKeyResponse is the response to a refused request whose key no account holds.
var unknownKeyResponse = receiver.UnknownKeyResponse()

// readmit decides on a refused connection: it takes it back from the refuser if its request
// goes before those of the other accounts at this host. received is what was read from it. A
// request with an unknown key is told so, since it would be refused anywhere.
func (g *Gateway) readmit(received []byte, descriptor int) (response []byte, taken bool) {
	config, ok := g.controller.Current()
	if !ok || g.stopAt.Load() != 0 || !config.HasAccounts() {
		return nil, false
	}
	account, ok := config.AccountByKey(g.options.Protocol.FindKey(received))
	if !ok {
		if !needsKey(config, received) {
			return nil, false
		}
		g.tally.Refused("", receiver.CodeUnknownKey)
		return unknownKeyResponse, false
	}
	if g.overload.readmit(account.Name) && g.gate.admit() == keepConnection && g.readmitted.offer(received, descriptor) {
		return nil, true
	}
	g.tally.RefusedUnread(account.Name, receiver.CodeBusy)
	return nil, false
}

// needsKey reports whether what was received is the header of a request to a route that serves
// only requests with a known key.
func needsKey(config resolver.Config, received []byte) bool {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(received)))
	if err != nil {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := config.Resolve(r.Host, path)
	return ok && !route.Anonymous
}

// readmittedListener is a net.Listener whose connections were taken back from the refuser.
type readmittedListener struct {
	// Listener returns the connections; it may wrap the queue.
	net.Listener
	queue *connectionQueue
}

func newReadmittedListener(address net.Addr) *readmittedListener {
	q := &connectionQueue{address: address, connections: make(chan net.Conn, maxReadmissions), closed: make(chan struct{})}
	return &readmittedListener{Listener: q, queue: q}
}

// offer passes on a connection, from which something was received, and reports whether it has
// taken over the descriptor.
func (l *readmittedListener) offer(received []byte, descriptor int) bool {
	if len(l.queue.connections) == cap(l.queue.connections) {
		return false
	}
	c, err := fileConnection(descriptor)
	if err != nil {
		return true // the connection is gone with its descriptor
	}
	inner, ok := c.(*net.TCPConn)
	if !ok || !l.queue.push(&resumedConn{TCPConn: inner, received: append([]byte(nil), received...)}) {
		_ = c.Close() // cannot happen: the listener is TCP, and the refuser offers one at a time
	}
	return true
}

// connectionQueue is a net.Listener of connections that are open already.
type connectionQueue struct {
	address     net.Addr
	connections chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once
}

// push adds a connection unless the queue is full.
func (q *connectionQueue) push(c net.Conn) bool {
	select {
	case q.connections <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (q *connectionQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.connections:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connectionQueue) Close() error {
	q.closeOnce.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connectionQueue) Addr() net.Addr { return q.address }

// resumedConn is a connection from which something was received before the server got it.
type resumedConn struct {
	*net.TCPConn
	// received is read first. Only the goroutine that reads uses it.
	received []byte
}

// Read implements net.Conn.
func (c *resumedConn) Read(p []byte) (int, error) {
	if len(c.received) == 0 {
		return c.TCPConn.Read(p)
	}
	n := copy(p, c.received)
	c.received = c.received[n:]
	return n, nil
}
