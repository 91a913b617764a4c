package receiver

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// eventSplitter divides the bytes of a stream into whole events.
type eventSplitter struct {
	// pending holds the bytes after the last whole event.
	pending []byte
	// lastEventID is the ID of the last whole event that had one.
	lastEventID string
	// count is the number of whole events with a field that the last call of add
	// returned. Comments only keep a connection open, so that a target can send them
	// without end although it has stalled.
	count int
}

// add appends bytes of the stream and returns the events that they complete. The
// result is valid until the next call. tooLong reports that the incomplete event
// exceeds maxEventBytes.
func (s *eventSplitter) add(p []byte) (events []byte, tooLong bool) {
	// A separator of events that ends in p begins at most maxSeparatorBytes-1 before it.
	from := max(len(s.pending)-(maxSeparatorBytes-1), 0)
	if len(s.pending) > 0 {
		s.pending = append(s.pending, p...)
		p = s.pending
	}
	end := lastEventEnd(p[from:])
	if end > 0 {
		end += from
	}
	if len(p)-end > maxEventBytes {
		return nil, true
	}
	events = p[:end]
	s.count = countEvents(events)
	if id, ok := lastID(events); ok {
		s.lastEventID = id
	}
	if end > 0 || len(s.pending) == 0 {
		// events may share memory with pending, so the rest goes into a new slice.
		s.pending = append([]byte(nil), p[end:]...)
	}
	return events, false
}

// countEvents returns the number of events that have a field.
func countEvents(events []byte) int {
	count, hasField := 0, false
	for line := range bytes.Lines(events) {
		switch line = bytes.TrimRight(line, "\r\n"); {
		case len(line) == 0 && hasField:
			count++
			hasField = false
		case len(line) > 0 && line[0] != ':':
			hasField = true
		}
	}
	return count
}

// rest returns the bytes after the last whole event.
func (s *eventSplitter) rest() []byte { return s.pending }

// insideEvent reports whether the bytes after the last whole event belong to an event
// that is not complete, and not only to a comment.
func (s *eventSplitter) insideEvent() bool {
	for line := range bytes.Lines(s.pending) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// maxSeparatorBytes is the length of the longest separator of events.
const maxSeparatorBytes = len("\r\n\r\n")

// lastEventEnd returns the length of the whole events in p.
func lastEventEnd(p []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(separator)); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

// lastID returns the value of the last id field in the events.
func lastID(events []byte) (string, bool) {
	for len(events) > 0 {
		i := bytes.LastIndexByte(events[:len(events)-1], '\n') + 1
		if value, ok := bytes.CutPrefix(events[i:], []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
		events = events[:i]
	}
	return "", false
}

// firstID returns the value of the first id field in the events.
func firstID(events []byte) (string, bool) {
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// continuesAfter reports whether the events can follow the one with the given ID: they
// have an ID, which is greater if both are numbers.
func continuesAfter(events []byte, id string) bool {
	text, ok := firstID(events)
	if !ok {
		return false
	}
	first, errFirst := strconv.ParseUint(text, 10, 64)
	last, errLast := strconv.ParseUint(id, 10, 64)
	return errFirst != nil || errLast != nil || first > last
}
