package dispatcher

import (
	"net/http"
	"time"
)

// Target is where a request is sent.
type Target struct {
	ID string
	// Address is host:port.
	Address string
	// Engine is true for a model engine and false for a plain service.
	Engine bool
}

// Request is one attempt at one target. Do does not modify it.
type Request struct {
	Target  Target
	Account string
	// ID is the request id known to the caller.
	ID     string
	Method string
	// URI is the path and query at the target.
	URI string
	// Header holds the caller's headers; only those that may be passed on are sent.
	Header http.Header
	Body   []byte
	// Trailer holds the caller's trailers, empty for most requests.
	Trailer http.Header
	// Repeatable permits pooled connections, resending and resuming of streams.
	Repeatable bool
	// IdempotencyKey is sent in a header to which net/http does not react.
	IdempotencyKey string
	// PromptTokens is the estimate that is charged until the engine reports its usage.
	PromptTokens float64
	// Capture requests a copy of the response in Report.Response.
	Capture bool
	// BeforeSend is the last check before the first byte is sent. An error stops the
	// attempt with the outcome NotRun. May be nil.
	BeforeSend func() error
	// ResponseDeadline is when the target must have begun to respond; zero sets no limit
	// besides Options.ResponseTimeout.
	ResponseDeadline time.Time
	// Progress receives the units used so far, every ProgressInterval. It is
	// not called after Do has returned. May be nil.
	Progress func(units float64)
}

// Outcome is what is known about the execution of a request.
type Outcome string

// Outcomes, as sent in the Monsoondeck-Outcome header.
const (
	Complete Outcome = "complete"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

// Report says how an attempt ended.
type Report struct {
	Outcome Outcome
	// MaybeSent is true when a byte of the request may have reached the target.
	MaybeSent bool
	// Refused is true when the target refused the request before running it.
	Refused bool
	// Started is true when a byte of the response may have gone to the caller; the
	// request cannot be retried then.
	Started bool
	// EventStream is true when the response is an engine's event stream.
	EventStream bool
	// Status is the HTTP status of the target's response; 0 without a response.
	Status int
	// Units is the service used, in the units of section 3.1 of the design page.
	Units float64
	// FirstToken is the time from dispatch to the first token event. It is 0 for other
	// responses, whose first byte comes after all of the work.
	FirstToken time.Duration
	// TokenInterval is the mean time between two token events; 0 with fewer than two.
	TokenInterval time.Duration
	// Response is the captured response; nil if not requested, incomplete or too large.
	Response *Response
	// Err is nil for Complete. It is ErrUnreachable, ErrRefused,
	// ErrIncompleteResponse, ErrMismatchedResponse, ErrStalled, ErrCallerGone or the
	// error of BeforeSend.
	Err error
}

// Response is a whole response in memory.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}
