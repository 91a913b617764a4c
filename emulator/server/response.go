package server

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/platform/wire"
	"monsoondeck.example/sleeper"
)

// respond writes the response, with the injected fault, and reports whether it is
// complete.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, run *Run, fault Fault) bool {
	switch fault.Kind {
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
		return false
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultForeign:
		w.Header().Set(wire.FieldAttempt, "another-"+run.Attempt)
	case FaultCrash:
		s.crashBy(run)
		panic(http.ErrAbortHandler)
	case FaultGarbage, FaultExtra, FaultUnframed, FaultTornHead:
		return s.writeRaw(w, run, fault.Kind)
	}
	parts := s.responseParts(run)
	if s.options.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	control := http.NewResponseController(w)
	for i, part := range parts {
		if i > 0 && !sleeper.Sleep(r.Context(), time.Duration(float64(s.options.EventInterval)*cmp.Or(fault.Factor, 1))) {
			// A return from the handler would end the response as if it were complete.
			panic(http.ErrAbortHandler)
		}
		if fault.Kind == FaultSilent && i == len(parts)/2 && !sleeper.Sleep(r.Context(), fault.Pause) {
			panic(http.ErrAbortHandler)
		}
		if fault.Kind == FaultTruncate && i == len(parts)/2 {
			_, _ = io.WriteString(w, part[:len(part)/2]) // the response is truncated in any case
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, part); err != nil {
			return false
		}
		_ = control.Flush() // a broken connection shows at the next write
		s.countEvents(run, 1)
	}
	return r.Context().Err() == nil
}

// responseParts returns the parts of the response that a run sends: all of them, or
// those after the last event that the caller received.
func (s *Server) responseParts(run *Run) []string {
	parts := ResponseParts(run.Attempt, s.options.Events)
	if after, err := strconv.Atoi(run.After); err == nil {
		return parts[min(after+1, len(parts)):]
	}
	return parts
}

// ResponseParts returns the parts of the complete response to an attempt: its events,
// or one body if events is 0.
func ResponseParts(attempt string, events int) []string {
	if events == 0 {
		return []string{"answer to " + attempt + "\n"}
	}
	var parts []string
	for i := range events {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i))
	}
	return parts
}
