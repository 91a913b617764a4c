// Package claimer tests that a request runs at most once if it has a ticket or an
// idempotency key (property P5 of the project's requirements). A router claims the
// key in the table service.
package claimer
