package attacker_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"monsoondeck.example/platform/wire"
)

const (
	// stallTime is how long a client of a crowd waits for a blocked write before it
	// stops. The crowd then keeps its connections open.
	stallTime = 300 * time.Millisecond
	// clientBufferBytes is the size of the receive buffer of clients that do not read, so
	// that responses fill the memory of the daemon and not theirs.
	clientBufferBytes = 4 << 10
	dialTimeout       = 5 * time.Second
	// clientInterval is the time between the starts of two clients of a crowd, so that the
	// daemon does not refuse them because its processors are busy.
	clientInterval = time.Millisecond
)

// client is one connection of a crowd.
type client struct {
	conn *net.TCPConn
	// path is the path of its requests.
	path string
	// number is unique in the crowd.
	number int
	// sent is the number of bodies that the client has sent.
	sent int
}

// attack is what one client of a crowd does. It returns once the client has sent all that
// it sends, or is blocked, or its connection is closed.
type attack func(c *client)

// crowd is a set of clients that do the same.
type crowd struct {
	clients []*client
}

// startCrowd connects the clients to the address one after the other, lets all of them
// attack, and returns once they have stopped. Their connections stay open.
func startCrowd(address, path string, size int, do attack) *crowd {
	all := &crowd{}
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range size {
		group.Go(func() {
			time.Sleep(time.Duration(i) * clientInterval)
			raw, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return // refused, which is allowed
			}
			c := &client{conn: raw.(*net.TCPConn), path: path, number: i}
			mutex.Lock()
			all.clients = append(all.clients, c)
			mutex.Unlock()
			do(c)
		})
	}
	group.Wait()
	return all
}

// close closes all connections.
func (all *crowd) close() {
	for _, c := range all.clients {
		_ = c.conn.Close()
	}
}

// write writes all bytes and reports whether the connection took them in time.
func (c *client) write(b []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(stallTime)) // fails only on closed connections
	_, err := c.conn.Write(b)
	return err == nil
}

// head returns the start of a request header, without the empty line at its end.
func (c *client) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: c%d\r\n", method, c.path, hostName, wire.FieldAttempt, c.number)
}

// sendWithLength sends a body of n bytes, with a Content-Length of total.
func (c *client) sendWithLength(n, total int) {
	if !c.write([]byte(c.head("POST") + fmt.Sprintf("Content-Length: %d\r\n\r\n", total))) {
		return
	}
	c.writeRepeated(make([]byte, 64<<10), n)
}

// sendChunked sends a chunked body of at least n bytes without the chunk that ends it.
func (c *client) sendChunked(n int) {
	const chunkBytes = 2 << 10
	if !c.write([]byte(c.head("POST") + "Transfer-Encoding: chunked\r\n\r\n")) {
		return
	}
	chunk := append([]byte(fmt.Sprintf("%x\r\n", chunkBytes)), append(make([]byte, chunkBytes), "\r\n"...)...)
	// Few large writes keep the crowd from occupying the processors.
	c.writeRepeated(bytes.Repeat(chunk, 64), (n/chunkBytes)*len(chunk))
}

// writeRepeated writes n bytes that repeat the piece, until the connection blocks or
// breaks.
func (c *client) writeRepeated(piece []byte, n int) {
	for ; n > 0; n -= len(piece) {
		if !c.write(piece[:min(n, len(piece))]) {
			return
		}
	}
}

func stopBeforeEndWithLength(c *client) { c.sendWithLength(bodyBytes-1, bodyBytes) }

func stopBeforeEndChunked(c *client) { c.sendChunked(bodyBytes - 4<<10) }

func stopBeforeEndOfShortBody(c *client) { c.sendWithLength(999, 1000) }

// longBody is the length of bodies over the limit.
const longBody = 4 * bodyBytes

func exceedWithLength(c *client) { c.sendWithLength(longBody, longBody) }

func exceedChunked(c *client) { c.sendChunked(longBody) }

