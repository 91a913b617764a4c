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
)

// pending counts accepted connections whose first request has not reached the
// handler. http.Server drops without an answer a request that it reads after
// Shutdown was called, so Shutdown has to wait for them.
type pending struct {
	count atomic.Int64
	open  sync.Map // of net.Conn to *firstRequest
}

// firstRequest is done when the first request of a connection has reached the
// handler or the connection has ended.
type firstRequest struct{ done atomic.Bool }

type firstRequestKey struct{}

// watch counts the connections of a server.
func (p *pending) watch(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		f := &firstRequest{}
		p.count.Add(1)
		p.open.Store(c, f)
		return context.WithValue(ctx, firstRequestKey{}, f)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state != http.StateClosed && state != http.StateHijacked {
			return
		}
		if f, ok := p.open.LoadAndDelete(c); ok {
			p.end(f.(*firstRequest))
		}
	}
}

// begin notes that a request has reached the handler.
func (p *pending) begin(r *http.Request) {
	if f, ok := r.Context().Value(firstRequestKey{}).(*firstRequest); ok {
		p.end(f)
	}
}

func (p *pending) end(f *firstRequest) {
	if !f.done.Swap(true) {
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
