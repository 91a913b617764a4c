// Package answerer tests the answers to callers: every caller receives the whole
// answer to its own request (P3), and only a request that did not run is reported
// as not run (P4).
package answerer
