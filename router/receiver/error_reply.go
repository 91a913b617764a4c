package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/router/dispatcher"
)

// errorReply is an error response of the router itself.
type errorReply struct {
	status int
	// code identifies the error to programs, message explains it to people.
	code    string
	message string
	outcome dispatcher.Outcome
	// retryAfter is the time to wait before a repeat; 0 if a repeat would not help.
	retryAfter time.Duration
	// closeConnection closes the connection after the reply.
	closeConnection bool
}

// notRun returns an error reply for a request that did not run.
func notRun(status int, code, message string) *errorReply {
	return &errorReply{status: status, code: code, message: message, outcome: dispatcher.NotRun}
}

// unknown returns an error reply for a request that may have run.
func unknown(status int, code, message string) *errorReply {
	return &errorReply{status: status, code: code, message: message, outcome: dispatcher.Unknown}
}

func (e *errorReply) withRetryAfter(d time.Duration) *errorReply {
	e.retryAfter = d
	return e
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

func (e *errorReply) body(id string) []byte {
	b, err := json.Marshal(errorBody{errorDetail{
		Code: e.code, Message: e.message, RetryAfterSeconds: e.retryAfter.Seconds(),
		RequestID: id, Outcome: e.outcome,
	}})
	if err != nil {
		// A struct of strings and a finite number can always be encoded.
		panic(err)
	}
	return b
}

// write sends the reply to the request with the id.
func (e *errorReply) write(w http.ResponseWriter, id string) {
	h := w.Header()
	body := e.body(id)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(dispatcher.HeaderRequestID, id)
	h.Set(dispatcher.HeaderOutcome, string(e.outcome))
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	if e.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if e.closeConnection {
		h.Set("Connection", "close")
	}
	w.WriteHeader(e.status)
	// The error is ignored because the server detects a closed connection itself.
	_, _ = w.Write(body)
}

// writeEvent sends the reply as an error event at the end of a stream whose status
// has already been sent.
func (e *errorReply) writeEvent(w http.ResponseWriter, id string) {
	_, err := w.Write(append(append([]byte("event: error\ndata: "), e.body(id)...), "\n\n"...))
	if err == nil {
		_ = http.NewResponseController(w).Flush()
	}
}
