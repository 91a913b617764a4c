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
	chunked       = "Transfer-Encoding: chunked\r\n\r\n"
	eventStream   = "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)

// withStatus replaces the status of a response.
func withStatus(head, status string) string { return strings.Replace(head, "200 OK", status, 1) }

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

func respondEndlessBodyWithLength(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+"Content-Length: 1000000000000\r\n\r\n")
	return err == nil && writePieces(c, "x", endlessBytes, piecePause)
}

func respondEndlessChunks(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+chunked)
	return err == nil && writePieces(c, "10\r\n0123456789abcdef\r\n", endlessBytes, piecePause)
}

func respondEndlessChunkSize(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+chunked)
	return err == nil && writePieces(c, "0", endlessBytes, 0)
}

func respondEndlessChunkExtension(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+chunked+"1;x=")
	return err == nil && writePieces(c, "x", endlessBytes, 0)
}

func respondEndlessTrailers(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head+chunked+"2\r\nok\r\n0\r\n")
	return err == nil && writePieces(c, "F:\r\n", endlessBytes, 0)
}

// respondEndlessError sends a response of a request that has run and failed.
func respondEndlessError(c net.Conn, head string) bool {
	_, err := io.WriteString(c, withStatus(head, "500 Internal Server Error")+withoutLength)
	return err == nil && writePieces(c, "x", endlessBytes, piecePause)
}

// respondEndlessRefusal sends a response of a request that was not run.
func respondEndlessRefusal(c net.Conn, head string) bool {
	_, err := io.WriteString(c, withStatus(head, "503 Service Unavailable")+wire.FieldNotRun+": 1\r\n"+withoutLength)
	return err == nil && writePieces(c, "x", endlessBytes, piecePause)
}

// respondEndlessMisdirection sends the response of another target.
func respondEndlessMisdirection(c net.Conn, head string) bool {
	_, err := io.WriteString(c, withStatus(head, "421 Misdirected Request")+withoutLength)
	return err == nil && writePieces(c, "x", endlessBytes, piecePause)
}

// respondEndlessForeign sends a response to another request.
func respondEndlessForeign(c net.Conn, _ string) bool {
	_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\n%s: s\r\n%s", wire.FieldAttempt, wire.FieldSignature, chunked))
	return err == nil && writePieces(c, "10\r\n0123456789abcdef\r\n", endlessBytes, piecePause)
}

// respondShortAndEndless sends bytes without end after a complete response.
func respondShortAndEndless(c net.Conn, head string) bool {
	return respondShort(c, head) && writePieces(c, "x", endlessBytes, piecePause)
}

func respondEndlessBytes(c net.Conn, _ string) bool { return writePieces(c, "x", endlessBytes, 0) }

func respondEndlessEmptyLines(c net.Conn, _ string) bool {
	return writePieces(c, "\r\n", endlessBytes, 0)
}

func respondEndlessInformational(c net.Conn, _ string) bool {
	return writePieces(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", endlessBytes, 0)
}

func respondEndlessFields(c net.Conn, head string) bool {
	_, err := io.WriteString(c, head)
	return err == nil && writePieces(c, "F:\r\n", endlessBytes, 0)
}

// respondEndlessHealth ends its responses with the connection, so that the daemon checks the
// health of the target, and responds to these checks without end.
func respondEndlessHealth(c net.Conn, head string) bool {
	if !strings.Contains(head, wire.FieldAttempt+": \r\n") {
		_, _ = io.WriteString(c, head+withoutLength+"ok")
		return false
	}
	return respondEndlessField(c, head)
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
