package receiver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
)

// forwardResponse forwards a response that is not a stream. Small responses are read
// completely first, so that the request can be sent to another target if one is
// incomplete.
func (p *proxyRequest) forwardResponse(ctx context.Context, permit Permit, response *courier.Response, info ResponseInfo) attemptOutcome {
	permit.FirstEvent()
	data, whole, err := p.readResponse(response)
	if err != nil {
		return p.failAttempt(permit, p.failureResult(ctx, err), "response body is incomplete", failureCause(ctx, err))
	}
	if !whole {
		return p.forwardLargeResponse(ctx, permit, response, data)
	}
	if p.endedByCrash(ctx, permit, response) {
		return p.failAttempt(permit, placer.Broken, reasonTargetGone, nil)
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, length: int64(len(data)), body: data}
	if p.request.Method == http.MethodHead {
		buffered.length = response.Length
	}
	if response.Status >= 500 {
		permit.End(placer.Failed)
		if p.route.Repeatable() && p.attempts < p.route.MaxAttempts {
			p.fallback = buffered
			p.excluded = append(p.excluded, permit.Decision().Choice.Target.ID)
			return outcomeRetry
		}
	} else {
		permit.End(placer.Complete)
	}
	if !info.Signed {
		buffered.header.Del("Content-Encoding")
	}
	p.writeResponse(buffered)
	return outcomeDone
}

// forwardLargeResponse forwards the first bytes of a large response, which have been
// read, and then the rest as it arrives. It aborts the caller's connection if the
// response ends early.
func (p *proxyRequest) forwardLargeResponse(ctx context.Context, permit Permit, response *courier.Response, beginning []byte) attemptOutcome {
	h := p.writer.Header()
	p.receiver.Protocol.CopyResponseHeader(h, response.Header)
	if response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	p.closeIfStopping()
	p.recordFirstByte(response.Status)
	p.setWriteDeadline()
	p.writer.WriteHeader(response.Status)
	_, err := p.write(beginning)
	if err == nil {
		_, err = io.Copy(deadlineWriter{p}, response.Body)
	}
	if err == nil && p.endedByCrash(ctx, permit, response) {
		err = errTargetGone
	}
	if err != nil {
		permit.End(p.failureResult(ctx, err))
		p.recordEnd("answerBroken", response.Status)
		p.breakOff()
	}
	permit.End(placer.Complete)
	p.receiver.observeDuration(p.route.Name, time.Since(p.arrived))
	p.recordEnd("answered", response.Status)
	return outcomeDone
}

// breakOff ends the caller's connection in the middle of a response. It does not return.
func (p *proxyRequest) breakOff() {
	if !p.request.ProtoAtLeast(1, 1) {
		// Without chunks, the end of the connection would complete the response.
		p.receiver.ResetOnClose(p.request)
	}
	panic(http.ErrAbortHandler)
}

// reasonTargetGone is the reason for which an attempt failed whose response ended with its
// target.
const reasonTargetGone = "response ended with its connection, and its target is gone"

// errTargetGone is the error of reading such a response.
var errTargetGone = errors.Wrap(courier.ErrBroken, reasonTargetGone)

// endedByCrash reports whether a response that has ended with its connection is incomplete
// because its target has ended, too.
func (p *proxyRequest) endedByCrash(ctx context.Context, permit Permit, response *courier.Response) bool {
	return response.EndsWithConnection && p.receiver.TargetChecker.Gone(ctx, courierTarget(permit.Decision().Choice.Target), p.healthPath)
}

// deadlineWriter writes to the caller and sets a deadline for each write.
type deadlineWriter struct{ request *proxyRequest }

func (w deadlineWriter) Write(p []byte) (int, error) {
	w.request.setWriteDeadline()
	return w.request.write(p)
}

// streamState is the state of a stream that is forwarded to the caller, possibly from
// several targets one after the other.
type streamState struct {
	// status and header are those of the first target that responded.
	status int
	// started is set once the header is sent to the caller.
	started bool
	// lastEventID is the ID of the last forwarded event that has one; empty if there is
	// none.
	lastEventID string
	header      http.Header
	// lastForwarded is the time at which events were last forwarded, longestPause the
	// longest time between two such times.
	lastForwarded time.Time
	longestPause  time.Duration
}

// markForwarded updates the times of forwarding; events are being forwarded now.
func (s *streamState) markForwarded() {
	now := time.Now()
	s.longestPause = s.pauseUntil(now)
	s.lastForwarded = now
}

