package receiver

import (
	"io"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/limiter"
)

const (
	// firstResponseBytes is the size of the first buffer for a response; responseGrowth is the
	// factor by which it grows.
	firstResponseBytes, responseGrowth = 4 << 10, 4
	// copyBytes is the size of the buffer with which a response is forwarded that is not
	// held completely. It is part of requestBytes.
	copyBytes = 4 << 10
	// watchedBytes is the size of a request body and its response from which a write to the
	// caller may be ended while memory is short. Smaller ones would free little.
	watchedBytes = 64 << 10
	// streamStepBytes is the step in which incomplete events of a stream are charged. The
	// first step is part of requestBytes.
	streamStepBytes = 4 << 10
)

// readResponse reads the body of a response of up to maxBufferedBytes. whole is false if
// the body is larger or memory is short; data is its beginning then, and the rest must be
// forwarded as it arrives, since the request has run.
func (p *proxyRequest) readResponse(response *courier.Response) (data []byte, whole bool, err error) {
	if p.fallback == nil {
		p.charge.Shrink(limiter.KindResponse) // of an earlier attempt
	}
	size := int64(firstResponseBytes)
	if response.Length >= 0 {
		size = min(response.Length+1, firstResponseBytes) // one byte more to see the end
	}
	if p.charge.Grow(limiter.KindResponse, size) != nil {
		return nil, false, nil
	}
	buffer, n := make([]byte, size), int64(0)
	for {
		if n > maxBufferedBytes {
			return buffer[:n], false, nil
		}
		if n == size {
			next := min(responseGrowth*size, maxBufferedBytes+1)
			if response.Length >= n {
				next = min(response.Length+1, maxBufferedBytes+1)
			}
			if p.charge.Grow(limiter.KindResponse, next-size) != nil {
				return buffer[:n], false, nil
			}
			grown := make([]byte, next)
			copy(grown, buffer)
			buffer, size = grown, next
		}
		read, err := response.Body.Read(buffer[n:])
		n += int64(read)
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return buffer[:n], n <= maxBufferedBytes, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// errNotRead reports that a write was ended because the caller did not read while memory
// was short.
var errNotRead = errors.New("caller did not read while memory was short")

// write writes to the caller. While memory is short, the write may be ended if the caller
// does not read.
func (p *proxyRequest) write(data []byte) (int, error) {
	if len(p.body)+len(data) < watchedBytes {
		return p.writer.Write(data)
	}
	p.charge.Watch(p.receiver.Clock(), func() { _ = p.control.SetWriteDeadline(longAgo) }) // fails only in tests
	n, err := p.writer.Write(data)
	p.charge.Unwatch()
	if err == nil && p.charge.Evicted() {
		err = errNotRead // the write succeeded just before it was ended
	}
	return n, err
}

// ReadFrom forwards the rest of a response with a small buffer. io.Copy uses it instead of
// a larger one. The beginning was written and is no longer held.
func (w deadlineWriter) ReadFrom(r io.Reader) (int64, error) {
	if w.request.fallback == nil {
		w.request.charge.Shrink(limiter.KindResponse)
	}
	return io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, make([]byte, copyBytes))
}

// chargeStream charges the bytes of an incomplete event. It returns an error if memory is
// short.
func (p *proxyRequest) chargeStream(pending int) error {
	if pending <= p.streamCharged+streamStepBytes {
		return nil
	}
	steps := (pending - p.streamCharged) / streamStepBytes * streamStepBytes
	if err := p.charge.Grow(limiter.KindStream, int64(steps)); err != nil {
		return err
	}
	p.streamCharged += steps
	return nil
}
