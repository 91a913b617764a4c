package courier

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// connection is one connection to a target.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// headBytesLeft is the number of bytes that may still be read for the header of the
	// current response; negative while there is no limit.
	headBytesLeft int
	// ended is set once a read has failed, so that no more bytes arrive.
	ended bool
	// answered is set once a response has been read.
	answered bool
	// idleTimeout is how long the connection may be idle before it is closed.
	idleTimeout time.Duration
	// idleSince and idleUntil bound the current idle time; they are set while the
	// connection is in the pool.
	idleSince, idleUntil time.Time
}

func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw, idleTimeout: defaultIdleTimeout, headBytesLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// errLongHead reports a header that is longer than maxHeadBytes.
var errLongHead = errors.New("the header of the response is too long")

// Read reads from the connection. It returns errLongHead beyond the limit for a header.
func (c *connection) Read(p []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errLongHead
	}
	if c.headBytesLeft > 0 {
		p = p[:min(len(p), c.headBytesLeft)]
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended = true
	}
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	return n, err
}

// abort closes the connection. It ignores the error of closing, which says nothing
// about the request.
func (c *connection) abort() { _ = c.Close() }

// usable reports whether the connection is open and no unsolicited data has arrived
// on it.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	noData := false
	isSocket, err := c.control(func(fd int) {
		var b [1]byte
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(err, unix.EAGAIN)
	})
	return !isSocket || err == nil && noData
}

// tcpCloseWait is the state of a connection that only the peer has closed (Linux,
// net/tcp_states.h).
const tcpCloseWait = 8

// closedByPeer reports whether the peer has closed its side of the connection and there was
// no reset since.
func (c *connection) closedByPeer() bool {
	closed := false
	_, err := c.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpCloseWait
	})
	return err == nil && closed
}

// control calls a function with the socket of the connection. It returns false if the
// connection has none.
func (c *connection) control(f func(fd int)) (isSocket bool, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, raw.Control(func(fd uintptr) { f(int(fd)) })
}

// setIdleTimeout sets the idle timeout from the Keep-Alive field of a response
// header, if it has one.
func (c *connection) setIdleTimeout(h http.Header) {
	if seconds, ok := keepAliveTimeout(h); ok {
		c.idleTimeout = max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
}

// keepAliveTimeout returns the timeout of a Keep-Alive field such as "timeout=5,
// max=100" in seconds.
func keepAliveTimeout(h http.Header) (int, bool) {
	for _, v := range h.Values("Keep-Alive") {
		for field := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 && strings.EqualFold(name, "timeout") {
				return n, true
			}
		}
	}
	return 0, false
}
