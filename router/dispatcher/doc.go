// Package dispatcher sends one request to one target and copies the response
// to the caller. It decides what is known about the execution of the request:
// complete, not run, or unknown.
package dispatcher
