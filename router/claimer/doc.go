// Package claimer drives the decisions of module deduplicator: it keeps claims
// in the table service and tickets in memory.
package claimer
