package server

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"monsoondeck.example/platform/wire"
)

// Kind is a way in which a target fails.
type Kind string

// The kinds of faults.
const (
	FaultNone Kind = ""
	// FaultBusy refuses requests as if the target were full.
	FaultBusy Kind = "busy"
	// FaultError answers with a signed status 500.
	FaultError Kind = "error"
	// FaultHang never answers.
	FaultHang Kind = "hang"
	// FaultReset runs the request and resets the connection instead of answering.
	FaultReset Kind = "reset"
	// FaultTruncate breaks the answer off in the middle of a piece.
	FaultTruncate Kind = "truncate"
	// FaultForeign answers with the id of another attempt.
	FaultForeign Kind = "foreign"
	// FaultGarbage sends bytes that are no answer.
	FaultGarbage Kind = "garbage"
	// FaultExtra sends a second answer after the first.
	FaultExtra Kind = "extra"
	// FaultUnframed sends an answer without length and resets the connection midway.
	FaultUnframed Kind = "unframed"
	// FaultEarly refuses a request before its body was read.
	FaultEarly Kind = "early"
	// FaultSlow takes Factor times as long.
	FaultSlow Kind = "slow"
)

// Faults lists the kinds of faults.
func Faults() []Kind {
	return []Kind{
		FaultBusy, FaultError, FaultHang, FaultReset, FaultTruncate, FaultForeign, FaultGarbage, FaultExtra, FaultUnframed, FaultEarly, FaultSlow,
	}
}

// Fault is what a target does wrong.
type Fault struct {
	Kind Kind
	// Share is the part of the requests that fail, 0 to 1.
	Share float64
	// Factor multiplies the times of an answer; 0 is 1.
	Factor float64
}

// draw decides for one request.
func (f Fault) draw() Fault {
	if f.Kind == FaultNone || rand.Float64() >= f.Share {
		return Fault{}
	}
	return f
}

// early refuses a request before its body is read and reports whether it did.
func (s *Server) early(w http.ResponseWriter, r *http.Request) bool {
	s.mutex.Lock()
	f := s.fault
	s.mutex.Unlock()
	if f.Kind != FaultEarly || f.draw().Kind == FaultNone {
		return false
	}
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		panic(err) // every HTTP/1 connection can
	}
	w.Header().Set(wire.FieldAttempt, r.Header.Get(wire.FieldAttempt))
	w.Header().Set(wire.FieldNotRun, reasonFull)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = control.Flush()
	_, _ = io.Copy(io.Discard, r.Body) // reads on; the caller may have gone
	return true
}

// spoil writes bytes that net/http would not, and closes the connection.
func (s *Server) spoil(w http.ResponseWriter, run *Run, kind Kind) bool {
	c, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	body := ""
	for _, p := range s.pieces(run) {
		body += p
	}
	signed := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", wire.FieldAttempt, run.Attempt, wire.FieldSignature, run.Instance+"."+run.Attempt)
	framed := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", signed, len(body), body)
	switch kind {
	case FaultGarbage:
		_, _ = buffer.WriteString("\x00\x01 no answer\r\n\r\n")
	case FaultExtra:
		_, _ = buffer.WriteString(framed + framed)
	case FaultUnframed:
		_, _ = buffer.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", signed, body[:len(body)/2]))
	}
	_ = buffer.Flush() // the caller may have gone
	if l, ok := c.(interface{ SetLinger(int) error }); ok && kind == FaultUnframed {
		_ = l.SetLinger(0)
	}
	return kind == FaultExtra
}
