// Package receiver serves callers over HTTP: it authenticates them, checks
// their requests, waits for a permit, has the dispatcher run the request and
// reports an accurate outcome.
//
// Headers of a request:
//
//	X-Request-Id             echoed; generated if absent
//	Monsoondeck-Repeatable   false: send at most once, to one target
//	Monsoondeck-Deadline-Ms  time for waiting, dispatch and retries; a request
//	                         that has been dispatched is not cut by it
//	Idempotency-Key          run at most once, with a claim in the table service
//	Monsoondeck-Ticket       run at most once, with a ticket of POST /v1/tickets
//
// Headers of an answer:
//
//	Monsoondeck-Outcome      complete, notRun or unknown; a trailer if the answer
//	                         is streamed or larger than 64 KB
//	Monsoondeck-Replayed     true: the answer of an earlier attempt with the key
//
// A stream ends with the engine's [DONE] and then an event named "outcome", or
// with an event named "error" and an aborted connection.
package receiver
