package dispatcher

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// copyChunkSize is the size in bytes of one read of a response that is not buffered.
const copyChunkSize = 16 << 10

// copyResponse copies a response that is not an engine's event stream. A response of
// up to captureLimit bytes is read whole first, so that a failure in its middle can
// still be reported to the caller, or retried.
func (a *attempt) copyResponse(res *http.Response) error {
	if isStreaming(res.Header) {
		return a.streamBody(res, nil)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, captureLimit+1))
	a.meter.recordActivity()
	if err != nil {
		return a.closeBody(res, a.classifyError(err))
	}
	if len(body) > captureLimit {
		return a.streamBody(res, body)
	}
	if !hasFraming(res) {
		return a.closeBody(res, ErrIncompleteResponse)
	}
	return a.writeBuffered(res, body)
}

// hasFraming reports whether the response marks the end of its body. If only the end
// of the connection does, a truncated body cannot be told from a whole one.
func hasFraming(res *http.Response) bool {
	return res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked") ||
		res.Request.Method == http.MethodHead
}

// writeBuffered writes a response whose body was read whole. The outcome is in a
// header.
func (a *attempt) writeBuffered(res *http.Response, body []byte) error {
	a.meter.recordActivity()
	if res.StatusCode == http.StatusOK {
		a.meter.recordBytes(len(body))
		a.meter.readUsage(body)
	}
	h := a.responseHeader(res)
	h.Set(HeaderOutcome, string(a.determineOutcome(res)))
	if hasBody(res) && len(res.Trailer) == 0 {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if length := res.Header.Get("Content-Length"); res.Request.Method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	a.started = true
	a.captured.header(res.Header)
	a.captured.write(body)
	a.writer.WriteHeader(res.StatusCode)
	var writeErr error
	if hasBody(res) {
		a.meter.beginWrite()
		defer a.meter.endWrite()
		_, writeErr = a.writer.Write(body)
	}
	a.copyTrailer(res)
	if writeErr != nil {
		return a.closeBody(res, errors.WithSecondaryError(ErrCallerGone, writeErr))
	}
	return res.Body.Close()
}

func hasBody(res *http.Response) bool {
	return res.Request.Method != http.MethodHead && res.StatusCode != http.StatusNoContent &&
		res.StatusCode != http.StatusNotModified
}

// streamBody copies head, the part of the body already read, and then the rest of the
// body as it arrives. The outcome follows in a trailer.
func (a *attempt) streamBody(res *http.Response, head []byte) error {
	a.beginStream(res)
	a.captured.write(head)
	err := a.writeFlush(head)
	buffer := make([]byte, copyChunkSize)
	for err == nil {
		var n int
		n, err = res.Body.Read(buffer)
		a.meter.recordActivity()
		if n > 0 {
			a.meter.recordBytes(n)
			a.captured.write(buffer[:n])
			if writeErr := a.writeFlush(buffer[:n]); writeErr != nil {
				return a.closeBody(res, writeErr)
			}
		}
		if err != nil && err != io.EOF {
			return a.closeBody(res, a.classifyError(err))
		}
	}
	if err != io.EOF {
		return a.closeBody(res, err)
	}
	if !hasFraming(res) {
		return a.closeBody(res, ErrIncompleteResponse)
	}
	a.copyTrailer(res)
	a.writer.Header().Set(HeaderOutcome, string(a.determineOutcome(res)))
	return res.Body.Close()
}

// beginStream writes the headers of a response whose outcome is not yet known.
func (a *attempt) beginStream(res *http.Response) {
	h := a.responseHeader(res)
	h.Add("Trailer", HeaderOutcome)
	a.captured.header(res.Header)
	a.started = true
	a.writer.WriteHeader(res.StatusCode)
}

// determineOutcome stores and returns the outcome that a whole response implies.
func (a *attempt) determineOutcome(res *http.Response) Outcome {
	switch {
	case a.forwarding:
		// The other router has decided; its outcome is in a header or a trailer.
		a.outcome = Outcome(cmp.Or(res.Header.Get(HeaderOutcome), res.Trailer.Get(HeaderOutcome), string(Unknown)))
	case res.StatusCode >= http.StatusInternalServerError:
		// The target failed; it is unknown whether the request took effect.
		a.outcome = Unknown
	default:
		a.outcome = Complete
	}
	return a.outcome
}

// responseHeader copies the end-to-end headers of the target's response to the
// caller's response and announces its trailers.
func (a *attempt) responseHeader(res *http.Response) http.Header {
	h := a.writer.Header()
	if a.forwarding {
		copyEndToEndHeader(h, res.Header, withheldResponseHeaders)
	} else {
		copyPublicHeader(h, res.Header, withheldResponseHeaders)
	}
	h[HeaderRequestID] = []string{a.request.ID}
	// Unannounced trailers would be lost when net/http sets a Content-Length.
	for _, k := range safeTrailers(res) {
		h.Add("Trailer", k)
	}
	return h
}

// safeTrailers returns the names of the response's trailers that may be copied.
func safeTrailers(res *http.Response) []string {
	var names []string
	for k := range res.Trailer {
		if !hopByHop[k] && !withheldResponseHeaders[k] && !strings.HasPrefix(k, reservedPrefix) {
			names = append(names, k)
		}
	}
	return names
}

// copyTrailer sets the values of the trailers that responseHeader announced.
func (a *attempt) copyTrailer(res *http.Response) {
	for _, k := range safeTrailers(res) {
		a.writer.Header()[k] = res.Trailer[k]
	}
}

// writeFlush writes p to the caller and flushes it.
func (a *attempt) writeFlush(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	a.meter.beginWrite()
	defer a.meter.endWrite()
	if _, err := a.writer.Write(p); err != nil {
		return errors.WithSecondaryError(ErrCallerGone, err)
	}
	if err := a.control.Flush(); err != nil {
		return errors.WithSecondaryError(ErrCallerGone, err)
	}
	return nil
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// isStreaming reports whether the body's parts must be passed on as they arrive.
func isStreaming(h http.Header) bool {
	return isEventStream(h) || strings.HasPrefix(h.Get("Content-Type"), "application/x-ndjson")
}
