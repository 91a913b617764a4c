// Package receiver serves callers over HTTP: it authenticates them, checks
// their requests, waits for a permit, has the dispatcher send the request to a
// target and reports whether the request ran.
//
// Request headers:
//
//	X-Request-Id             returned in the response; generated if absent
//	Monsoondeck-Repeatable   false: send at most once, to one target
//	Monsoondeck-Deadline-Ms  limit in milliseconds for waiting, dispatch and
//	                         retries; a response that has begun is not cut off
//	Idempotency-Key          run at most once, with a claim in the table service
//	Monsoondeck-Ticket       run at most once, with a ticket of POST /v1/tickets
//
// Response headers:
//
//	Monsoondeck-Outcome      complete, notRun or unknown; a trailer if the
//	                         response is streamed or larger than 64 KB
//	Monsoondeck-Replayed     true: the stored response of an earlier attempt with
//	                         the same key or ticket
//
// A stream ends either with the engine's [DONE] and an event named "outcome", or
// with an event named "error" and an aborted connection.
package receiver
