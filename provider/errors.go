// Package provider contains HTTP clients of the platform's services: the table
// service, the object store and the host list.
package provider

import "github.com/cockroachdb/errors"

// Errors of the clients. Every error that a client returns is one of them.
var (
	// ErrConflict means that a condition of the transaction did not hold; it had no
	// effect.
	ErrConflict = errors.New("transaction condition does not hold")
	// ErrNotFound means that no row or object has the key.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the call had no effect and may be retried later.
	ErrUnavailable = errors.New("service is unavailable")
	// ErrUnknown means that the response was lost; the call may have taken effect,
	// or may still take effect later.
	ErrUnknown = errors.New("outcome is unknown")
	// ErrRejected means that the service rejected the request; it had no effect, and a
	// retry would fail too.
	ErrRejected = errors.New("service rejected the request")
)
