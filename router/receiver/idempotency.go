package receiver

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoondeck.example/deduplicator"
	"monsoondeck.example/router/claimer"
	"monsoondeck.example/router/dispatcher"
)

const (
	ticketPath = "/v1/tickets"
	// forwardedHeader marks a request that another router forwarded to the issuer
	// of its ticket; it is not forwarded again.
	forwardedHeader = "Monsoondeck-Forwarded"
	// replayedHeader marks a response that an earlier attempt stored.
	replayedHeader = "Monsoondeck-Replayed"
)

// runGuard lets a request run at most once. It is a claim on an idempotency key
// or a redeemed ticket.
type runGuard interface {
	// Verdict is VerdictNone if the request may run, otherwise the reason why not.
	Verdict() deduplicator.Verdict
	// Found is the record of the earlier attempt that led to the verdict.
	Found() deduplicator.Record
	// Dispatch is called right before the request is sent. It returns an error if
	// the request must not run.
	Dispatch() error
	// Cancel releases the key or ticket for another attempt. It does nothing after
	// Dispatch has succeeded.
	Cancel()
	// Finish records the outcome of the run and its response for later attempts. The
	// response is nil if it is not to be replayed.
	Finish(o deduplicator.Outcome, a *deduplicator.Answer)
}

var (
	_ runGuard = (*claimer.Claim)(nil)
	_ runGuard = (*claimer.Ticket)(nil)
)

// runGuarded runs the request. If it has an idempotency key or a ticket, it runs
// at most once, and a repeat gets the stored response of the earlier run.
func (h *Handler) runGuarded(ctx context.Context, w http.ResponseWriter, cr *callerRequest) *errorReply {
	guard, e := h.acquireGuard(ctx, cr)
	if e != nil {
		return e
	}
	if guard == nil {
		return h.runRequest(ctx, w, cr, nil)
	}
	// Cancel has no effect after dispatch.
	defer guard.Cancel()
	switch v := guard.Verdict(); v {
	case deduplicator.VerdictNone:
		return h.runRequest(ctx, w, cr, guard)
	case deduplicator.VerdictReplay:
		replay(w, cr, guard.Found())
		return nil
	default:
		return verdictError(v)
	}
}

// acquireGuard redeems the ticket or claims the idempotency key of the request. It
// returns nil if the request has neither.
func (h *Handler) acquireGuard(ctx context.Context, cr *callerRequest) (runGuard, *errorReply) {
	switch {
	case cr.ticket != "":
		return h.options.Tickets.Redeem(cr.account, cr.ticket, cr.hash()), nil
	case cr.idempotencyKey == "":
		return nil, nil
	case h.options.Claimer == nil:
		return nil, verdictError(deduplicator.VerdictUnavailable)
	}
	ctx, cancel := context.WithDeadline(ctx, cr.deadline)
	defer cancel()
	return h.options.Claimer.Claim(ctx, cr.account, cr.idempotencyKey, cr.hash()), nil
}

// verdictError returns the error reply for a verdict that forbids the run.
func verdictError(v deduplicator.Verdict) *errorReply {
	e := &errorReply{status: http.StatusConflict, outcome: dispatcher.Outcome(v.Outcome())}
	switch v {
	case deduplicator.VerdictAnswerNotKept:
		e.status, e.code, e.message = http.StatusGone, "answerNotKept", "the request has run; its answer is no longer kept"
	case deduplicator.VerdictClaimed:
		e.code, e.message, e.retryAfter = "claimed", "an earlier attempt is running or was lost", time.Second
	case deduplicator.VerdictRefusedBefore:
		e.code, e.message = "keySpent", "an earlier attempt was refused before it ran; use a new key"
	case deduplicator.VerdictKeyReused:
		e.status, e.code, e.message = http.StatusUnprocessableEntity, "keyReused", "the key belongs to a different request"
	case deduplicator.VerdictUnavailable:
		e.status, e.code, e.retryAfter = http.StatusServiceUnavailable, "claimUnavailable", time.Second
		e.message = "the key could not be claimed; this attempt did not run, an earlier one may have; repeat with the same key"
	default:
		e.code, e.message = "outcomeUnknown", "it is not known whether an earlier attempt ran"
	}
	return e
}

// replay sends the stored response of an earlier attempt.
func replay(w http.ResponseWriter, cr *callerRequest, r deduplicator.Record) {
	a := r.Answer
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	body := a.Body
	if strings.HasPrefix(h.Get("Content-Type"), "text/event-stream") && cr.engine {
		body = append(body[:len(body):len(body)], dispatcher.OutcomeEvent(cr.id)...)
	}
	h.Set(dispatcher.HeaderRequestID, cr.id)
	h.Set(dispatcher.HeaderOutcome, string(r.Outcome))
	h.Set(replayedHeader, "true")
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(a.Status)
	// The error is ignored because the server detects a closed connection itself.
	_, _ = w.Write(body)
}

// responseToStore converts the captured response of an attempt; it is nil if none
// was captured.
func responseToStore(r *dispatcher.Report) *deduplicator.Answer {
	if r.Response == nil {
		return nil
	}
	return &deduplicator.Answer{Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body}
}

// ticketResponse is the body of the response to POST /v1/tickets.
type ticketResponse struct {
	Ticket           string `json:"ticket"`
	ExpiresInSeconds int    `json:"expiresInSeconds"`
}

func (h *Handler) issueTicket(w http.ResponseWriter, r *http.Request, id string) *errorReply {
	_, account, e := h.identify(r)
	if e != nil {
		return e
	}
	if h.options.Tickets == nil {
		return notRun(http.StatusServiceUnavailable, "noTickets", "this router issues no tickets")
	}
	ticket, lifetime, err := h.options.Tickets.Issue(account.ID)
	if err != nil {
		return notRun(http.StatusTooManyRequests, "ticketsFull", "too many open tickets").withRetryAfter(time.Second)
	}
	body, err := json.Marshal(ticketResponse{ticket, int(lifetime.Seconds())})
	if err != nil {
		// A struct of a string and a number can always be encoded.
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(dispatcher.HeaderRequestID, id)
	w.Header().Set(dispatcher.HeaderOutcome, string(dispatcher.Complete))
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(body)
	return nil
}
