package receiver

import (
	"net/http"

	"monsoondeck.example/gateway/meter"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
)

// checkHeader checks the header against the limits and charges it. It returns false if it
// has rejected the request. A header that arrived together with an earlier request was not
// checked before.
func (p *proxyRequest) checkHeader(l resolver.Limits) bool {
	size, fields := meter.HeaderSize(p.request)
	maxSize, maxFields := meter.HeaderLimits(l)
	switch {
	case size > maxSize, fields > maxFields, len(p.request.RequestURI) > maxSize:
		p.writer.Header().Set("Connection", "close")
		p.reject(rejection{status: http.StatusRequestHeaderFieldsTooLarge, code: codeHeaderTooLarge})
		return false
	case p.receiver.ChargeHeader(p.request, size, fields) != nil:
		p.writer.Header().Set("Connection", "close")
		p.reject(rejection{status: http.StatusServiceUnavailable, code: codeMemory, retryAfter: memoryRetryAfter})
		return false
	}
	return true
}

// freeHeaderBytes is the cost up to which the header of a response needs no memory beside
// requestBytes, so that ordinary responses are delivered also while memory is short.
const freeHeaderBytes = 16 << 10

// chargeResponseHeader charges the header of a response, and reports whether there is
// memory for it.
func (p *proxyRequest) chargeResponseHeader(h http.Header) bool {
	cost := meter.HeaderCost(h)
	return cost <= freeHeaderBytes || p.charge.Grow(limiter.KindHeader, cost) == nil
}
