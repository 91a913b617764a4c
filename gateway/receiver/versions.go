package receiver

import (
	"context"
	"net/http"
	"slices"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/versioner"
)

// codeVersionUnknown is the code of rejections because it is not known which software version
// began the stream, and codeVersionGone because none of its targets is left. Their callers
// may begin the stream anew.
const (
	codeVersionUnknown = "streamVersionUnknown"
	codeVersionGone    = string(queuer.ReasonVersion)
)

// Resumption says what became of a stream that its caller took up again.
type Resumption string

// Resumptions.
const (
	// ResumptionContinued means that the stream went on.
	ResumptionContinued Resumption = "continued"
	// ResumptionUnknown means that its software version is not known.
	ResumptionUnknown Resumption = "unknown"
	// ResumptionGone means that no target of its version is left.
	ResumptionGone Resumption = "gone"
	// ResumptionFailed means that it was refused or failed like other requests.
	ResumptionFailed Resumption = "failed"
)

// resumption says what became of the stream that the caller took up again, given the outcome
// of the request; empty if it took up none.
func (p *proxyRequest) resumption(outcome string) Resumption {
	switch {
	case !p.takesUp:
		return ""
	case p.streamRecorded:
		return ResumptionContinued
	case outcome == codeVersionUnknown:
		return ResumptionUnknown
	case outcome == codeVersionGone:
		return ResumptionGone
	}
	return ResumptionFailed
}

// versionLimit returns the limit to the software version that began the stream. There is
// none before the first event.
func (p *proxyRequest) versionLimit() placer.VersionLimit {
	if version := p.streamVersion.Load(); version != nil {
		return placer.OnlyVersion(*version)
	}
	return placer.VersionLimit{}
}

// resumable reports whether the response is a stream that may go on at another target.
func (p *proxyRequest) resumable() bool {
	return p.route.Kind == resolver.Streaming && p.route.Repeatable()
}

// streamKey returns the key under which daemons remember the stream.
func (p *proxyRequest) streamKey() versioner.Stream {
	if p.takesUp {
		return versioner.StreamOf(p.account, p.info.Resumes)
	}
	return versioner.StreamOf(p.account, p.info.ID)
}

// findStream finds out at which software version a stream began that the caller takes up
// again. It returns false if it has rejected the request: events of two versions do not fit
// together, so that a stream of an unknown version cannot go on.
func (p *proxyRequest) findStream(ctx context.Context) bool {
	p.takesUp = p.resumable() && p.info.LastEventID != ""
	if !p.takesUp {
		return true
	}
	origin := p.receiver.StreamOrigins.FindStream(ctx, p.service, p.streamKey())
	if !origin.Known {
		p.reject(rejection{status: http.StatusServiceUnavailable, code: codeVersionUnknown})
		return false
	}
	if origin.Service != p.service && !p.moveTo(origin.Service) {
		p.reject(rejection{status: http.StatusServiceUnavailable, code: codeVersionGone})
		return false
	}
	p.remembered = origin.Remembered
	p.streamVersion.Store(&origin.Version)
	return true
}

// moveTo sends the request to another service of its route. It returns false if the route
// does not have it.
func (p *proxyRequest) moveTo(service string) bool {
	if !slices.ContainsFunc(p.route.Destinations, func(d resolver.Destination) bool { return d.Service == service }) {
		return false
	}
	config, ok := p.receiver.Configs.Current()
	if ok {
		p.setService(config, service)
	}
	return ok
}

// recordStream records the target whose first event is about to be forwarded.
func (p *proxyRequest) recordStream(target registrar.Entry) {
	if p.streamRecorded {
		return
	}
	p.streamRecorded = true
	if p.streamVersion.Load() == nil {
		p.streamVersion.Store(&target.Version)
	}
	if p.resumable() {
		p.receiver.StreamOrigins.BeganStream(p.streamKey(), versioner.Origin{Service: p.service, Version: *p.streamVersion.Load()}, p.callerTimeout()-time.Since(p.arrived))
	}
}
