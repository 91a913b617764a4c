package receiver

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// firstRead is the size of a body buffer before any byte has arrived. Memory
// follows the bytes received, not the length that the caller announces.
const firstRead = 4 << 10

// readBody reads the body into j. The returned function gives its memory back.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, j *job) (func(), *failure) {
	if r.ContentLength > h.options.BodyBytes {
		return nil, h.tooLarge()
	}
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	var reserved int64
	release := func() { h.bodyMemory.Add(-reserved) }
	buffer := []byte(nil)
	for {
		if len(buffer) == cap(buffer) {
			grown := grow(int64(cap(buffer)), r.ContentLength, h.options.BodyBytes)
			reserved += grown - int64(cap(buffer))
			if h.bodyMemory.Add(grown-int64(cap(buffer))) > h.options.BodyMemory {
				release()
				return nil, notRun(http.StatusServiceUnavailable, "memory", "the router holds too many request bodies").after(time.Second).hanging()
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > h.options.BodyBytes {
			release()
			return nil, h.tooLarge()
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			release()
			return nil, readFailure(err)
		}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	j.body, j.trailer = buffer, r.Trailer
	return release, nil
}

// grow returns the next buffer size: one byte more than the limit at most, so
// that an oversize body is noticed.
func grow(size, announced, limit int64) int64 {
	next := max(firstRead, 2*size)
	if announced > 0 {
		next = min(next, announced+1)
	}
	return min(max(next, size+1), limit+1)
}

func (f *failure) hanging() *failure {
	f.hangUp = true
	return f
}

func (h *Handler) tooLarge() *failure {
	return notRun(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is too large").hanging()
}

func readFailure(err error) *failure {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRun(http.StatusRequestTimeout, "bodyTimeout", "the body did not arrive in time").hanging()
	}
	return notRun(http.StatusBadRequest, "bodyBroken", "the body could not be read").hanging()
}
