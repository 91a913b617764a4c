// Package answerer tests the answers to callers: every caller receives the whole
// answer to its own request (property P3 of the project's requirements), and only a
// request that did not run is reported as not run (property P4).
package answerer
