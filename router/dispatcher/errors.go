package dispatcher

import "github.com/cockroachdb/errors"

// Errors in Report.Err.
var (
	// ErrUnreachable: no connection to the target could be opened.
	ErrUnreachable = errors.New("target unreachable")
	// ErrRefused: the target refused the request before running it.
	ErrRefused = errors.New("target refused the request")
	// ErrBroken: the connection to the target failed or the answer was not whole.
	ErrBroken = errors.New("answer of the target is broken")
	// ErrWrongAnswer: the answer carried the id of another request.
	ErrWrongAnswer = errors.New("answer belongs to another request")
	// ErrStalled: the target sent nothing for longer than the time limit.
	ErrStalled = errors.New("target stalled")
	// ErrCaller: the caller went away or stopped reading.
	ErrCaller = errors.New("caller went away")
)
