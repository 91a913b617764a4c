// Package claimer performs the actions that package deduplicator decides on, so
// that a request runs at most once: it keeps the claims on idempotency keys in the
// table service, and tickets in memory.
package claimer
