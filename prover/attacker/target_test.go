package attacker_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/platform/wire"
)

// respondFunc writes the response of a faulty target to one request. The connection is
// closed when it returns false.
type respondFunc func(c net.Conn, head string) (keep bool)

// startFaultyTarget starts a target and returns its address. It ends with the spec.
func startFaultyTarget(respond respondFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go serveFaulty(c, respond)
		}
	}()
	return l.Addr().String()
}

// serveFaulty responds to the requests on one connection until it breaks.
func serveFaulty(c net.Conn, respond respondFunc) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", wire.FieldAttempt, r.Header.Get(wire.FieldAttempt), wire.FieldSignature)
		if !respond(c, head) {
			return
		}
	}
}

// pieceBytes is the size of the pieces in which faulty targets write, piecePause the time
// between two pieces of responses without end: it keeps these tests from occupying all
// processors.
const (
	pieceBytes = 16 << 10
	piecePause = 10 * time.Millisecond
	// longBodyBytes is the size of a long response. It is above that of the responses
	// that a daemon keeps whole.
	longBodyBytes = 2 << 20
	// shortBodyBytes is the size of a response that a daemon may keep whole.
	shortBodyBytes = 240 << 10
	// endlessBytes ends a response without end if the daemon accepts all of it.
	endlessBytes = 8 << 20
)

// writePieces writes n bytes that repeat the text. It returns false if the connection
// breaks.
func writePieces(c net.Conn, text string, n int, pause time.Duration) bool {
	piece := bytes.Repeat([]byte(text), max(pieceBytes/len(text), 1))
	for n > 0 {
		written, err := c.Write(piece[:min(n, len(piece))])
		if err != nil {
			return false
		}
		n -= written
		time.Sleep(pause)
	}
	return true
}

const (
	withoutLength = "Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n"
	eventStream   = "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)

func respondShort(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+"Content-Length: 2\r\n\r\nok")
	return err == nil
}

func respondLong(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", longBodyBytes))
	return err == nil && writePieces(c, "x", longBodyBytes, 0)
}

func respondEndlessBody(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+withoutLength)
	return err == nil && writePieces(c, "x", endlessBytes, piecePause)
}

func respondEndlessField(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+"X-Endless: ")
	return err == nil && writePieces(c, "x", endlessBytes, 0)
}

// manyFields are the bytes of short fields in the header of a response, within what the
// daemon accepts.
const manyFields = 60 << 10

func respondManyFields(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+shortFields(manyFields)+"Content-Length: 2\r\n\r\no")
	return err == nil && waitForEnd(c)
}

// respondStopped stops just before the end of a response.
func respondStopped(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", shortBodyBytes))
	return err == nil && writePieces(c, "x", shortBodyBytes-1, 0) && waitForEnd(c)
}

// respondLongEvent sends an event without end.
func respondLongEvent(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+eventStream+"id: 1\ndata: ")
	return err == nil && writePieces(c, "x", endlessBytes, piecePause)
}

// respondComments sends one event and then comments without end.
func respondComments(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+eventStream+"id: 1\ndata: x\n\n")
	return err == nil && writePieces(c, ":\n\n", endlessBytes, piecePause)
}

// respondEvents sends events until the connection breaks.
func respondEvents(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+eventStream)
	return err == nil && writePieces(c, "id: 1\ndata: "+strings.Repeat("x", 1000)+"\n\n", endlessBytes, time.Millisecond)
}

// waitForEnd waits until the daemon closes the connection.
func waitForEnd(c net.Conn) bool {
	_, _ = c.Read(make([]byte, 1)) // any result means the end
	return false
}
