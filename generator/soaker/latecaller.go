package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// closeDelay is how long a daemon that has closed a connection may take to reset it
	// because of unread bytes: net/http reads on for half a second.
	closeDelay = 2 * time.Second
	// tcpCloseWait is the state of a connection that the other end has closed, without a
	// reset since.
	tcpCloseWait = 8
)

// lateCaller sends requests on one connection, which it keeps for as long as the daemon
// does. Unlike callers, it can tell whether the daemon had read a request.
type lateCaller struct {
	callers    *callers
	daemon     *daemon
	random     *rand.Rand
	name       string
	sent       int
	connection net.Conn // nil if there is none
	reader     *bufio.Reader
}

// send sends a request to any route and records the result, unless the daemon accepts no
// connection. One request in three is slow.
func (l *lateCaller) send() {
	if l.connection == nil {
		c, err := net.Dial("tcp", l.daemon.callerAddress)
		if err != nil {
			return // the daemon has exited, or is about to
		}
		l.connection, l.reader = c, bufio.NewReader(c)
	}
	l.sent++
	all := routes()
	q := request{
		route: all[l.random.IntN(len(all))], id: fmt.Sprintf("%s-%d", l.name, l.sent),
		account: l.random.IntN(accountCount), size: l.random.IntN(2000), chunked: l.random.IntN(2) == 0,
	}
	q.name = q.id
	if l.sent > 1 && l.random.IntN(3) == 0 {
		q.name = slowPrefix + q.id
	}
	x := result{request: q, daemon: l.daemon, start: time.Now()}
	keeps, err := l.exchange(&x)
	x.err, x.end = err, time.Now()
	x.read = err != nil && l.wasRead()
	l.callers.record(x)
	if !keeps {
		l.close()
	}
}

// exchange sends the request, reads the response and reports whether the connection can
// be used again.
func (l *lateCaller) exchange(x *result) (bool, error) {
	r, err := newRequest(context.Background(), l.daemon.callerAddress, x.request)
	if err != nil {
		return false, err
	}
	if err := l.connection.SetDeadline(x.start.Add(routeTimeout + hangTimeout)); err != nil {
		return false, errors.Wrap(err, "set the deadline")
	}
	if err := r.Write(l.connection); err != nil {
		return false, errors.Wrap(err, "send a request")
	}
	response, err := http.ReadResponse(l.reader, r)
	if err != nil {
		return false, errors.Wrap(err, "read a response")
	}
	defer func() { _ = response.Body.Close() }() // read below
	x.status, x.header = response.StatusCode, response.Header
	x.body, err = io.ReadAll(response.Body)
	return err == nil && !response.Close, errors.Wrap(err, "read a response")
}

// wasRead reports whether the daemon has closed the connection and had read all that was
// sent. The kernel resets a connection that is closed with unread bytes.
func (l *lateCaller) wasRead() bool {
	time.Sleep(closeDelay)
	raw, err := l.connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false // cannot be told
	}
	state := 0
	if err := raw.Control(func(fd uintptr) { state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) }); err != nil {
		return false // cannot be told
	}
	return state&0xff == tcpCloseWait // the first byte is the state
}

func (l *lateCaller) close() {
	if l.connection != nil {
		_ = l.connection.Close() // nothing is sent any more
		l.connection = nil
	}
}
