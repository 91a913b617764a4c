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
	// initialEventBuffer is the initial size in bytes of the read buffer, which grows
	// for larger events.
	initialEventBuffer = 2 << 10
	// maxEventSize, in bytes, bounds the memory of one stream.
	maxEventSize = 1 << 20
	// drainLimit is the number of bytes read at most after the last event, so that the
	// connection can be reused.
	drainLimit = 4 << 10
	// drainTimeout bounds the wait for an engine that keeps the response open.
	drainTimeout = 50 * time.Millisecond
)

var (
	dataField    = []byte("data:")
	doneValue    = []byte("[DONE]")
	emptyChoices = []byte(`"choices":[]`)
	emptyDelta   = []byte(`"delta":{}`)
)

// copyEvents copies an engine's event stream in whole events. The stream is complete
// when [DONE] has arrived; if it breaks before that, it is resumed if the request is
// repeatable.
func (a *attempt) copyEvents(res *http.Response) error {
	s := &eventSplitter{buffer: make([]byte, 0, initialEventBuffer)}
	for resumes := 0; ; {
		done, err := a.copyUntilDone(res, s)
		if done {
			defer a.drain(res)
			return a.finishEvents()
		}
		if res, resumes, err = a.resume(a.closeBody(res, err), resumes); err != nil {
			return err
		}
		s.reset()
	}
}

// copyUntilDone copies events until an error occurs or, with the result true, [DONE]
// has arrived.
func (a *attempt) copyUntilDone(res *http.Response, s *eventSplitter) (bool, error) {
	for {
		event, err := s.next(res.Body)
		if err != nil {
			return false, a.classifyError(err)
		}
		done, err := a.copyEvent(res, event)
		if done || err != nil {
			return done, err
		}
	}
}

// copyEvent copies one event and counts its tokens. It returns true if the event is
// [DONE].
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
	a.meter.recordEvent(now.Sub(a.meter.start), tokens)
	if !a.started {
		a.beginStream(res)
	}
	a.captured.write(event)
	return done, a.writeFlush(event)
}

// finishEvents writes the outcome as the last event, after [DONE]. Clients that know
// only the engine's protocol stop reading before it.
func (a *attempt) finishEvents() error {
	a.writer.Header().Set(HeaderOutcome, string(Complete))
	return a.writeFlush(OutcomeEvent(a.request.ID))
}

// OutcomeEvent is the last event of a complete stream.
func OutcomeEvent(id string) []byte {
	// Request ids are visible ASCII, so that Quote writes valid JSON.
	return []byte("event: outcome\ndata: {\"outcome\":\"complete\",\"requestId\":" + strconv.Quote(id) + "}\n\n")
}

// drain reads the end of the body so that the connection can be reused. Errors do not
// matter after [DONE].
func (a *attempt) drain(res *http.Response) {
	timer := time.AfterFunc(drainTimeout, func() { a.meter.cancel(nil) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, res.Body, drainLimit)
	_ = res.Body.Close()
}

// eventData returns the data of an event that has one data line; nil without data.
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
	// returned is the length of the event returned last, which is still in buffer.
	returned int
	// searched is the length of the prefix of buffer that contains no event end.
	searched int
}

func (s *eventSplitter) reset() { s.buffer, s.returned, s.searched = s.buffer[:0], 0, 0 }

// next returns the next whole event; it is valid until the next call. At the
// end of the body, with or without a partial event, it returns io.EOF.
func (s *eventSplitter) next(body io.Reader) ([]byte, error) {
	if s.returned > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.returned:])]
		s.returned, s.searched = 0, 0
	}
	for {
		if end := eventEnd(s.buffer, max(0, s.searched-3)); end > 0 {
			s.returned = end
			return s.buffer[:end], nil
		}
		s.searched = len(s.buffer)
		if err := s.fill(body); err != nil {
			return nil, err
		}
	}
}

// fill reads more of the body into buffer, and enlarges a full buffer first.
func (s *eventSplitter) fill(body io.Reader) error {
	if len(s.buffer) == cap(s.buffer) {
		if cap(s.buffer) >= maxEventSize {
			return errors.Newf("event larger than %d bytes", maxEventSize)
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

// eventEnd returns the index after the first blank line at or after from; 0 if there
// is none.
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
