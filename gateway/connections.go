package gateway

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"monsoondeck.example/gateway/shedder"
)

const (
	// maxSkippedIdle is the number of idle connections with an unread request that are
	// passed over in the search for one to close.
	maxSkippedIdle = 8
	// silentTime is the time after which a new connection without any byte counts as idle,
	// so that callers that send nothing do not fill the host.
	silentTime = 500 * time.Millisecond
)

// connectionTracker knows the open connections of a server. It is safe for concurrent use.
type connectionTracker struct {
	// mutex guards the fields below.
	mutex sync.Mutex
	// open is the number of open connections.
	open int
	// idle holds the connections without a request in progress, as idleConnection, the
	// longest idle first; elements has the same by connection.
	idle     *list.List
	elements map[net.Conn]*list.Element
	// fresh holds the connections that have had no request yet and do not count as idle, the
	// oldest first; freshElements has the same by connection.
	fresh         *list.List
	freshElements map[net.Conn]*list.Element
	// closing holds the connections that closeLongestIdle has told to close. They are in none
	// of the above.
	closing map[net.Conn]struct{}
}

// idleConnection is a connection and the time since which it has had no request, or since
// which it is open.
type idleConnection struct {
	connection net.Conn
	since      time.Time
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{
		idle: list.New(), elements: map[net.Conn]*list.Element{}, fresh: list.New(), freshElements: map[net.Conn]*list.Element{},
		closing: map[net.Conn]struct{}{},
	}
}

// track counts the open connections and records since when each idle one has been
// idle. The HTTP server calls it when the state of a connection changes.
func (t *connectionTracker) track(c net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch state {
	case http.StateNew:
		t.open++
	case http.StateClosed, http.StateHijacked:
		t.open--
	}
	t.forget(c)
	delete(t.closing, c)
	switch state {
	case http.StateNew:
		t.freshElements[c] = t.fresh.PushBack(idleConnection{connection: c, since: time.Now()})
	case http.StateIdle:
		t.addIdle(c)
	}
}

// addIdle adds a connection to the idle ones. The caller holds the mutex.
func (t *connectionTracker) addIdle(c net.Conn) {
	t.elements[c] = t.idle.PushBack(idleConnection{connection: c, since: time.Now()})
}

// addSilent adds the connections to the idle ones that have been open for silentTime
// without any byte. The header timeout bounds those of which a part has arrived. The caller
// holds the mutex.
func (t *connectionTracker) addSilent() {
	for e := t.fresh.Front(); e != nil && time.Since(idleOf(e).since) >= silentTime; e = t.fresh.Front() {
		c := idleOf(e).connection
		t.forget(c)
		if !hasBegun(c) && !hasUnread(c) {
			t.addIdle(c)
		}
	}
}

// idleEnder is a connection whose server can be told to close it by another goroutine.
// Only the goroutine that reads knows whether the connection is idle: the HTTP server
// reports a request once it has read the whole header.
type idleEnder interface {
	// EndIdle makes the server close the connection, and returns false if a byte of a request
	// was read. The server serves a request whose first byte it reads before it closes.
	EndIdle() bool
	// HasBegun reports whether a byte of a request was read that has no response yet.
	HasBegun() bool
}

// inUse reports whether a connection has a request in progress, or one of which a part has
// arrived.
func (t *connectionTracker) inUse() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.open > t.idle.Len()+t.fresh.Len()+len(t.closing) {
		return true
	}
	for _, all := range []*list.List{t.idle, t.fresh} {
		for e := all.Front(); e != nil; e = e.Next() {
			if c := idleOf(e).connection; hasBegun(c) || hasUnread(c) {
				return true
			}
		}
	}
	return false
}

// hasBegun reports whether a part of a request has been read from a connection, as far as
// it knows.
func hasBegun(c net.Conn) bool {
	e, ok := c.(idleEnder)
	return ok && e.HasBegun()
}

// endIdle tells the server to close a connection, and reports whether it will do so if no
// request arrives meanwhile.
func endIdle(c net.Conn) bool {
	e, ok := c.(idleEnder)
	return ok && e.EndIdle()
}

// forget removes a connection from the idle and the new ones. The caller holds the mutex.
func (t *connectionTracker) forget(c net.Conn) {
	if e, ok := t.freshElements[c]; ok {
		t.fresh.Remove(e)
		delete(t.freshElements, c)
	}
	if e, ok := t.elements[c]; ok {
		t.idle.Remove(e)
		delete(t.elements, c)
	}
}

// occupancy returns the numbers of connections.
func (t *connectionTracker) occupancy() shedder.Occupancy {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.addSilent()
	o := shedder.Occupancy{Open: t.open, Idle: t.idle.Len(), Closing: len(t.closing)}
	if e := t.idle.Front(); e != nil {
		o.LongestIdle = time.Since(idleOf(e).since)
	}
	return o
}

// idleOf returns the connection of an element of connectionTracker.idle or fresh.
func idleOf(e *list.Element) idleConnection {
	c, _ := e.Value.(idleConnection) // the lists hold nothing else
	return c
}

// closeLongestIdle closes the connection that has been idle for longest, except those with
// a request of which a part has been read or waits, and reports whether there was one.
func (t *connectionTracker) closeLongestIdle() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	skipped := 0
	var next *list.Element
	for e := t.idle.Front(); e != nil && skipped < maxSkippedIdle; e = next {
		next = e.Next()
		c := idleOf(e).connection
		if hasUnread(c) {
			skipped++
			continue
		}
		t.forget(c) // the header timeout bounds those that have begun a request
		if endIdle(c) {
			t.closing[c] = struct{}{}
			return true
		}
	}
	return false
}

// closeIdle closes the connections that have been idle for longer than the timeout;
// 0 closes none. It leaves those with a request that a busy host has not read yet, or of
// which it has read a part.
func (t *connectionTracker) closeIdle(timeout time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for c := range t.closing {
		if hasBegun(c) {
			delete(t.closing, c) // a request arrived before it closed
		}
	}
	if timeout <= 0 {
		return
	}
	var next *list.Element
	for e := t.idle.Front(); e != nil && time.Since(idleOf(e).since) > timeout; e = next {
		next = e.Next()
		if c := idleOf(e).connection; !hasUnread(c) {
			t.forget(c)
			endIdle(c) // it stays open if a request has begun, and track adds it again
		}
	}
}

// endAll closes the connections without a request, and reports whether no connection is
// left.
func (t *connectionTracker) endAll() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, l := range []*list.List{t.fresh, t.idle} {
		for e := l.Front(); e != nil; e = l.Front() {
			c := idleOf(e).connection
			t.forget(c)
			endIdle(c) // it stays open until the response if a request has begun
		}
	}
	return t.open == 0
}
