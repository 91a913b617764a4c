package dispatcher

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of headers that this package sets or reads.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "Monsoondeck-Outcome"
	HeaderAccount        = "Monsoondeck-Account"
	HeaderCallerRequest  = "Monsoondeck-Request-Id"
	HeaderIdempotencyKey = "Monsoondeck-Idempotency-Key"
	HeaderRefused        = "X-Request-Refused"
	headerResumeRequest  = "X-Resume-Request"
	headerResumeOffset   = "X-Resume-Offset"
	ownPrefix            = "Monsoondeck-"
)

// hopByHop lists headers that concern one connection only (RFC 9110, 7.6.1).
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

// callerOnly lists request headers that are not passed on. The caller's key
// must not reach a target; a caller must not resume another caller's stream;
// the two key headers would permit net/http to replay the request.
var callerOnly = map[string]bool{
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

// connectionTokens returns the headers that Connection names as hop-by-hop.
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

// copySafe copies the end-to-end headers of from that drop does not name and
// that are not this fleet's own.
func copySafe(to, from http.Header, drop map[string]bool) {
	copyHeader(to, from, drop)
	for k := range from {
		if strings.HasPrefix(k, ownPrefix) {
			delete(to, k)
		}
	}
}

// copyHeader copies the end-to-end headers of from that drop does not name.
func copyHeader(to, from http.Header, drop map[string]bool) {
	tokens := connectionTokens(from)
	for k, v := range from {
		if !hopByHop[k] && !drop[k] && !tokens[k] {
			to[k] = v
		}
	}
}

// answerOnly lists answer headers that the router sets itself.
var answerOnly = map[string]bool{
	"Content-Length": true,
	HeaderRequestID:  true,
	HeaderRefused:    true,
}

// connectionOnly lists what is not passed on to another router.
var connectionOnly = map[string]bool{"Content-Length": true, "Expect": true, "Host": true}

func (a *attempt) requestHeader(id string) http.Header {
	r := a.r
	h := make(http.Header, len(r.Header)+6)
	if a.forwarding {
		copyHeader(h, r.Header, connectionOnly)
		// A caller's Connection header must not remove what decides on the run.
		for k, v := range r.Header {
			if k == "Authorization" || strings.HasPrefix(k, ownPrefix) {
				h[k] = v
			}
		}
		h[HeaderRequestID] = []string{id}
		return h
	}
	copySafe(h, r.Header, callerOnly)
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
