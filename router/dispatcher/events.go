package dispatcher

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// eventBuffer holds the events of one read; it grows for larger events.
	eventBuffer = 2 << 10
	// maximumEvent bounds the memory of one stream.
	maximumEvent = 1 << 20
	// drainLimit is read after the last event so that the connection can be reused.
	drainLimit = 4 << 10
	// drainTime bounds the wait for an engine that keeps the answer open.
	drainTime = 50 * time.Millisecond
)

var (
	dataField    = []byte("data:")
	doneValue    = []byte("[DONE]")
	emptyChoices = []byte(`"choices":[]`)
	emptyDelta   = []byte(`"delta":{}`)
)

// copyEvents passes on an engine's event stream, event by event. Only whole
// events are passed on. The stream is complete when [DONE] has arrived; a
// break before that is resumed if the request permits it.
func (a *attempt) copyEvents(res *http.Response) error {
	s := &eventSplitter{buffer: make([]byte, 0, eventBuffer)}
	for resumes := 0; ; resumes++ {
		done, err := a.copySome(res, s)
		if done {
			defer a.drain(res)
			return a.finishEvents()
		}
		err = a.discard(res, err)
		if !a.resumable(err, resumes) {
			return err
		}
		next, failure := a.resume(resumes)
		if failure != nil {
			return errors.WithSecondaryError(err, failure)
		}
		s.reset()
		res = next
	}
}

// copySome passes on events until [DONE] (true) or an error.
func (a *attempt) copySome(res *http.Response, s *eventSplitter) (bool, error) {
	for {
		event, err := s.next(res.Body)
		if err != nil {
			return false, a.explain(err)
		}
		done, err := a.copyEvent(res, event)
		if done || err != nil {
			return done, err
		}
	}
}

func (a *attempt) copyEvent(res *http.Response, event []byte) (bool, error) {
	now := time.Now()
	data := eventData(event)
	done := bytes.Equal(data, doneValue)
	if err := a.stream.check(data, done); err != nil {
		return false, err
	}
	tokens := int64(0)
	if !done && len(data) > 0 {
		a.meter.readUsage(data)
		if !bytes.Contains(data, emptyChoices) && !bytes.Contains(data, emptyDelta) {
			tokens = 1
		}
	}
	a.meter.event(now.Sub(a.meter.start), tokens)
	if !a.started {
		a.beginStream(res)
	}
	a.captured.write(event)
	return done, a.writeFlush(event)
}

// finishEvents writes the outcome as the last event, after [DONE], where
// clients that know only the engine's protocol no longer read.
func (a *attempt) finishEvents() error {
	a.w.Header().Set(HeaderOutcome, string(Complete))
	return a.writeFlush(OutcomeEvent(a.r.ID))
}

// OutcomeEvent is the last event of a complete stream.
func OutcomeEvent(id string) []byte {
	// Request ids are visible ASCII, so that Quote writes valid JSON.
	return []byte("event: outcome\ndata: {\"outcome\":\"complete\",\"requestId\":" + strconv.Quote(id) + "}\n\n")
}

// drain reads the end of the body. Its errors do not matter after [DONE].
func (a *attempt) drain(res *http.Response) {
	timer := time.AfterFunc(drainTime, func() { a.meter.cancel(nil) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, res.Body, drainLimit)
	_ = res.Body.Close()
}

// eventData returns the data of a one-line event, nil for others.
func eventData(event []byte) []byte {
	_, data, ok := bytes.Cut(event, dataField)
	if !ok {
		return nil
	}
	return bytes.TrimSpace(data)
}

// eventSplitter cuts a byte stream into events, each with its blank line.
type eventSplitter struct {
	buffer []byte
	// given is the length of the event returned last, still in buffer.
	given int
	// searched is the length of the prefix of buffer known to hold no end.
	searched int
}

func (s *eventSplitter) reset() { s.buffer, s.given, s.searched = s.buffer[:0], 0, 0 }

// next returns the next whole event; it is valid until the next call. At the
// end of the body, with or without a partial event, it returns io.EOF.
func (s *eventSplitter) next(body io.Reader) ([]byte, error) {
	if s.given > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.given:])]
		s.given, s.searched = 0, 0
	}
	for {
		if end := eventEnd(s.buffer, max(0, s.searched-3)); end > 0 {
			s.given = end
			return s.buffer[:end], nil
		}
		s.searched = len(s.buffer)
		if err := s.fill(body); err != nil {
			return nil, err
		}
	}
}

func (s *eventSplitter) fill(body io.Reader) error {
	if len(s.buffer) == cap(s.buffer) {
		if cap(s.buffer) >= maximumEvent {
			return errors.Newf("event larger than %d bytes", maximumEvent)
		}
		s.buffer = append(make([]byte, 0, 2*cap(s.buffer)), s.buffer...)
	}
	n, err := body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if n > 0 {
		return nil
	}
	return err
}

// eventEnd returns the index after the first blank line at or after from, 0 if none.
func eventEnd(p []byte, from int) int {
	for i := from; i < len(p); i++ {
		n := bytes.IndexByte(p[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n
		if i+1 < len(p) && p[i+1] == '\n' {
			return i + 2
		}
		if i+2 < len(p) && p[i+1] == '\r' && p[i+2] == '\n' {
			return i + 3
		}
	}
	return 0
}
