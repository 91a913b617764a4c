// Package deduplicator decides whether a non-repeatable request may be sent,
// so that it runs at most once across the fleet. It is pure: it takes events
// and returns actions, and performs no I/O.
//
// An Attempt is one try to run the request of an idempotency key. It claims
// the key with a row in the table service; a claim is never taken over.
// Tickets replace claims while the table service is out.
package deduplicator
