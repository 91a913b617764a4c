package receiver

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/logger"
)

// rejection is an answer of the daemon's own.
type rejection struct {
	status int
	code   string
	// retryAfter tells the caller when to come back; 0 tells nothing.
	retryAfter time.Duration
	// waited, expected and target are the inputs of the decision.
	waited, expected time.Duration
	target           string
}

// rejectionBody is the body of a rejection.
type rejectionBody struct {
	Error rejectionError `json:"error"`
}

type rejectionError struct {
	Code              string  `json:"code"`
	RequestID         string  `json:"requestId"`
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty"`
}

// refuse answers with a rejection.
func (j *job) refuse(r rejection) {
	h := j.writer.Header()
	if r.retryAfter > 0 {
		h.Set("Retry-After", j.receiver.Protocol.RetryAfter(r.retryAfter))
	}
	body, err := json.Marshal(rejectionBody{rejectionError{r.code, j.call.ID, r.retryAfter.Seconds()}})
	if err != nil {
		body = nil // the status says what matters
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	j.limitWrite()
	j.writer.WriteHeader(r.status)
	_, _ = j.writer.Write(body) // the caller may have left
	j.log(logger.RequestRejected, slog.Int("status", r.status), slog.String("code", r.code), slog.Duration("retryAfter", r.retryAfter),
		slog.Duration("waited", r.waited), slog.Duration("expected", r.expected), slog.String("target", r.target))
	j.end(r.code, r.status)
}

// limitWrite bounds the next write to the caller.
func (j *job) limitWrite() {
	// Servers without deadlines, as in tests, go on without one.
	_ = j.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// pass gives the answer of a target to the caller.
func (j *job) pass(a *whole) {
	h := j.writer.Header()
	j.receiver.Protocol.Copy(h, a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	j.limitWrite()
	j.firstByte = time.Since(j.start)
	j.writer.WriteHeader(a.status)
	_, _ = j.writer.Write(a.body) // the caller may have left
	j.receiver.observeDuration(j.route.Name, j.firstByte)
	j.end("answered", a.status)
}
