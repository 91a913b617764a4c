package dispatcher

import "github.com/cockroachdb/errors"

// Errors in Report.Err, which may also hold the error of Request.BeforeSend.
var (
	// ErrUnreachable: no connection to the target could be opened.
	ErrUnreachable = errors.New("target unreachable")
	// ErrRefused: the target refused the request before running it.
	ErrRefused = errors.New("target refused the request")
	// ErrIncompleteResponse: the connection to the target failed or the response was
	// not whole.
	ErrIncompleteResponse = errors.New("connection to the target failed or its response is incomplete")
	// ErrMismatchedResponse: the response carried the id of another request.
	ErrMismatchedResponse = errors.New("response belongs to another request")
	// ErrInvalidResponse: the target sent something that is not a response of HTTP.
	ErrInvalidResponse = errors.New("target sent an invalid response")
	// ErrStalled: the target sent nothing within the time limit.
	ErrStalled = errors.New("target sent nothing within the time limit")
	// ErrCallerGone: the caller disconnected or stopped reading.
	ErrCallerGone = errors.New("caller disconnected or stopped reading")
)
