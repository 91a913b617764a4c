package receiver

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// initialBufferBytes is the size of a body buffer before any byte has arrived.
// The buffer grows with the bytes received, so that a caller cannot reserve
// memory by announcing a large Content-Length.
const initialBufferBytes = 4 << 10

// readBody reads the body into cr. The returned function releases the memory
// reserved for it.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, cr *callerRequest) (func(), *errorReply) {
	if r.ContentLength > h.options.MaxBodyBytes {
		return nil, h.bodyTooLarge()
	}
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	var reserved int64
	release := func() { h.bufferedBytes.Add(-reserved) }
	buffer := []byte(nil)
	for {
		if len(buffer) == cap(buffer) {
			size := nextBufferSize(int64(cap(buffer)), r.ContentLength, h.options.MaxBodyBytes)
			reserved += size - int64(cap(buffer))
			if h.bufferedBytes.Add(size-int64(cap(buffer))) > h.options.MaxBufferedBytes {
				release()
				return nil, notRun(http.StatusServiceUnavailable, "memory", "the router holds too many request bodies").withRetryAfter(time.Second).withConnectionClose()
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > h.options.MaxBodyBytes {
			release()
			return nil, h.bodyTooLarge()
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			release()
			return nil, bodyReadError(err)
		}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	cr.body, cr.trailer = buffer, r.Trailer
	return release, nil
}

// nextBufferSize returns the size to which a full buffer grows. It is at most
// limit+1 bytes, so that a body beyond the limit is detected. announced is the
// Content-Length, negative if unknown.
func nextBufferSize(size, announced, limit int64) int64 {
	next := max(initialBufferBytes, 2*size)
	if announced > 0 {
		next = min(next, announced+1)
	}
	return min(max(next, size+1), limit+1)
}

// withConnectionClose closes the connection after the reply, because the rest of
// the body is not read.
func (e *errorReply) withConnectionClose() *errorReply {
	e.closeConnection = true
	return e
}

func (h *Handler) bodyTooLarge() *errorReply {
	return notRun(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is too large").withConnectionClose()
}

func bodyReadError(err error) *errorReply {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRun(http.StatusRequestTimeout, "bodyTimeout", "the body did not arrive in time").withConnectionClose()
	}
	return notRun(http.StatusBadRequest, "bodyBroken", "the body could not be read").withConnectionClose()
}
