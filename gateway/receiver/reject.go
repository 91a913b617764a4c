package receiver

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/logger"
)

// rejection is an error response that the daemon generates itself.
type rejection struct {
	status int
	// code is the machine-readable reason.
	code string
	// retryAfter is the time after which the caller should retry; 0 sends no Retry-After.
	retryAfter time.Duration
	// waited, objectiveLeft, expected and target explain the decision in the log: the time in
	// the queue, what was left of the objective before it, the expected time to the first
	// event, and the ID of the best target.
	waited, objectiveLeft, expected time.Duration
	target                          string
	// part is the prompt part or whole request because of which the request is refused; 0 if
	// there is another reason.
	part quarantiner.Part
	// standing is that of the account if the request waited for a permit.
	standing queuer.Standing
}

// rejectionBody is the JSON body of a rejection.
type rejectionBody struct {
	Error rejectionError `json:"error"`
}

type rejectionError struct {
	Code              string  `json:"code"`
	RequestID         string  `json:"requestId"`
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty"`
}

// reject responds with a rejection and records the end of the request.
func (p *proxyRequest) reject(r rejection) {
	h := p.writer.Header()
	if r.retryAfter > 0 {
		h.Set("Retry-After", p.receiver.Protocol.FormatRetryAfter(r.retryAfter))
	}
	body, err := json.Marshal(rejectionBody{rejectionError{r.code, p.info.ID, r.retryAfter.Seconds()}})
	if err != nil {
		body = nil // status and Retry-After are sufficient
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.closeIfStopping()
	p.setWriteDeadline()
	p.writer.WriteHeader(r.status)
	_, _ = p.writer.Write(body) // the caller may be disconnected
	attrs := []slog.Attr{slog.Int("status", r.status), slog.String("code", r.code), slog.Duration("retryAfter", r.retryAfter),
		slog.Duration("waited", r.waited), slog.Duration("objectiveLeft", r.objectiveLeft), slog.Duration("expected", r.expected), slog.String("target", r.target)}
	if r.part != 0 {
		attrs = append(attrs, slog.String("part", strconv.FormatUint(uint64(r.part), 16)))
	}
	if p.fingerprint != 0 { // the body was read
		attrs = append(attrs, slog.String("parts", p.formatParts()), slog.String("fingerprint", p.formatFingerprint()))
	}
	p.receiver.Tally.Refused(p.sharingAccount(), r.code)
	p.log(logger.RequestRejected, append(attrs, p.standingAttrs(r.standing)...)...)
	p.recordEnd(r.code, r.status)
}

// codeStopping is the code of rejections because the daemon stops.
const codeStopping = "stopping"

// CodeBusy is the code of rejections because the host is busy.
const CodeBusy = "hostBusy"

// CodeUnknownKey is the code of rejections because no client account holds the key.
const CodeUnknownKey = "unknownKey"

// codeMemory is the code of rejections because memory is short, codeHeaderTooLarge of those
// because the header exceeds its limits.
const (
	codeMemory         = "memory"
	codeHeaderTooLarge = "headerTooLarge"
)

// BusyResponse returns a whole response that rejects a request which was not read,
// because the host is busy, and closes the connection. It names no request.
func BusyResponse(p Protocol, retryAfter time.Duration) []byte {
	return unreadResponse(http.StatusServiceUnavailable, CodeBusy, "Retry-After: "+p.FormatRetryAfter(retryAfter)+"\r\n", retryAfter)
}

// MemoryResponse is like BusyResponse, because memory is short.
func MemoryResponse(p Protocol, retryAfter time.Duration) []byte {
	return unreadResponse(http.StatusServiceUnavailable, codeMemory, "Retry-After: "+p.FormatRetryAfter(retryAfter)+"\r\n", retryAfter)
}

// HeaderTooLargeResponse is like BusyResponse, because the header exceeds its limits.
func HeaderTooLargeResponse() []byte {
	return unreadResponse(http.StatusRequestHeaderFieldsTooLarge, codeHeaderTooLarge, "", 0)
}

// UnknownKeyResponse is like BusyResponse, because no client account holds the key.
func UnknownKeyResponse() []byte {
	return unreadResponse(http.StatusUnauthorized, CodeUnknownKey, "", 0)
}

// unreadResponse returns a whole response that rejects a request which was not read.
func unreadResponse(status int, code, field string, retryAfter time.Duration) []byte {
	body, err := json.Marshal(rejectionBody{rejectionError{Code: code, RetryAfterSeconds: retryAfter.Seconds()}})
	if err != nil {
		body = nil // status and Retry-After are sufficient
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), field, len(body), body)
}

// closeIfStopping makes the response, whose header has not been sent, close the connection of
// the caller if the daemon stops.
func (p *proxyRequest) closeIfStopping() {
	if _, _, stopping := p.receiver.ShutdownState.Stopping(); stopping {
		p.writer.Header().Set("Connection", "close")
	}
}

// setWriteDeadline sets the deadline of the next write to the caller.
func (p *proxyRequest) setWriteDeadline() {
	// The error is ignored: response writers of tests may not support deadlines.
	_ = p.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	// length is the length of the body, for a HEAD request that of the body that a GET
	// request would get; -1 is unknown.
	length int64
	body   []byte
}

// writeResponse forwards the response of a target and records the end of the request.
func (p *proxyRequest) writeResponse(r *bufferedResponse) {
	h := p.writer.Header()
	p.receiver.Protocol.CopyResponseHeader(h, r.header)
	if r.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	p.closeIfStopping()
	p.setWriteDeadline()
	p.recordFirstByte(r.status)
	p.writer.WriteHeader(r.status)
	_, _ = p.write(r.body) // the caller may be disconnected
	p.receiver.observeDuration(p.route.Name, p.firstByte)
	p.recordEnd("answered", r.status)
}
