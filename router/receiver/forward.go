package receiver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/deduplicator"
	"monsoondeck.example/router/dispatcher"
)

// forward sends a ticketed request to the issuer of its ticket; false if that
// is this daemon. Unless the issuer answers, the outcome is unknown: an earlier
// attempt with the same ticket may have run.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, j *job) (*failure, bool) {
	incarnation, ok := deduplicator.Issuer(j.ticket)
	if !ok {
		return notRun(http.StatusBadRequest, "badTicket", "the ticket is not one of this fleet"), true
	}
	if incarnation == h.options.Incarnation && h.options.Tickets != nil {
		return nil, false
	}
	gone := unknown(http.StatusConflict, "issuerGone", "the router that issued the ticket is gone; it is not known whether the request ran")
	if j.forwarded || h.options.Forwarder == nil {
		return gone, true
	}
	peer, err := h.options.Forwarder.Issuer(incarnation)
	if err != nil {
		return gone, true
	}
	report := h.options.Dispatcher.Forward(ctx, w, forwardRequest(j, peer))
	switch {
	case report.Err == nil:
		return nil, true
	case !report.Sent:
		return gone, true
	default:
		return finish(w, j, report, true), true
	}
}

func forwardRequest(j *job, p Peer) *dispatcher.Request {
	header := j.header.Clone()
	header.Set(forwardedHeader, "1")
	header.Set(timeHeader, strconv.FormatInt(max(1, time.Until(j.deadline).Milliseconds()), 10))
	if p.Authenticate != nil {
		p.Authenticate(header)
	}
	return &dispatcher.Request{
		Target: dispatcher.Target{Address: p.Address}, Account: j.account, ID: j.id,
		Method: j.method, URI: j.path, Header: header, Body: j.body, Trailer: j.trailer,
	}
}
