package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/router/dispatcher"
)

// failure is an error reply.
type failure struct {
	status  int
	code    string
	message string
	outcome dispatcher.Outcome
	// retryAfter is 0 when a repeat would not help.
	retryAfter time.Duration
	// hangUp closes the connection after the reply.
	hangUp bool
}

func notRun(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, outcome: dispatcher.NotRun}
}

func unknown(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, outcome: dispatcher.Unknown}
}

func (f *failure) after(d time.Duration) *failure {
	f.retryAfter = d
	return f
}

// errorBody is the JSON of an error reply and of a stream's error event.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code              string             `json:"code"`
	Message           string             `json:"message"`
	RetryAfterSeconds float64            `json:"retryAfterSeconds"`
	RequestID         string             `json:"requestId"`
	Outcome           dispatcher.Outcome `json:"outcome"`
}

func (f *failure) body(id string) []byte {
	b, err := json.Marshal(errorBody{errorDetail{
		Code: f.code, Message: f.message, RetryAfterSeconds: f.retryAfter.Seconds(),
		RequestID: id, Outcome: f.outcome,
	}})
	if err != nil {
		// Only strings and a finite number are encoded.
		panic(err)
	}
	return b
}

// write sends f as the reply to request id.
func (f *failure) write(w http.ResponseWriter, id string) {
	h := w.Header()
	body := f.body(id)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(dispatcher.HeaderRequestID, id)
	h.Set(dispatcher.HeaderOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	if f.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if f.hangUp {
		h.Set("Connection", "close")
	}
	w.WriteHeader(f.status)
	// A caller that has gone away is noticed by the server.
	_, _ = w.Write(body)
}

// writeEvent ends an event stream whose status has already been sent.
func (f *failure) writeEvent(w http.ResponseWriter, id string) {
	_, err := w.Write(append(append([]byte("event: error\ndata: "), f.body(id)...), "\n\n"...))
	if err == nil {
		_ = http.NewResponseController(w).Flush()
	}
}
