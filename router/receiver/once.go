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
	// forwardedHeader marks a request that a router sent to the issuer of its
	// ticket; it is not forwarded again.
	forwardedHeader = "Monsoondeck-Forwarded"
	// replayedHeader marks an answer that was stored by an earlier attempt.
	replayedHeader = "Monsoondeck-Replayed"
)

// once is the right to run a request once: a claim or a ticket.
type once interface {
	Verdict() deduplicator.Verdict
	Found() deduplicator.Record
	// Dispatch permits one run.
	Dispatch() error
	// Cancel gives the right back unless it was used.
	Cancel()
	Finish(o deduplicator.Outcome, a *deduplicator.Answer)
}

var (
	_ once = (*claimer.Claim)(nil)
	_ once = (*claimer.Ticket)(nil)
)

// runOnce runs j, at most once if it has a key or a ticket.
func (h *Handler) runOnce(ctx context.Context, w http.ResponseWriter, j *job) *failure {
	right, f := h.right(ctx, j)
	if f != nil {
		return f
	}
	if right == nil {
		return h.run(ctx, w, j, nil)
	}
	// Without effect after dispatch.
	defer right.Cancel()
	switch v := right.Verdict(); v {
	case deduplicator.VerdictNone:
		return h.run(ctx, w, j, right)
	case deduplicator.VerdictReplay:
		replay(w, j, right.Found())
		return nil
	default:
		return verdictFailure(v)
	}
}

// right returns the claim or ticket of j, nil if it may run more than once.
func (h *Handler) right(ctx context.Context, j *job) (once, *failure) {
	switch {
	case j.ticket != "":
		return h.options.Tickets.Redeem(j.account, j.ticket, j.hash()), nil
	case j.key == "":
		return nil, nil
	case h.options.Claims == nil:
		return nil, verdictFailure(deduplicator.VerdictUnavailable)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	return h.options.Claims.Claim(ctx, j.account, j.key, j.hash()), nil
}

func verdictFailure(v deduplicator.Verdict) *failure {
	f := &failure{status: http.StatusConflict, outcome: dispatcher.Outcome(v.Outcome())}
	switch v {
	case deduplicator.VerdictNotKept:
		f.status, f.code, f.message = http.StatusGone, "answerNotKept", "the request has run; its answer is no longer kept"
	case deduplicator.VerdictClaimed:
		f.code, f.message, f.retryAfter = "claimed", "an earlier attempt is running or was lost", time.Second
	case deduplicator.VerdictSpent:
		f.code, f.message = "keySpent", "an earlier attempt was refused before it ran; use a new key"
	case deduplicator.VerdictReused:
		f.status, f.code, f.message = http.StatusUnprocessableEntity, "keyReused", "the key belongs to a different request"
	case deduplicator.VerdictUnavailable:
		f.status, f.code, f.retryAfter = http.StatusServiceUnavailable, "claimUnavailable", time.Second
		f.message = "the key could not be claimed; this attempt did not run, an earlier one may have; repeat with the same key"
	default:
		f.code, f.message = "outcomeUnknown", "it is not known whether an earlier attempt ran"
	}
	return f
}

// replay sends the answer of an earlier attempt.
func replay(w http.ResponseWriter, j *job, r deduplicator.Record) {
	a := r.Answer
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	body := a.Body
	if strings.HasPrefix(h.Get("Content-Type"), "text/event-stream") && j.engine {
		body = append(body[:len(body):len(body)], dispatcher.OutcomeEvent(j.id)...)
	}
	h.Set(dispatcher.HeaderRequestID, j.id)
	h.Set(dispatcher.HeaderOutcome, string(r.Outcome))
	h.Set(replayedHeader, "true")
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(a.Status)
	// A caller that has gone away is noticed by the server.
	_, _ = w.Write(body)
}

func answerOf(r *dispatcher.Report) *deduplicator.Answer {
	if r.Answer == nil {
		return nil
	}
	return &deduplicator.Answer{Status: r.Answer.Status, Header: r.Answer.Header, Body: r.Answer.Body}
}

// ticketReply is the answer to POST /v1/tickets.
type ticketReply struct {
	Ticket           string `json:"ticket"`
	ExpiresInSeconds int    `json:"expiresInSeconds"`
}

func (h *Handler) issueTicket(w http.ResponseWriter, r *http.Request, id string) *failure {
	_, account, f := h.identify(r)
	if f != nil {
		return f
	}
	if h.options.Tickets == nil {
		return notRun(http.StatusServiceUnavailable, "noTickets", "this router issues no tickets")
	}
	text, lifetime, err := h.options.Tickets.Issue(account.ID)
	if err != nil {
		return notRun(http.StatusTooManyRequests, "ticketsFull", "too many open tickets").after(time.Second)
	}
	body, err := json.Marshal(ticketReply{text, int(lifetime.Seconds())})
	if err != nil {
		// Only a string and a number are encoded.
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(dispatcher.HeaderRequestID, id)
	w.Header().Set(dispatcher.HeaderOutcome, string(dispatcher.Complete))
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(body)
	return nil
}
