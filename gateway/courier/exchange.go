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

	"github.com/cockroachdb/errors"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	courier    *Courier
	target     Target
	connection *connection
	call       Request
	// stop ends the watch on the context.
	stop func() bool
	// written is set once the whole request was written.
	written atomic.Bool
}

// run writes the request and reads the head of the answer.
func (x *exchange) run() (*Response, error) {
	head := x.head()
	if len(x.call.Body) <= inlineBody {
		n, err := x.connection.Write(append(head, x.call.Body...))
		if err != nil && n == 0 {
			return nil, errors.Wrapf(ErrNotSent, "write: %v", err)
		}
		if err == nil {
			x.written.Store(true)
		}
		// After a partial write the target may still have answered.
		return x.receive()
	}
	n, err := x.connection.Write(head)
	if err != nil && n == 0 {
		return nil, errors.Wrapf(ErrNotSent, "write: %v", err)
	}
	go x.writeBody()
	return x.receive()
}

func (x *exchange) writeBody() {
	// A failed write shows as a broken connection when the answer is read.
	if _, err := x.connection.Write(x.call.Body); err == nil {
		x.written.Store(true)
	}
}

// head returns the request line and the header.
func (x *exchange) head() []byte {
	var b bytes.Buffer
	b.Grow(512 + inlineBody)
	b.WriteString(x.call.Method)
	b.WriteByte(' ')
	b.WriteString(x.call.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.call.Host)
	b.WriteString("\r\n")
	for name, values := range x.call.Header {
		for _, v := range values {
			writeField(&b, name, v)
		}
	}
	if len(x.call.Body) > 0 || mayHaveBody(x.call.Method) {
		writeField(&b, "Content-Length", strconv.Itoa(len(x.call.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func mayHaveBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// lineBreaks would end a field early; net/http refuses them on the way in.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	_, _ = lineBreaks.WriteString(b, value) // a buffer does not fail
	b.WriteString("\r\n")
}

// receive reads answers until one belongs to the request.
func (x *exchange) receive() (*Response, error) {
	for skipped := 0; ; {
		response, err := http.ReadResponse(x.connection.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, x.readError(err)
		}
		if response.StatusCode < 200 {
			continue // informational, the answer follows
		}
		if x.call.Matches(response.StatusCode, response.Header) {
			return x.answer(response), nil
		}
		x.courier.Stats.Foreign.Add(1)
		if skipped++; skipped > maxSkipped || response.Close {
			return nil, errors.Wrap(ErrInvalid, "answer to another request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrapf(ErrBroken, "answer to another request: %v", err)
		}
	}
}

// readError maps an error of reading a head.
func (x *exchange) readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetwork(err) {
		return errors.Wrapf(ErrBroken, "read: %v", err)
	}
	return errors.Wrapf(ErrInvalid, "read: %v", err)
}

// isNetwork reports whether the error comes from the connection.
func isNetwork(err error) bool {
	var network net.Error
	var number syscall.Errno
	return errors.As(err, &network) || errors.As(err, &number) || errors.Is(err, net.ErrClosed)
}

func (x *exchange) answer(r *http.Response) *Response {
	x.connection.keepFor(r.Header)
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength,
		Body: &body{exchange: x, reader: r.Body, reusable: !r.Close},
	}
}

// abandon closes the connection.
func (x *exchange) abandon() {
	x.stop()
	x.connection.abort()
}

// body is the body of an answer.
type body struct {
	exchange *exchange
	reader   io.ReadCloser
	// reusable is set if the connection may be used again after the whole body.
	reusable bool
	ended    bool
	closed   bool
}

// Read returns io.EOF only after the whole body; a broken body is ErrBroken.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.ended = true
		err = io.EOF
	default:
		err = errors.Wrapf(ErrBroken, "read the body: %v", err)
	}
	return n, err
}

// Close keeps the connection if the body was read to its end and the target
// expects a next request.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	x := b.exchange
	watched := x.stop()
	if b.ended && b.reusable && watched && x.written.Load() && x.connection.reader.Buffered() == 0 {
		x.courier.put(x.target, x.connection)
		return nil
	}
	x.connection.abort()
	return nil
}
