package server

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"monsoondeck.example/platform/wire"
)

// Kind is a kind of fault of a target.
type Kind string

// The kinds of faults.
const (
	FaultNone Kind = ""
	// FaultBusy refuses requests as if all slots were in use.
	FaultBusy Kind = "busy"
	// FaultError runs the request and responds with status 500 and a signature.
	FaultError Kind = "error"
	// FaultHang never responds and holds the slot until the caller disconnects.
	FaultHang Kind = "hang"
	// FaultReset runs the request and breaks the connection instead of responding.
	FaultReset Kind = "reset"
	// FaultTruncate breaks the connection in the middle of an event or body.
	FaultTruncate Kind = "truncate"
	// FaultForeign responds with the attempt ID of another request.
	FaultForeign Kind = "foreign"
	// FaultGarbage sends bytes that are not an HTTP response.
	FaultGarbage Kind = "garbage"
	// FaultExtra sends a second response after the first.
	FaultExtra Kind = "extra"
	// FaultUnframed sends half of a response that has no length, then resets the
	// connection.
	FaultUnframed Kind = "unframed"
	// FaultEarly refuses a request before its body is read.
	FaultEarly Kind = "early"
	// FaultSlow multiplies the times of a response by Factor.
	FaultSlow Kind = "slow"
	// FaultTornHead closes the connection in the middle of the head of the response.
	FaultTornHead Kind = "tornHead"
	// FaultCrash crashes the server.
	FaultCrash Kind = "crash"
	// FaultSilent sends nothing for Pause in the middle of a response, and multiplies the
	// other times by Factor.
	FaultSilent Kind = "silent"
)

// FaultKinds returns the kinds of faults that schedules draw from. FaultNone and those
// that only options of the soak inject are not among them.
func FaultKinds() []Kind {
	return []Kind{
		FaultBusy, FaultError, FaultHang, FaultReset, FaultTruncate, FaultForeign, FaultGarbage, FaultExtra, FaultUnframed, FaultEarly, FaultSlow,
	}
}

// Fault is a fault that a Server injects into a part of its requests.
type Fault struct {
	Kind Kind
	// Share is the probability that a request is affected, 0 to 1.
	Share float64
	// Factor multiplies the times of a response; 0 is 1.
	Factor float64
	// Pause is the silence of FaultSilent.
	Pause time.Duration
}

// drawForRequest decides at random whether the fault affects one request and returns
// the zero value if not.
func (f Fault) drawForRequest() Fault {
	if f.Kind == FaultNone || rand.Float64() >= f.Share {
		return Fault{}
	}
	return f
}

// drawFault returns the fault of one request: the one that the options give it, or else
// the one that is drawn. The caller holds s.mutex.
func (s *Server) drawFault(r *http.Request) Fault {
	// The rest of a resumed stream has no fault of its own, so that it can end.
	if s.options.FaultFor != nil && r.Header.Get(wire.FieldLastEvent) == "" {
		if f := s.options.FaultFor(r.URL.Path); f.Kind != FaultNone {
			return f
		}
	}
	return s.fault.drawForRequest()
}

// crashBy crashes the server because of a run, unless it has crashed since the run began.
func (s *Server) crashBy(run *Run) {
	s.mutex.Lock()
	lost := run.Lost
	s.mutex.Unlock()
	if lost {
		return
	}
	s.options.Crashing()
	s.Crash()
}

// refuseEarly refuses a request before its body is read, if FaultEarly affects it,
// and reports whether it did.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request) bool {
	s.mutex.Lock()
	f := s.fault
	s.mutex.Unlock()
	if f.Kind != FaultEarly || f.drawForRequest().Kind == FaultNone {
		return false
	}
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		panic(err) // every HTTP/1 connection supports it
	}
	w.Header().Set(wire.FieldAttempt, r.Header.Get(wire.FieldAttempt))
	w.Header().Set(wire.FieldNotRun, reasonFull)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = control.Flush()
	_, _ = io.Copy(io.Discard, r.Body) // drains the body; the caller may have disconnected
	return true
}

// writeRaw writes a malformed response, which net/http would not send, to the
// connection and closes it. It reports whether the response is complete.
func (s *Server) writeRaw(w http.ResponseWriter, run *Run, kind Kind) bool {
	c, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	body := ""
	for _, p := range s.responseParts(run) {
		body += p
	}
	sent := ""
	signedHeader := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", wire.FieldAttempt, run.Attempt, wire.FieldSignature, run.Instance+"."+run.Attempt)
	framedResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", signedHeader, len(body), body)
	switch kind {
	case FaultTornHead:
		head, _, _ := strings.Cut(framedResponse, "\r\n\r\n")
		_, _ = buffer.WriteString(head[:1+rand.IntN(len(head))])
	case FaultGarbage:
		_, _ = buffer.WriteString("\x00\x01 no answer\r\n\r\n")
	case FaultExtra:
		sent = body
		_, _ = buffer.WriteString(framedResponse + framedResponse)
	case FaultUnframed:
		sent = body[:len(body)/2]
		_, _ = buffer.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", signedHeader, sent))
	}
	s.countEvents(run, strings.Count(sent, "\n\n"))
	_ = buffer.Flush() // the caller may have disconnected
	if l, ok := c.(interface{ SetLinger(int) error }); ok && kind == FaultUnframed {
		_ = l.SetLinger(0)
	}
	return kind == FaultExtra
}
