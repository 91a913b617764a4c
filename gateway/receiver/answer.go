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

// copyWhole passes an answer on that is no stream. Small answers are read whole
// first, so that a broken one can be replaced by that of another target.
func (j *job) copyWhole(ctx context.Context, permit Permit, answer *courier.Answer, verdict Verdict) outcome {
	permit.FirstEvent()
	data, err := io.ReadAll(io.LimitReader(answer.Body, bufferedBytes+1))
	if err != nil {
		return j.endAttempt(permit, j.resultOf(ctx), "a broken answer", err)
	}
	if len(data) > bufferedBytes {
		return j.copyLarge(ctx, permit, answer, data)
	}
	a := &whole{status: answer.Status, header: answer.Header, body: data}
	if answer.Status >= 500 {
		permit.End(placer.Failed)
		if j.route.Repeatable() && j.attempts < j.route.MaxAttempts {
			j.kept = a
			j.excluded = append(j.excluded, permit.Decision().Choice.Target.ID)
			return again
		}
	} else {
		permit.End(placer.Complete)
	}
	if !verdict.Signed {
		a.header.Del("Content-Encoding")
	}
	j.pass(a)
	return done
}

// copyLarge passes the rest of a large answer on as it arrives.
func (j *job) copyLarge(ctx context.Context, permit Permit, answer *courier.Answer, begin []byte) outcome {
	h := j.writer.Header()
	j.receiver.Protocol.Copy(h, answer.Header)
	if answer.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	j.firstByte = time.Since(j.start)
	j.limitWrite()
	j.writer.WriteHeader(answer.Status)
	_, err := j.writer.Write(begin)
	if err == nil {
		_, err = io.Copy(deadlineWriter{j}, answer.Body)
	}
	if err != nil {
		permit.End(j.resultOf(ctx))
		j.end("answerBroken", answer.Status)
		panic(http.ErrAbortHandler)
	}
	permit.End(placer.Complete)
	j.receiver.observeDuration(j.route.Name, time.Since(j.start))
	j.end("answered", answer.Status)
	return done
}

// deadlineWriter bounds each write to the caller.
type deadlineWriter struct{ job *job }

func (w deadlineWriter) Write(p []byte) (int, error) {
	w.job.limitWrite()
	return w.job.writer.Write(p)
}

// stream is the state of a stream that is passed on.
type stream struct {
	status int
	// begun is set once a byte went to the caller.
	begun bool
	// lastID is the id of the last event that was passed on.
	lastID string
	// header is that of the first target that answered.
	header http.Header
	// passedOn is the time at which the last events were passed on, longestPause the
	// longest time between two such times.
	passedOn     time.Time
	longestPause time.Duration
}

// pass notes that events are passed on now.
func (s *stream) pass() {
	now := time.Now()
	if !s.passedOn.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.passedOn))
	}
	s.passedOn = now
}

// readBytes is the size of one read of a stream.
const readBytes = 4 << 10

// copyStream passes the events of a stream on as they arrive. Only whole events
// are passed on, so that the stream can go on at another target.
func (j *job) copyStream(ctx context.Context, permit Permit, watch *watch, answer *courier.Answer) outcome {
	if j.stream == nil {
		j.stream = &stream{status: answer.Status, header: answer.Header}
	}
	var events splitter
	buffer := make([]byte, readBytes)
	first, resumedAfter := true, j.stream.lastID
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			ready, tooLong := events.add(buffer[:n])
			if tooLong {
				return j.endAttempt(permit, placer.Failed, "an event that is too long", nil)
			}
			if len(ready) > 0 {
				if first && resumedAfter != "" && repeats(ready, resumedAfter) {
					return j.endAttempt(permit, placer.Failed, "a stream that began again", nil)
				}
				if first {
					first = false
					permit.FirstEvent()
				}
				watch.event(events.count)
				if !j.writeEvents(ready, events.lastID) {
					permit.End(placer.Cancelled)
					return broken
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return j.endStream(permit, events.rest())
		}
		if err != nil {
			return j.endAttempt(permit, j.resultOf(ctx), "a broken stream", err)
		}
	}
}

// writeEvents passes whole events on; false if the caller has left.
func (j *job) writeEvents(events []byte, lastID string) bool {
	j.beginStream()
	j.stream.pass()
	j.limitWrite()
	if _, err := j.writer.Write(events); err != nil {
		return false
	}
	if err := j.control.Flush(); err != nil {
		return false
	}
	if lastID != "" {
		j.stream.lastID = lastID
	}
	return true
}

func (j *job) beginStream() {
	if j.stream.begun {
		return
	}
	j.stream.begun = true
	j.firstByte = time.Since(j.start)
	j.receiver.Protocol.Copy(j.writer.Header(), j.stream.header)
	j.writer.WriteHeader(j.stream.status)
}

// endStream ends a stream whose target ended it.
func (j *job) endStream(permit Permit, rest []byte) outcome {
	permit.End(placer.Complete)
	if len(rest) > 0 && !j.writeEvents(rest, "") {
		return broken
	}
	j.beginStream()
	j.receiver.observeDuration(j.route.Name, time.Since(j.start))
	j.end("answered", j.stream.status)
	return done
}
