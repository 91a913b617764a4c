package dispatcher

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of the headers that this package sets or reads. Targets and callers rely on
// them.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "Monsoondeck-Outcome"
	HeaderAccount        = "Monsoondeck-Account"
	HeaderCallerRequest  = "Monsoondeck-Request-Id"
	HeaderIdempotencyKey = "Monsoondeck-Idempotency-Key"
	HeaderRefused        = "X-Request-Refused"
	headerResumeRequest  = "X-Resume-Request"
	headerResumeOffset   = "X-Resume-Offset"
	reservedPrefix       = "Monsoondeck-"
)

// hopByHop lists headers that apply to one connection only (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// withheldRequestHeaders lists request headers that are not passed on to a target. The
// caller's API key must not reach a target. A caller must not resume another caller's
// stream. The two idempotency headers would permit net/http to resend the request.
var withheldRequestHeaders = map[string]bool{
	"Authorization":     true,
	"Content-Length":    true,
	"Expect":            true,
	"Host":              true,
	"Idempotency-Key":   true,
	"X-Idempotency-Key": true,
	HeaderRequestID:     true,
	headerResumeRequest: true,
	headerResumeOffset:  true,
}

// connectionTokens returns the headers that the Connection header names as hop-by-hop.
func connectionTokens(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	tokens := make(map[string]bool)
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			tokens[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(t))] = true
		}
	}
	return tokens
}

// copyPublicHeader copies the end-to-end headers of from except those in drop and those
// with reservedPrefix.
func copyPublicHeader(to, from http.Header, drop map[string]bool) {
	copyEndToEndHeader(to, from, drop)
	for k := range from {
		if strings.HasPrefix(k, reservedPrefix) {
			delete(to, k)
		}
	}
}

// copyEndToEndHeader copies the end-to-end headers of from except those in drop.
func copyEndToEndHeader(to, from http.Header, drop map[string]bool) {
	tokens := connectionTokens(from)
	for k, v := range from {
		if !hopByHop[k] && !drop[k] && !tokens[k] {
			to[k] = v
		}
	}
}

// withheldResponseHeaders lists response headers that are not copied, because the
// router sets or interprets them itself.
var withheldResponseHeaders = map[string]bool{
	"Content-Length": true,
	HeaderRequestID:  true,
	HeaderRefused:    true,
}

// withheldForwardHeaders lists request headers that are not passed on to another
// router.
var withheldForwardHeaders = map[string]bool{"Content-Length": true, "Expect": true, "Host": true}

// requestHeader returns the headers of the request to the target or the other router.
func (a *attempt) requestHeader(id string) http.Header {
	r := a.request
	h := make(http.Header, len(r.Header)+6)
	if a.forwarding {
		copyEndToEndHeader(h, r.Header, withheldForwardHeaders)
		// A caller's Connection header must not remove the headers that decide whether
		// and how the request is run.
		for k, v := range r.Header {
			if k == "Authorization" || strings.HasPrefix(k, reservedPrefix) {
				h[k] = v
			}
		}
		h[HeaderRequestID] = []string{id}
		return h
	}
	copyPublicHeader(h, r.Header, withheldRequestHeaders)
	if r.Target.Engine {
		// A compressed stream could not be split into events.
		delete(h, "Accept-Encoding")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	h[HeaderRequestID] = []string{id}
	h[HeaderAccount] = []string{r.Account}
	h[HeaderCallerRequest] = []string{r.ID}
	if r.IdempotencyKey != "" {
		h[HeaderIdempotencyKey] = []string{r.IdempotencyKey}
	}
	return h
}
