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
	// Header holds the caller's headers; only hop-safe ones are sent.
	Header http.Header
	Body   []byte
	// Trailer holds the caller's trailers, empty for most requests.
	Trailer http.Header
	// Repeatable permits pooled connections, replay and stream resume.
	Repeatable bool
	// IdempotencyKey is sent under a name that net/http does not act upon.
	IdempotencyKey string
	// PromptTokens is the estimate that is charged until the engine reports usage.
	PromptTokens float64
	// Capture asks for a copy of the answer in Report.Answer.
	Capture bool
	// BeforeSend is the last check before the first byte. An error stops the
	// attempt with outcome NotRun. May be nil.
	BeforeSend func() error
	// AnswerBy is when the target must have begun to answer; zero sets no limit
	// besides Options.AnswerTimeout.
	AnswerBy time.Time
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
	// Sent is true when a byte of the request may have reached the target.
	Sent bool
	// Refused is true when the target refused the request before running it.
	Refused bool
	// Started is true when a byte of the answer went to the caller; the
	// attempt cannot be retried then.
	Started bool
	// Events is true when the answer is an engine's event stream.
	Events bool
	// Status is the status of the target's answer, 0 without an answer.
	Status int
	// Units is the service used, see the design page, section 3.1.
	Units float64
	// FirstToken is the time from dispatch to the first token event. It is 0 for
	// other answers, whose first byte comes after all of the work.
	FirstToken time.Duration
	// Interval is the mean time between two events, 0 with fewer than two.
	Interval time.Duration
	// Answer is the captured answer, nil if not asked for, incomplete or too large.
	Answer *Answer
	// Err is nil for Complete. It is ErrUnreachable, ErrRefused, ErrBroken,
	// ErrWrongAnswer, ErrStalled, ErrCaller or the error of BeforeSend.
	Err error
}

// Answer is a whole answer in memory.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}
