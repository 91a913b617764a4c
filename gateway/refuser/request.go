package refuser

import (
	"bytes"
	"strconv"
)

// Names of header fields that say how long a body is.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// wholeRequest reports whether what was received from a caller is a whole request, as far as
// its header says how long its body is.
func wholeRequest(received []byte) bool {
	header, body, ok := bytes.Cut(received, []byte(headEnd))
	if !ok {
		return false
	}
	length := 0
	for line := range bytes.Lines(header) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, transferEncoding):
			return false
		case bytes.EqualFold(name, contentLength):
			var err error
			if length, err = strconv.Atoi(string(bytes.TrimSpace(value))); err != nil || length < 0 {
				return false
			}
		}
	}
	return len(body) >= length
}
