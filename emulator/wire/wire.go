// Package wire holds header names, and helpers for requests and responses, that the
// emulated services and the load generator share.
package wire

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Header names of requests to targets and of their responses.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderRefused is "true" in the response to a request that was refused without
	// being run.
	HeaderRefused        = "X-Request-Refused"
	HeaderAccount        = "Monsoondeck-Account"
	HeaderIdempotencyKey = "Monsoondeck-Idempotency-Key"
	HeaderCallerRequest  = "Monsoondeck-Request-Id"
	HeaderResumeRequest  = "X-Resume-Request"
	HeaderResumeOffset   = "X-Resume-Offset"
)

// Directive tells an emulated target what a request costs. The load generator writes
// it into the last user message, the body or the query, which routers do not read, so
// that the real cost stays unknown to them.
type Directive struct {
	// Request is the ID that the caller gave to the request.
	Request string
	// Tokens is the length of the answer; 0 means that of max_tokens.
	Tokens int
	// Duration is the time in a slot of a plain service; 0 means that of its settings.
	Duration time.Duration
}

// String returns the directive in the form that ParseDirective reads.
func (d Directive) String() string {
	v := url.Values{"request": {d.Request}}
	if d.Tokens > 0 {
		v.Set("tokens", strconv.Itoa(d.Tokens))
	}
	if d.Duration > 0 {
		v.Set("durationMs", strconv.FormatInt(d.Duration.Milliseconds(), 10))
	}
	return v.Encode()
}

// ParseDirective parses the last word of a text as a directive. It returns the zero
// value if that is not one, and ignores invalid numbers.
func ParseDirective(text string) Directive {
	words := strings.Fields(text)
	if len(words) == 0 {
		return Directive{}
	}
	v, err := url.ParseQuery(words[len(words)-1])
	if err != nil {
		return Directive{}
	}
	tokens, _ := strconv.Atoi(v.Get("tokens"))
	ms, _ := strconv.ParseInt(v.Get("durationMs"), 10, 64)
	return Directive{Request: v.Get("request"), Tokens: max(tokens, 0), Duration: time.Duration(max(ms, 0)) * time.Millisecond}
}

// Token returns token i, counted from 0, of the answer to a request.
func Token(request string, i int) string {
	return request + ":" + strconv.Itoa(i) + " "
}

// Answer returns the answer of n tokens to a request.
func Answer(request string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(request, i))
	}
	return b.String()
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// Error is the response body of a failed request.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure: Code for programs, Message for people.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// WriteError writes a response with an Error as its body.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, Error{ErrorDetail{Code: code, Message: message}})
}

// Refuse responds that the request was refused without being run, so that the client
// may retry it after one second.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(HeaderRefused, "true")
	w.Header().Set("Retry-After", "1")
	WriteError(w, status, code, message)
}
