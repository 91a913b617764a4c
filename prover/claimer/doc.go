// Package claimer tests that a request with an idempotency key, which a router
// claims in the table service, or with a ticket runs at most once (P5).
package claimer
