// Package deduplicator decides whether a non-repeatable request may be sent,
// so that it runs at most once across the fleet. It performs no I/O: it takes
// events and returns actions for the caller, called the driver, to perform.
//
// An Attempt is one try to run the request of an idempotency key. It claims
// the key by inserting a row into the table service. Another attempt never
// takes over the claim. Tickets replace claims while the table service is
// unavailable.
package deduplicator
