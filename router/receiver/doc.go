// Package receiver serves callers over HTTP: it authenticates them, checks
// their requests, waits for a permit, has the dispatcher run the request and
// reports an accurate outcome.
package receiver
