package receiver

import (
	"net/http"

	"monsoondeck.example/gateway/meter"
	"monsoondeck.example/gateway/resolver"
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