// exceedRepeatedly sends one chunked body just over the limit after the other, each on a
// new connection, so that what a daemon keeps of each adds up.
func exceedRepeatedly(c *client) {
	const bodies, pause = 24, 100 * time.Millisecond
	address := c.conn.RemoteAddr().String()
	for {
		c.sendChunked(bodyBytes + 16<<10)
		time.Sleep(pause)
		if c.sent++; c.sent == bodies {
			return
		}
		raw, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return // refused, which is allowed
		}
		_ = c.conn.Close()
		c.conn = raw.(*net.TCPConn)
	}
}

// either lets half of the clients do one thing and half of them the other.
func either(a, b attack) attack {
	return func(c *client) {
		if c.number%2 == 0 {
			a(c)
			return
		}
		b(c)
	}
}

// shortFields returns different fields of a few bytes each, n bytes in total at most.
func shortFields(n int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz"
	var fields strings.Builder
	for i := 0; fields.Len()+len("abc:\r\n") <= n; i++ {
		fields.Write([]byte{digits[i%26], digits[i/26%26], digits[i/676%26]})
		fields.WriteString(":\r\n")
	}
	return fields.String()
}

// sendManyFields sends a header within the limit that has very many fields, and stops just
// before the end of a short body, so that the header stays in use.
func sendManyFields(c *client) {
	head, end := c.head("POST"), "Content-Length: 2\r\n\r\nx"
	c.write([]byte(head + shortFields(headerBytes-len(head)-len(end)-64) + end))
}

// pipeline sends requests without reading the responses.
func pipeline(c *client) {
	const requests = 2000
	_ = c.conn.SetReadBuffer(clientBufferBytes) // fails only on closed connections
	c.writeRepeated(c.pipelined(), requests*len(c.pipelined()))
}

// pipelined returns a request with a header of about 1 KiB.
func (c *client) pipelined() []byte {
	return []byte(c.head("GET") + "X-Padding: " + strings.Repeat("x", 900) + "\r\n\r\n")
}

// sendSlowly sends a header byte by byte and stops before its end.
func sendSlowly(c *client) {
	const slowBytes, slowPause = 8, 50 * time.Millisecond
	if !c.write([]byte(c.head("GET") + "X-Slow: ")) {
		return
	}
	for range slowBytes {
		time.Sleep(slowPause)
		if !c.write([]byte("x")) {
			return
		}
	}
}

// readNothing sends a request and does not read the response.
func readNothing(c *client) {
	_ = c.conn.SetReadBuffer(clientBufferBytes) // fails only on closed connections
	c.write([]byte(c.head("GET") + "\r\n"))
	time.Sleep(stallTime)
}

// readSlowly sends a request and reads a few bytes of the response, with pauses.
func readSlowly(c *client) {
	const reads, readBytes, readPause = 10, 64, 100 * time.Millisecond
	_ = c.conn.SetReadBuffer(clientBufferBytes) // fails only on closed connections
	c.write([]byte(c.head("GET") + "\r\n"))
	for range reads {
		time.Sleep(readPause)
		_ = c.conn.SetReadDeadline(time.Now().Add(stallTime))
		if _, err := c.conn.Read(make([]byte, readBytes)); err != nil {
			return
		}
	}
}

// readAll sends a request and reads the response for some time.
func readAll(c *client) {
	const readTime = time.Second
	c.write([]byte(c.head("GET") + "\r\n"))
	_ = c.conn.SetReadDeadline(time.Now().Add(readTime))
	_, _ = io.Copy(io.Discard, c.conn) // ends with the deadline or the response
}

// stopAfterUpgrade opens a WebSocket connection and sends nothing on it.
func stopAfterUpgrade(c *client) {
	c.write([]byte(c.head("GET") + upgradeFields + "\r\n"))
	response := make([]byte, 4<<10)
	_ = c.conn.SetReadDeadline(time.Now().Add(stallTime))
	if n, err := c.conn.Read(response); err != nil || !bytes.Contains(response[:n], []byte(" 101 ")) {
		return
	}
	c.write([]byte{0x81, 0xff}) // the start of a text frame
}

const upgradeFields = "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
