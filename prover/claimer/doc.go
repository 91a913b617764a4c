// Package claimer proves that a request marked non-repeatable runs at most once
// (P5): by a claim in the table service or by a ticket.
package claimer
