package meter

import (
	"bytes"
	"net/http"

	"monsoondeck.example/gateway/resolver"
)

const (
	// defaultHeaderBytes bounds the header of a request if the configuration sets no limit,
	// or before there is one.
	defaultHeaderBytes = 64 << 10
	// MaxHeaderBytes bounds the header of a request whatever the configuration says.
	MaxHeaderBytes = 1 << 20
	// minFieldBytes is the size of the shortest header field, a name of one letter with its
	// colon and line end.
	minFieldBytes = 4
	// fieldBytes is charged for each header field: its entry in the parsed header and in
	// the copy that is sent to a target. Many short fields hold far more memory than
	// their bytes.
	fieldBytes = 256
	// headerCopies is the number of copies of the bytes of a header: as it was read, as it
	// was parsed, and as it is sent to a target.
	headerCopies = 3
)

// HeaderLimits returns the largest size of the fields of a header in bytes, and the largest
// number of fields, which no header within the size exceeds. The size is also that of the
// longest request line.
func HeaderLimits(l resolver.Limits) (size, fields int) {
	size = l.HeaderBytes
	if size <= 0 {
		size = defaultHeaderBytes
	}
	size = min(size, MaxHeaderBytes)
	return size, size / minFieldBytes
}

// headerCost returns the memory that a header holds.
func headerCost(size, fields int) int64 {
	return headerCopies*int64(size) + fieldBytes*int64(fields)
}

// HeaderSize returns the least number of bytes that the fields of the header of a request
// took on the connection, and their number. The blank after a colon is not counted, since
// the HTTP server does not keep it.
func HeaderSize(r *http.Request) (size, fields int) {
	size, fields = fieldsSize(r.Header)
	if r.Host != "" {
		size += len("Host") + colonBytes + len(r.Host) + lineEndBytes
		fields++
	}
	return size, fields
}

// HeaderCost returns the memory that a parsed header and its copies hold.
func HeaderCost(h http.Header) int64 { return headerCost(fieldsSize(h)) }

// colonBytes and lineEndBytes are the sizes of what surrounds name and value of a field.
const colonBytes, lineEndBytes = 1, 2

// fieldsSize returns the size and the number of the fields of a header.
func fieldsSize(h http.Header) (size, fields int) {
	for name, values := range h {
		for _, v := range values {
			size += len(name) + colonBytes + len(v) + lineEndBytes
		}
		fields += len(values)
	}
	return size, fields
}

// headerScanner counts the bytes and lines of a header as it arrives. The zero value
// expects the start of a header.
type headerScanner struct {
	// size is the number of bytes, requestLine the part of it that is the request line, and
	// lines the number of complete lines.
	size, requestLine, lines int
	// content is the number of bytes of the current line other than a carriage return.
	content int
	// ended is set once the empty line after the fields was read.
	ended bool
}

// scan counts bytes up to the end of the header. Bytes that the HTTP server reads after
// what looked like the end belong to the header, too.
func (s *headerScanner) scan(p []byte) {
	s.ended = false
	for len(p) > 0 && !s.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.add(len(p))
			s.content += contentBytes(p)
			return
		}
		s.add(i + 1)
		s.ended = s.content+contentBytes(p[:i]) == 0 && s.lines > 0
		s.lines++
		s.content = 0
		p = p[i+1:]
	}
}

// add counts bytes of the current line.
func (s *headerScanner) add(n int) {
	s.size += n
	if s.lines == 0 {
		s.requestLine += n
	}
}

// exceeds reports whether the header exceeds the limits.
func (s *headerScanner) exceeds(size, fields int) bool {
	const lineEnd, otherLines = 2, 2 // the request line and the empty one at the end
	return s.requestLine > size || s.size-s.requestLine > size+lineEnd || s.lines > fields+otherLines
}

// contentBytes returns the number of bytes without one carriage return at the end.
func contentBytes(p []byte) int {
	if n := len(p); n > 0 && p[n-1] == '\r' {
		return n - 1
	}
	return len(p)
}

// cost returns the memory that the header holds.
func (s *headerScanner) cost() int64 { return headerCost(s.size, s.lines) }
