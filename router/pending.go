package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pendingLimit is how long a stop waits for the first request of an accepted
	// connection. It is the time after which http.Server.Shutdown takes a
	// connection without a request for idle.
	pendingLimit = 5 * time.Second
	pendingPoll  = 2 * time.Millisecond
	quietPoll    = 20 * time.Millisecond
)

// idleGrace is how long a connection must have been idle before a stop closes
// it. An answer that began before the stop could not announce the close, so its
// caller may reuse the connection at once.
const idleGrace = 3 * time.Second

// pending knows the open connections of a server: those whose first request has
// not reached the handler, and since when the others are idle. http.Server
// drops without an answer a request that it reads after Shutdown was called, so
// Shutdown has to wait for both.
type pending struct {
	// count is the number of connections without a first request.
	count atomic.Int64
	open  sync.Map // of net.Conn to *connection
}

// connection is the state of one open connection.
type connection struct {
	// begun is set when the first request has reached the handler or the
	// connection has ended.
	begun atomic.Bool
	// idle is the time in Unix nanoseconds since which no request is in flight;
	// 0 while one is.
	idle atomic.Int64
}

type connectionKey struct{}

// watch counts the connections of a server.
func (p *pending) watch(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		f := &connection{}
		p.count.Add(1)
		p.open.Store(c, f)
		return context.WithValue(ctx, connectionKey{}, f)
	}
	s.ConnState = p.changed
}

// changed follows the state of a connection.
func (p *pending) changed(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		if f, ok := p.open.LoadAndDelete(c); ok {
			p.end(f.(*connection))
		}
		return
	}
	f, ok := p.open.Load(c)
	switch {
	case !ok:
	case state == http.StateIdle:
		f.(*connection).idle.Store(time.Now().UnixNano())
	default:
		f.(*connection).idle.Store(0)
	}
}

// begin notes that a request has reached the handler.
func (p *pending) begin(r *http.Request) {
	if f, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		p.end(f)
	}
}

func (p *pending) end(f *connection) {
	if !f.begun.Swap(true) {
		p.count.Add(-1)
	}
}

// wait returns when no first request is outstanding, at the latest after
// pendingLimit.
func (p *pending) wait(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pendingLimit)
	defer cancel()
	ticker := time.NewTicker(pendingPoll)
	defer ticker.Stop()
	for p.count.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// quiet reports whether no request is in flight and every connection has been
// idle for idleGrace. Connections that have never sent a request do not count.
func (p *pending) quiet() bool {
	limit := time.Now().Add(-idleGrace).UnixNano()
	quiet := true
	p.open.Range(func(_, f any) bool {
		c := f.(*connection)
		idle := c.idle.Load()
		quiet = !c.begun.Load() || idle != 0 && idle <= limit
		return quiet
	})
	return quiet
}

// waitQuiet returns when the connections are quiet or the context ends.
func (p *pending) waitQuiet(ctx context.Context) {
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	for !p.quiet() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
