// Package wire holds header names and helpers shared by the stand-ins and by
// the load client.
package wire

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Header names of requests to targets.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderRefused        = "X-Request-Refused"
	HeaderAccount        = "Monsoondeck-Account"
	HeaderIdempotencyKey = "Monsoondeck-Idempotency-Key"
	HeaderCallerRequest  = "Monsoondeck-Request-Id"
	HeaderResumeRequest  = "X-Resume-Request"
	HeaderResumeOffset   = "X-Resume-Offset"
)

// Directive tells a stand-in what to do with a request. The load client writes
// it into the last user message, the body or the query, where routers do not
// look, so that the real cost stays unknown to them.
type Directive struct {
	// Request is the caller's own id of the request.
	Request string
	// Tokens is the length of the answer; 0 leaves it to max_tokens.
	Tokens int
	// Duration is the slot time of a plain service; 0 leaves it to the setting.
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

// ParseDirective reads the last word of a text as a directive. A text without
// one gives the zero value.
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

// Token returns token i of the answer to a request.
func Token(request string, i int) string {
	return request + ":" + strconv.Itoa(i) + " "
}

// Answer returns the whole answer of n tokens to a request.
func Answer(request string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(request, i))
	}
	return b.String()
}

// WriteJSON writes a JSON answer.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}

// Error is the body of a failed request.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// WriteError writes a JSON error.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, Error{ErrorDetail{Code: code, Message: message}})
}

// Refuse tells the sender that the request was refused before it ran.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(HeaderRefused, "true")
	w.Header().Set("Retry-After", "1")
	WriteError(w, status, code, message)
}
