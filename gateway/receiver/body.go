package receiver

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/limiter"
	"monsoondeck.example/logger"
)

const (
	// requestBytes is charged for each request in progress, for its state, its goroutine
	// and the buffers of its exchange with a target.
	requestBytes = 8 << 10
	// firstBodyBytes is the size of the first buffer for a body with a length, which most
	// bodies do not exceed; firstChunkedBytes is that for a chunked one. Larger bodies are
	// charged and allocated as they arrive, so that an announced length holds no memory.
	firstBodyBytes, firstChunkedBytes = 32 << 10, 512
	// bodyGrowth and chunkedGrowth are the factors by which the buffers grow. A length
	// bounds the last one.
	bodyGrowth, chunkedGrowth = 8, 2
)

// readBody reads the whole body into memory, so that it can be sent to a second
// target and a disconnect of the caller is noticed. It returns false if it has
// rejected the request.
func (p *proxyRequest) readBody() bool {
	limit := int64(p.bodyLimit)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if p.request.ContentLength > limit {
		p.reject(rejection{status: http.StatusRequestEntityTooLarge, code: "bodyTooLarge"})
		return false
	}
	err := p.receiver.Memory.OpenRequest(&p.charge, p.account)
	if err == nil {
		err = p.charge.Grow(limiter.KindRequest, requestBytes)
	}
	if err == nil && p.request.ContentLength != 0 {
		err = p.fillBody(limit)
	}
	if err == nil {
		return true
	}
	return p.handleBodyError(err)
}

// handleBodyError ends a request whose body was not read. It returns false if it has
// rejected the request. The read deadline stays in force, since the HTTP server reads a
// part of the rest of the body.
func (p *proxyRequest) handleBodyError(err error) bool {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		p.charge.Release()
		p.reject(rejection{status: http.StatusRequestEntityTooLarge, code: "bodyTooLarge"})
	case errors.Is(err, limiter.ErrBytesFull), errors.Is(err, limiter.ErrQueueFull), p.charge.Evicted():
		p.charge.Release()
		p.writer.Header().Set("Connection", "close")
		p.reject(rejection{status: http.StatusServiceUnavailable, code: codeMemory, retryAfter: memoryRetryAfter})
	case errors.Is(err, os.ErrDeadlineExceeded) && p.receiver.ShutdownState.Ending().Err() != nil:
		p.charge.Release()
		p.rejectStopping()
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.charge.Release()
		p.writer.Header().Set("Connection", "close")
		p.reject(rejection{status: http.StatusRequestTimeout, code: "bodyTimeout"})
	default:
		// A response cannot be delivered: the caller disconnected in the middle of the body.
		p.log(logger.RequestAbandoned, slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	}
	return false
}

// fillBody reads the body into a buffer that grows with it. The buffer is charged before
// it is allocated.
func (p *proxyRequest) fillBody(limit int64) error {
	r := p.request
	reader, end, size, growth := io.Reader(r.Body), r.ContentLength, int64(firstBodyBytes), int64(bodyGrowth)
	if r.ContentLength < 0 {
		reader, end, size, growth = http.MaxBytesReader(p.writer, r.Body, limit), limit, firstChunkedBytes, chunkedGrowth
	}
	size = min(size, end)
	if err := p.charge.Grow(limiter.KindBody, size); err != nil {
		return err
	}
	buffer, n := make([]byte, size), int64(0)
	defer p.unwatchRead()
	for {
		if n == size && size < end {
			next := min(growth*size, end)
			if err := p.charge.Grow(limiter.KindBody, next-size); err != nil {
				return err
			}
			grown := make([]byte, next)
			copy(grown, buffer)
			buffer, size = grown, next
		}
		space := buffer[n:]
		if len(space) == 0 && r.ContentLength < 0 {
			space = make([]byte, 1) // the body ends here or is over the limit
		}
		p.watchRead(n)
		read, err := reader.Read(space)
		n += int64(read)
		switch {
		case err == nil && r.ContentLength >= 0 && n == end, errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			if r.ContentLength >= 0 && n < end {
				return io.ErrUnexpectedEOF
			}
			p.body = buffer[:n]
			p.unwatchRead() // else the deadline of an eviction could come after this one
			// The error is ignored: response writers of tests may not support deadlines.
			_ = p.control.SetReadDeadline(time.Time{})
			return nil
		case err != nil:
			return err
		}
	}
}

// longAgo is a deadline that ends every read and write at once.
var longAgo = time.Unix(1, 0)

// watchRead reports that n bytes of the body have been read, and makes the read end if it
// stalls while memory is short.
func (p *proxyRequest) watchRead(n int64) {
	now := p.receiver.Clock()
	if !p.watched {
		p.watched = true
		p.charge.Watch(now, func() { _ = p.control.SetReadDeadline(longAgo) }) // fails only in tests
		return
	}
	p.charge.Progress(now, n-p.reported)
	p.reported = n
}

// unwatchRead ends what watchRead began.
func (p *proxyRequest) unwatchRead() {
	if p.watched {
		p.watched = false
		p.charge.Unwatch()
	}
}
