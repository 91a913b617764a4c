package receiver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/deduplicator"
	"monsoondeck.example/router/dispatcher"
)

// forward sends a request with a ticket to the daemon that issued the ticket. It
// returns false if that is this daemon. If the issuer sends no response, the
// outcome is unknown, because an earlier attempt with the same ticket may have
// run.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, cr *callerRequest) (*errorReply, bool) {
	incarnation, ok := deduplicator.Issuer(cr.ticket)
	if !ok {
		return notRun(http.StatusBadRequest, "badTicket", "the ticket is not one of this fleet"), true
	}
	if incarnation == h.options.Incarnation && h.options.Tickets != nil {
		return nil, false
	}
	issuerGone := unknown(http.StatusConflict, "issuerGone", "the router that issued the ticket is gone; it is not known whether the request ran")
	if cr.forwarded || h.options.IssuerResolver == nil {
		return issuerGone, true
	}
	peer, err := h.options.IssuerResolver.Issuer(incarnation)
	if err != nil {
		return issuerGone, true
	}
	report := h.options.Dispatcher.Forward(ctx, w, newForwardRequest(cr, peer))
	switch {
	case report.Err == nil:
		return nil, true
	case !report.MaybeSent:
		return issuerGone, true
	default:
		return endFailedRequest(w, cr, report, true), true
	}
}

// newForwardRequest returns the request to send to the issuer. Its deadline header
// holds the time that remains.
func newForwardRequest(cr *callerRequest, p Peer) *dispatcher.Request {
	header := cr.header.Clone()
	header.Set(forwardedHeader, "1")
	header.Set(deadlineHeader, strconv.FormatInt(max(1, time.Until(cr.deadline).Milliseconds()), 10))
	if p.Authenticate != nil {
		p.Authenticate(header)
	}
	return &dispatcher.Request{
		Target: dispatcher.Target{Address: p.Address}, Account: cr.account, ID: cr.id,
		Method: cr.method, URI: cr.callerURI, Header: header, Body: cr.body, Trailer: cr.trailer,
	}
}
