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

// copyChunk is the size of one read of an answer that is too large to buffer.
const copyChunk = 16 << 10

// copyAnswer passes on an answer that is not an engine's event stream. An
// answer up to captureLimit is read whole first, so that a break can still be
// reported, or retried, as such.
func (a *attempt) copyAnswer(res *http.Response) error {
	if isIncremental(res.Header) {
		return a.copyRest(res, nil)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, captureLimit+1))
	a.meter.touch()
	if err != nil {
		return a.discard(res, a.explain(err))
	}
	if len(body) > captureLimit {
		return a.copyRest(res, body)
	}
	if !framed(res) {
		return a.discard(res, ErrBroken)
	}
	return a.writeWhole(res, body)
}

// framed is false when only the end of the connection marks the end of the
// body, so that a cut cannot be told from the end.
func framed(res *http.Response) bool {
	return res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked") ||
		res.Request.Method == http.MethodHead
}

func (a *attempt) writeWhole(res *http.Response, body []byte) error {
	a.meter.touch()
	if res.StatusCode == http.StatusOK {
		a.meter.output(len(body))
		a.meter.readUsage(body)
	}
	h := a.answerHeader(res)
	h.Set(HeaderOutcome, string(a.outcome(res)))
	if hasBody(res) && len(res.Trailer) == 0 {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if length := res.Header.Get("Content-Length"); res.Request.Method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	a.started = true
	a.captured.header(res.Header)
	a.captured.write(body)
	a.w.WriteHeader(res.StatusCode)
	var failure error
	if hasBody(res) {
		a.meter.beginWrite()
		defer a.meter.endWrite()
		_, failure = a.w.Write(body)
	}
	a.copyTrailer(res)
	if failure != nil {
		return a.discard(res, errors.WithSecondaryError(ErrCaller, failure))
	}
	return res.Body.Close()
}

func hasBody(res *http.Response) bool {
	return res.Request.Method != http.MethodHead && res.StatusCode != http.StatusNoContent &&
		res.StatusCode != http.StatusNotModified
}

// copyRest passes on head and then the rest of the body as it arrives. The
// outcome follows in a trailer.
func (a *attempt) copyRest(res *http.Response, head []byte) error {
	a.beginStream(res)
	a.captured.write(head)
	err := a.writeFlush(head)
	buffer := make([]byte, copyChunk)
	for err == nil {
		var n int
		n, err = res.Body.Read(buffer)
		a.meter.touch()
		if n > 0 {
			a.meter.output(n)
			a.captured.write(buffer[:n])
			if failure := a.writeFlush(buffer[:n]); failure != nil {
				return a.discard(res, failure)
			}
		}
		if err != nil && err != io.EOF {
			return a.discard(res, a.explain(err))
		}
	}
	if err != io.EOF {
		return a.discard(res, err)
	}
	if !framed(res) {
		return a.discard(res, ErrBroken)
	}
	a.copyTrailer(res)
	a.w.Header().Set(HeaderOutcome, string(a.outcome(res)))
	return res.Body.Close()
}

// beginStream writes the headers of an answer whose outcome is not yet known.
func (a *attempt) beginStream(res *http.Response) {
	h := a.answerHeader(res)
	h.Add("Trailer", HeaderOutcome)
	a.captured.header(res.Header)
	a.started = true
	a.w.WriteHeader(res.StatusCode)
}

// outcome is what a whole answer says about the run.
func (a *attempt) outcome(res *http.Response) Outcome {
	switch {
	case a.forwarding:
		// The issuer has decided; its outcome is in a header or a trailer.
		a.decided = Outcome(cmp.Or(res.Header.Get(HeaderOutcome), res.Trailer.Get(HeaderOutcome), string(Unknown)))
	case res.StatusCode >= http.StatusInternalServerError:
		// The target failed; whether the request took effect is not known.
		a.decided = Unknown
	default:
		a.decided = Complete
	}
	return a.decided
}

// answerHeader copies the end-to-end headers of the answer.
func (a *attempt) answerHeader(res *http.Response) http.Header {
	h := a.w.Header()
	if a.forwarding {
		copyHeader(h, res.Header, answerOnly)
	} else {
		copySafe(h, res.Header, answerOnly)
	}
	h[HeaderRequestID] = []string{a.r.ID}
	// Unannounced trailers would be lost when net/http sets a Content-Length.
	for _, k := range safeTrailers(res) {
		h.Add("Trailer", k)
	}
	return h
}

// safeTrailers returns the names of the answer's trailers that are passed on.
func safeTrailers(res *http.Response) []string {
	var names []string
	for k := range res.Trailer {
		if !hopByHop[k] && !answerOnly[k] && !strings.HasPrefix(k, ownPrefix) {
			names = append(names, k)
		}
	}
	return names
}

// copyTrailer sets the values of the trailers that answerHeader announced.
func (a *attempt) copyTrailer(res *http.Response) {
	for _, k := range safeTrailers(res) {
		a.w.Header()[k] = res.Trailer[k]
	}
}

func (a *attempt) writeFlush(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	a.meter.beginWrite()
	defer a.meter.endWrite()
	if _, err := a.w.Write(p); err != nil {
		return errors.WithSecondaryError(ErrCaller, err)
	}
	if err := a.control.Flush(); err != nil {
		return errors.WithSecondaryError(ErrCaller, err)
	}
	return nil
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// isIncremental is true for bodies whose reader wants each part at once.
func isIncremental(h http.Header) bool {
	return isEventStream(h) || strings.HasPrefix(h.Get("Content-Type"), "application/x-ndjson")
}
