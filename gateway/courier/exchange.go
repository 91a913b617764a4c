package courier

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/dialer"
)

// exchange is one request and its response on one connection.
type exchange struct {
	courier    *Client
	target     Target
	connection *connection
	request    Request
	// stopWatch stops closing the connection when the context ends. It returns false if
	// the context has already ended.
	stopWatch func() bool
	// sent is called once no more of the body will be written.
	sent func()
	// stopSlow ends the permission for the target to read the body slowly. It returns true
	// if the connection must not be used again.
	stopSlow func() bool
	// written is set once the whole request has been written.
	written atomic.Bool
	// writeEnded is closed once no more of the request will be written; nil if that was before
	// the response is read.
	writeEnded chan struct{}
}

// run writes the request and reads the header of the response.
func (x *exchange) run() (*Response, error) {
	head := x.requestHead()
	if len(x.request.Body) <= maxInlineBodyBytes {
		n, err := x.connection.Write(append(head, x.request.Body...))
		if err != nil && n == 0 {
			return nil, errors.Wrapf(ErrNotSent, "write: %v", err)
		}
		if err == nil {
			x.written.Store(true)
		}
		// After a partial write, the target may still have sent a response.
		return x.receive()
	}
	n, err := x.connection.Write(head)
	if err != nil && n == 0 {
		x.sent()
		return nil, errors.Wrapf(ErrNotSent, "write: %v", err)
	}
	x.stopSlow = dialer.AllowSlowPeer(x.connection.Conn, x.written.Load)
	x.writeEnded = make(chan struct{})
	go x.writeBody()
	return x.receive()
}

func (x *exchange) writeBody() {
	defer x.sent()
	defer close(x.writeEnded)
	// The error of a failed write is ignored: reading the response fails as well.
	if _, err := x.connection.Write(x.request.Body); err == nil {
		x.written.Store(true)
	}
}

// requestHead returns the request line and the header.
func (x *exchange) requestHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + maxInlineBodyBytes)
	b.WriteString(x.request.Method)
	b.WriteByte(' ')
	b.WriteString(x.request.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.request.Host)
	b.WriteString("\r\n")
	for name, values := range x.request.Header {
		for _, v := range values {
			writeField(&b, name, v)
		}
	}
	if len(x.request.Body) > 0 || mayHaveBody(x.request.Method) {
		writeField(&b, "Content-Length", strconv.Itoa(len(x.request.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// mayHaveBody reports whether requests with the method usually have a body; they get
// a Content-Length even if it is empty.
func mayHaveBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// lineBreakReplacer removes line breaks from header values, where they would start
// another field. It is a second safeguard: net/http rejects such requests already.
var lineBreakReplacer = strings.NewReplacer("\r", " ", "\n", " ")

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	_, _ = lineBreakReplacer.WriteString(b, value) // writes to a buffer do not fail
	b.WriteString("\r\n")
}

// receive reads responses until one belongs to the request.
func (x *exchange) receive() (*Response, error) {
	defer func() { x.connection.headBytesLeft = -1 }()
	for skipped := 0; ; {
		if x.connection.headBytesLeft < 0 {
			x.connection.headBytesLeft = maxHeadBytes
		}
		response, err := http.ReadResponse(x.connection.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, x.classifyReadError(err)
		}
		if countFields(response.Header) > maxHeadFields {
			return nil, errors.Wrap(ErrInvalid, "the header of the response has too many fields")
		}
		if response.StatusCode < minStatus || response.StatusCode > maxStatus {
			return nil, errors.Wrapf(ErrInvalid, "status %03d is out of range", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue // informational; the final response follows
		}
		match, answered := x.request.Match(response.StatusCode, response.Header), x.connection.answered
		x.connection.answered = true
		switch {
		case match == Own, match == Doubtful && !answered:
			return x.newResponse(response), nil
		case match == Doubtful:
			return nil, errors.Wrap(ErrInvalid, "response may be an earlier one once more")
		}
		x.courier.Stats.ForeignResponses.Add(1)
		if skipped++; skipped > maxSkippedResponses || response.Close {
			return nil, errors.Wrap(ErrInvalid, "response belongs to another request")
		}
		x.connection.headBytesLeft = -1
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBodyBytes))
		if err != nil {
			return nil, errors.Wrapf(ErrBroken, "read the body of a response to another request: %v", err)
		}
		if n == maxForeignBodyBytes {
			return nil, errors.Wrap(ErrInvalid, "long response to another request")
		}
	}
}

// countFields returns the number of fields of a header.
func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// classifyReadError returns ErrBroken if reading a response header failed because of
// the connection, and ErrInvalid if the header could not be parsed. A header that ends
// inside a line is cut, although net/http reports that line as malformed.
func (x *exchange) classifyReadError(err error) error {
	if x.connection.ended || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetworkError(err) {
		return errors.Wrapf(ErrBroken, "read the response header: %v", err)
	}
	return errors.Wrapf(ErrInvalid, "read the response header: %v", err)
}

// isNetworkError reports whether the error comes from the connection.
func isNetworkError(err error) bool {
	var netErr net.Error
	var errno syscall.Errno
	return errors.As(err, &netErr) || errors.As(err, &errno) || errors.Is(err, net.ErrClosed)
}

func (x *exchange) newResponse(r *http.Response) *Response {
	x.connection.setIdleTimeout(r.Header)
	endsWithConnection := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, EndsWithConnection: endsWithConnection,
		Body: &body{exchange: x, reader: r.Body, reusable: !r.Close, endsWithConnection: endsWithConnection},
	}
}

// writeEndTimeout bounds the wait for the goroutine that writes a body after the connection has
// ended: it has its result by then, but may lack processor time.
const writeEndTimeout = 100 * time.Millisecond

// endedInOrder reports whether a connection that has ended for its reader was closed by the
// target and not reset. The kernel reports a reset once: if the goroutine that writes the body
// gets it, the reader sees an ordinary end.
func (x *exchange) endedInOrder() bool {
	if x.written.Load() || x.connection.closedByPeer() {
		return true
	}
	if x.writeEnded != nil {
		timer := time.NewTimer(writeEndTimeout)
		defer timer.Stop()
		select {
		case <-x.writeEnded:
		case <-timer.C:
		}
	}
	return x.written.Load()
}

// closeConnection closes the connection, which must not be used again.
func (x *exchange) closeConnection() {
	x.stopWatch()
	x.connection.abort()
	x.stopSlow()
}

// body is the body of a response.
type body struct {
	exchange *exchange
	reader   io.ReadCloser
	// endsWithConnection is set if only the end of the connection shows the end of the body.
	endsWithConnection bool
	// reusable is set if the target keeps the connection open after the response.
	reusable bool
	// ended is set once the whole body has been read.
	ended  bool
	closed bool
}

// Read returns io.EOF only after the whole body. All its other errors are ErrBroken.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && b.endsWithConnection && !b.exchange.endedInOrder():
		err = errors.Wrap(ErrBroken, "the connection was reset while the request was being written")
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.ended = true
		err = io.EOF
	default:
		err = errors.Wrapf(ErrBroken, "read the response body: %v", err)
	}
	return n, err
}

// Close returns the connection to the pool if the exchange is complete and the
// target keeps the connection open. Otherwise it closes the connection.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	x := b.exchange
	contextActive := x.stopWatch()
	wasSlow := x.stopSlow()
	if b.ended && b.reusable && contextActive && !wasSlow && x.written.Load() && x.connection.reader.Buffered() == 0 {
		x.courier.putIdle(x.target, x.connection)
		return nil
	}
	x.connection.abort()
	return nil
}
