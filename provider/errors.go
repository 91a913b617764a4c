// Package provider holds the clients of the platform's services: table service,
// object store and host list.
package provider

import "github.com/cockroachdb/errors"

// Errors of the clients. Every error that a client returns is one of them.
var (
	// ErrConflict: a condition of the transaction did not hold; it had no effect.
	ErrConflict = errors.New("a condition did not hold")
	// ErrNotFound: no row or object has the key.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable: the call did not take effect and may be tried again later.
	ErrUnavailable = errors.New("service is unavailable")
	// ErrUnknown: the answer was lost; the call may have taken effect, or may
	// still take effect later.
	ErrUnknown = errors.New("outcome is unknown")
	// ErrRefused: the service does not accept the request as it is; it had no
	// effect and a repetition would fail too.
	ErrRefused = errors.New("service refused the request")
)