// pauseUntil returns the longest time without events until now.
func (s *streamState) pauseUntil(now time.Time) time.Duration {
	if s.lastForwarded.IsZero() {
		return 0
	}
	return max(s.longestPause, now.Sub(s.lastForwarded))
}

// streamReadBytes is the size of the buffer for reading a stream.
const streamReadBytes = 4 << 10

// forwardStream forwards the events of a stream as they arrive. It forwards only whole
// events, so that another target can continue the stream.
func (p *proxyRequest) forwardStream(ctx context.Context, permit Permit, watch *stallWatch, response *courier.Response) attemptOutcome {
	if p.stream == nil {
		p.stream = &streamState{status: response.Status, header: response.Header}
	}
	var events eventSplitter
	var comments commentFilter
	buffer := make([]byte, streamReadBytes)
	first, resumeAfterID := true, p.stream.lastEventID
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			p.lastData = time.Now()
			ready, tooLong := events.add(buffer[:n])
			if tooLong {
				return p.failAttempt(permit, placer.Failed, "stream event exceeds the size limit", nil)
			}
			if err := p.chargeStream(len(events.pending)); err != nil {
				return p.failAttempt(permit, placer.Cancelled, "no memory for an event of the stream", err)
			}
			if len(ready) > 0 {
				if first && events.count > 0 && resumeAfterID != "" && !continuesAfter(ready, resumeAfterID) {
					return p.failAttempt(permit, placer.Failed, "target did not resume the stream where it broke", nil)
				}
				if first && events.count > 0 {
					first = false
					permit.FirstEvent()
				}
				if events.count > 0 {
					watch.recordEvents(events.count)
				}
				ready, excess := comments.apply(time.Now(), ready)
				if excess && watch.isStalled() {
					return p.failAttempt(permit, placer.Failed, "target sent only comments, and too many", nil)
				}
				if events.count > 0 && events.lastEventID == "" && p.stream.lastEventID == "" {
					if watch.isReplaced() {
						// Once this event is forwarded, the other target cannot continue.
						return p.failAttempt(permit, placer.Failed, "target sent its first event too late", errStalled)
					}
					p.unresumable.Store(true)
				} else if events.lastEventID != "" {
					p.unresumable.Store(false)
				}
				if events.count > 0 {
					p.recordStream(permit.Decision().Choice.Target)
				}
				if len(ready) > 0 && !p.writeEvents(ready, events.lastEventID) {
					permit.End(placer.Cancelled)
					return outcomeFailed
				}
				if excess {
					pauseReading(ctx)
				}
			}
		}
		if errors.Is(err, io.EOF) {
			if events.insideEvent() || first && response.EndsWithConnection {
				return p.failAttempt(permit, placer.Broken, "stream ended inside an event or before the first one", nil)
			}
			watch.stop()
			if p.endedByCrash(ctx, permit, response) {
				return p.failAttempt(permit, placer.Broken, reasonTargetGone, nil)
			}
			return p.endStream(permit, events.rest())
		}
		if err != nil {
			return p.failAttempt(permit, p.failureResult(ctx, err), "stream broke before its end", failureCause(ctx, err))
		}
	}
}

// writeEvents writes events to the caller. It returns false if the caller is
// disconnected or does not read.
func (p *proxyRequest) writeEvents(events []byte, lastID string) bool {
	p.startStream()
	p.stream.markForwarded()
	p.setWriteDeadline()
	if _, err := p.write(events); err != nil {
		return false
	}
	if err := p.control.Flush(); err != nil {
		return false
	}
	if lastID != "" {
		p.stream.lastEventID = lastID
	}
	return true
}

// startStream sends the header of the stream to the caller, unless it is sent already.
func (p *proxyRequest) startStream() {
	if p.stream.started {
		return
	}
	p.stream.started = true
	p.recordFirstByte(p.stream.status)
	p.receiver.Protocol.CopyResponseHeader(p.writer.Header(), p.stream.header)
	p.closeIfStopping()
	p.writer.WriteHeader(p.stream.status)
}

// endStream completes a stream that its target ended properly. rest is what the target
// sent after the last whole event.
func (p *proxyRequest) endStream(permit Permit, rest []byte) attemptOutcome {
	permit.End(placer.Complete)
	if len(rest) > 0 && !p.writeEvents(rest, "") {
		return outcomeFailed
	}
	p.startStream()
	p.receiver.observeDuration(p.route.Name, time.Since(p.arrived))
	p.recordEnd("answered", p.stream.status)
	return outcomeDone
}
