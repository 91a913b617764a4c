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
	// closingTimeout is the time after which a connection that should have closed by
	// itself is closed. The server may have set its own deadline at the same moment.
	closingTimeout = time.Second
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
	// closing maps each connection that closeLongestIdle has told to close to the time of
	// that. It is in none of the above.
	closing map[net.Conn]time.Time
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
		closing: map[net.Conn]time.Time{},
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
	if _, ok := t.closing[c]; ok {
		delete(t.closing, c)
		if state == http.StateActive {
			// The server had read a request already. The deadline of endIdle would end the read
			// that notices the end of the connection, and thereby cancel the request.
			_ = c.SetReadDeadline(time.Time{}) // an error means that it is closed
		}
	}
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
	metered, ok := c.(interface{ HasBegun() bool })
	return ok && metered.HasBegun()
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
// a request that has not been read yet, and reports whether there was one. It ends the
// read in which the server waits for the next request. A server that has just read one
// takes no notice and serves it.
func (t *connectionTracker) closeLongestIdle() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	skipped := 0
	for e := t.idle.Front(); e != nil && skipped < maxSkippedIdle; e = e.Next() {
		c := idleOf(e).connection
		if hasUnread(c) {
			skipped++
			continue
		}
		t.forget(c)
		t.closing[c] = time.Now()
		_ = endIdle(c) // an error means that it is closed already
		return true
	}
	return false
}

// endIdle ends the read in which the server waits for the next request on a connection.
func endIdle(c net.Conn) error {
	if metered, ok := c.(interface{ EndIdle() error }); ok {
		return metered.EndIdle()
	}
	return c.SetReadDeadline(time.Unix(0, 1))
}

// closeIdle closes the connections that have been idle for longer than the timeout;
// 0 closes none. It leaves those with a request that a busy host has not read yet.
func (t *connectionTracker) closeIdle(timeout time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for c, since := range t.closing {
		if time.Since(since) > closingTimeout && !hasUnread(c) {
			_ = c.Close() // an error changes nothing: the connection is gone either way
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
			_ = c.Close() // as above
		}
	}
}
