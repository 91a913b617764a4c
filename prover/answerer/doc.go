// Package answerer proves what callers are told: the whole answer to their own
// request (P3), and "not run" only for what did not run (P4).
package answerer
